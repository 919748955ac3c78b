import type pg from 'pg';
import {afterEach, describe, expect, it} from 'vitest';
import {
  DataPathHarness,
  type HarnessOptions,
} from './testing/data_path_harness.js';
import {TEST_CERTIFICATE} from './testing/test_certificate.js';

let harness: DataPathHarness | null = null;

afterEach(async () => {
  await harness?.dispose();
  harness = null;
});

async function start(options: HarnessOptions): Promise<DataPathHarness> {
  harness = await DataPathHarness.create(
    {a: () => ({kind: 'rows', values: ['answer'], position: '1/9'})},
    options,
  );
  return harness;
}

async function readResponse(client: pg.Client): Promise<unknown> {
  const {rows} = await client.query('SELECT * FROM bookings');
  return Object.values(rows[0] as object)[0];
}

function getCode(error: unknown): string {
  return (error as pg.DatabaseError).code ?? String(error);
}

describe('callers over TLS', () => {
  it('can log in and run statements when they trust the certificate', async () => {
    const {connect} = bind(await start({tls: TEST_CERTIFICATE}));
    const client = await connect({ssl: {ca: TEST_CERTIFICATE.cert}});
    expect(await readResponse(client)).toBe('answer');
  });

  it('reject a certificate that they do not trust', async () => {
    const {connect} = bind(await start({tls: TEST_CERTIFICATE}));
    await expect(
      connect({ssl: {rejectUnauthorized: true}}),
    ).rejects.toMatchObject({code: 'DEPTH_ZERO_SELF_SIGNED_CERT'});
  });

  it('get an error when the proxy has no certificate', async () => {
    const {connect} = bind(await start({}));
    await expect(connect({ssl: {rejectUnauthorized: false}})).rejects.toThrow(
      'The server does not support SSL connections',
    );
  });

  it('are asked for a cleartext password only over TLS', async () => {
    const target = await start({
      tls: TEST_CERTIFICATE,
      callerAuthentication: 'password',
    });
    const encrypted = await getAuthenticationRequest(target, {
      ssl: {ca: TEST_CERTIFICATE.cert},
    });
    const plain = await getAuthenticationRequest(target, {});
    expect(encrypted).toBe('authenticationCleartextPassword');
    expect(plain).toBe('authenticationSASL');
  });

  it('are refused with a wrong password', async () => {
    const {connect} = bind(await start({tls: TEST_CERTIFICATE}));
    const refusal = await connect({
      ssl: {ca: TEST_CERTIFICATE.cert},
      password: 'wrong',
    }).catch(getCode);
    expect(refusal).toBe('28P01');
  });
});

const REQUESTS = [
  'authenticationCleartextPassword',
  'authenticationSASL',
] as const;

/** Returns the authentication request that the proxy sends to a client. */
async function getAuthenticationRequest(
  target: DataPathHarness,
  config: pg.ClientConfig,
): Promise<string | null> {
  let request: string | null = null;
  const client = target.createClient(config);
  const {connection} = client as unknown as {
    readonly connection: NodeJS.EventEmitter;
  };
  for (const name of REQUESTS) {
    connection.once(name, () => {
      request = name;
    });
  }
  await client.connect();
  return request;
}

function bind(target: DataPathHarness): Pick<DataPathHarness, 'connect'> {
  return {connect: config => target.connect(config)};
}
