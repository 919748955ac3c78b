import {connect} from 'node:net';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {serialize} from 'pg-protocol';
import type pg from 'pg';
import {afterEach, describe, expect, it} from 'vitest';
import {DataPathHarness} from './testing/data_path_harness.js';
import type {FakeResponse} from './testing/fake_backend_server.js';

const CALLERS = 200;
const STATEMENTS_PER_CALLER = 5;

let harness: DataPathHarness | null = null;

afterEach(async () => {
  await harness?.dispose();
  harness = null;
});

/** Echoes the statement after a random delay, or closes the connection. */
function createDelayedEcho(
  seed: number,
): (sql: string) => Promise<FakeResponse> {
  const random = SeededRandom.create(seed);
  return async sql => {
    await new Promise(resolve => {
      setTimeout(resolve, random.nextInteger(0, 4));
    });
    // About one response in 50 is lost with its connection.
    if (random.nextInteger(0, 50) === 0) {
      return {kind: 'close'};
    }
    return {kind: 'rows', values: [sql, sql], position: '1/1'};
  };
}

/** Sends bytes and resolves with all received data when the socket closes. */
function exchangeBytes(
  port: number,
  chunks: readonly Buffer[],
): Promise<string> {
  return new Promise(resolve => {
    const socket = connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
    for (const chunk of chunks) {
      socket.write(chunk);
    }
  });
}

describe('200 concurrent callers', () => {
  it('get only complete responses to their own statements when responses are delayed, reordered or lost', async () => {
    const echo = createDelayedEcho(11);
    harness = await DataPathHarness.create({a: echo, b: echo, c: echo});
    const clients: pg.Client[] = [];
    for (let index = 0; index < CALLERS; index++) {
      clients.push(await harness.connect());
    }
    let answered = 0;
    const runCaller = async (client: pg.Client, caller: number) => {
      for (let number = 0; number < STATEMENTS_PER_CALLER; number++) {
        const sql = `SELECT 'caller ${caller} statement ${number}'`;
        const result = await client.query(sql).catch(() => null);
        if (result !== null) {
          answered++;
          expect(result.rows).toEqual([{value: sql}, {value: sql}]);
        }
      }
    };
    await Promise.all(clients.map(runCaller));
    expect(answered).toBeGreaterThan(CALLERS * STATEMENTS_PER_CALLER * 0.9);
  });
});

describe('invalid input', () => {
  const startup = serialize.startup({user: 'ana', database: 'sched-db-1'});

  it.each([
    ['random bytes', [Buffer.from('GET / HTTP/1.1\r\nhost: x\r\n\r\n')]],
    [
      'a startup length that is too large',
      [Buffer.from('7fffffff00030000', 'hex')],
    ],
    ['an old protocol version', [Buffer.from('0000000900020000000000', 'hex')]],
    ['a query before the login', [startup, serialize.query('SELECT 1')]],
    [
      'a frame with a negative length',
      [startup, Buffer.from('51ffffffff', 'hex')],
    ],
    ['a frame above the limit', [startup, Buffer.from('517fffffff', 'hex')]],
    [
      'a malformed SASL message',
      [startup, Buffer.from('7000000009414243444500', 'hex')],
    ],
  ])(
    'such as %s gets a protocol error and does not affect other callers',
    async (_name, chunks) => {
      harness = await DataPathHarness.create({
        a: sql => ({kind: 'rows', values: [sql], position: '1/1'}),
      });
      const other = await harness.connect();
      const received = await exchangeBytes(harness.listener.port, chunks);
      expect(received).toContain('C08P01');
      expect(
        (await other.query("INSERT INTO t VALUES ('a')")).rows,
      ).toHaveLength(1);
    },
  );

  it('such as a wrong password or database is refused with its own SQLSTATE', async () => {
    harness = await DataPathHarness.create({a: () => ({kind: 'close'})});
    await expect(harness.connect({password: 'wrong'})).rejects.toMatchObject({
      code: '28P01',
    });
    await expect(harness.connect({user: 'nobody'})).rejects.toMatchObject({
      code: '28P01',
    });
    await expect(harness.connect({database: 'nothing'})).rejects.toMatchObject({
      code: '3D000',
    });
  });

  it('such as Flush before Sync is refused immediately, and the session continues', async () => {
    harness = await DataPathHarness.create({
      a: sql => ({kind: 'rows', values: [sql], position: '1/1'}),
    });
    const client = await harness.connect();
    const {connection} = client as unknown as {
      connection: NodeJS.EventEmitter & {stream: NodeJS.WritableStream};
    };
    const refused = new Promise<pg.DatabaseError>(resolve => {
      connection.once('errorMessage', resolve);
    });
    const ready = new Promise(resolve =>
      connection.once('readyForQuery', resolve),
    );
    connection.stream.write(
      Buffer.concat([serialize.parse({text: 'SELECT 1'}), serialize.flush()]),
    );
    expect((await refused).code).toBe('0A000');
    connection.stream.write(serialize.sync());
    await ready;
  });
});
