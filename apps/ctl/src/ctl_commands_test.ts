import {SystemClock} from '@filbertrun/base/clock.js';
import {createSystemRandom} from '@filbertrun/base/random_source.js';
import {
  createGroup,
  createRequest,
} from '@filbertrun/configuration/configuration_fixtures.js';
import {submitChange} from '@filbertrun/configuration/submit_change.js';
import {NullLogger} from '@filbertrun/observability/logger.js';
import {readCommandSettings} from '@filbertrun/observability/settings.js';
import {ControlPlane} from '@filbertrun/peer/control_plane.js';
import {OperatorClient} from '@filbertrun/peer/operator_client.js';
import type {OperatorContext} from '@filbertrun/peer/operator_settings.js';
import type {PeerHandler} from '@filbertrun/peer/peer_protocol.js';
import {PeerServer} from '@filbertrun/peer/peer_server.js';
import {WebSocketTransport} from '@filbertrun/peer/web_socket_transport.js';
import {InMemoryPlatformService} from '@filbertrun/platform/in_memory_platform_service.js';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {runCtlCommand} from './ctl_commands.js';
import {CTL_COMMANDS, CTL_SETTINGS} from './ctl_settings.js';

const SECRETS = {
  peerSecret: 'peer-secret',
  operatorSecret: 'operator-secret',
};

const clock = SystemClock.create();
const random = createSystemRandom();
const disposers: (() => void | Promise<void>)[] = [];
let platform: InMemoryPlatformService;

/** Starts the control plane of a proxy with a real peer server. */
async function startProxy(
  entryVm: string,
  proxyPlatform = platform,
): Promise<ControlPlane> {
  let control: ControlPlane | null = null;
  const handler = new Proxy({} as PeerHandler, {
    get: (_, name: keyof PeerHandler) => control?.createHandler()[name],
  });
  const server = await PeerServer.create({
    host: '127.0.0.1',
    port: 0,
    handler,
    secrets: SECRETS,
    tls: null,
    logger: NullLogger.create(),
  });
  const peerUrl = `http://127.0.0.1:${server.getPort()}`;
  const transport = createTransport(SECRETS.peerSecret);
  platform.putVm({entryVm, availabilityZone: 'kochi', peerUrl, state: 'live'});
  control = ControlPlane.create({
    identity: {entryVm, availabilityZone: 'kochi', peerUrl},
    startedAtEpochMs: Date.now(),
    platform: proxyPlatform,
    transport,
    seedPeerUrls: [],
    clock,
    random,
    logger: NullLogger.create(),
  });
  disposers.push(
    () => server.dispose(),
    () => control?.dispose(),
  );
  return control;
}

function createTransport(secret: string): WebSocketTransport {
  const transport = WebSocketTransport.create({
    clock,
    secret,
    sourceAddress: null,
    tls: null,
  });
  disposers.push(() => transport.dispose());
  return transport;
}

function createContext(operatorPlatform = platform): OperatorContext {
  const client = OperatorClient.create({
    platform: operatorPlatform,
    transport: createTransport(SECRETS.operatorSecret),
    proxyUrls: [],
    clock,
    random,
  });
  return {client, platform: operatorPlatform};
}

async function run(...argv: readonly string[]) {
  const read = readCommandSettings(CTL_COMMANDS, CTL_SETTINGS, {
    programName: 'filbertrun-ctl',
    argv,
    environment: {FILBERTRUN_PLATFORM_URL: 'http://127.0.0.1:1'},
  });
  if (!read.ok) {
    throw new Error(JSON.stringify(read.error));
  }
  const {command, settings} = read.value;
  return runCtlCommand(command, settings, createContext());
}

beforeEach(async () => {
  platform = InMemoryPlatformService.create({clock});
  const databaseGroups = [createGroup('outings-db-1')];
  await submitChange(
    createRequest('start', {kind: 'replaceDatabaseGroups', databaseGroups}),
    {platform, clock, random},
  );
});

afterEach(async () => {
  for (const dispose of disposers.splice(0).reverse()) {
    await dispose();
  }
});

describe('filbertrun-ctl', () => {
  it('drains a server and waits until the change is in force on every proxy', async () => {
    const first = await startProxy('entry-1');
    const second = await startProxy('entry-2');
    const report = await run('drain', 'outings-db-1-a', '--wait');
    expect(report).toMatchObject({
      exitCode: 0,
      json: {ok: true, version: 2, effect: 'accepted'},
    });
    expect(first.configuration.getVersion()).toBe(2);
    expect(second.configuration.getVersion()).toBe(2);
  });

  it('returns the same version for a repeated change id', async () => {
    const argv = ['drain', 'outings-db-1-a', '--change-id', 'night-7'];
    const first = await run(...argv);
    const second = await run(...argv);
    expect(first.json).toMatchObject({version: 2, effect: 'accepted'});
    expect(second.json).toMatchObject({version: 2, effect: 'repeated'});
  });

  it('names the winning change when a concurrent change is refused', async () => {
    await run('drain', 'outings-db-1-a', '--change-id', 'winner');
    const report = await run(
      ...['shift', 'outings-db-1-a=10', '--base-version', '1'],
    );
    expect(report.exitCode).toBe(1);
    expect(report.text).toContain('change winner won with version 2');
  });

  it('adds, drains and removes a server', async () => {
    const added = await run(
      ...['add', 'outings-db-1', 'outings-db-1-d', '--availability-zone'],
      ...['kochi', '--backend-host', '10.0.0.9'],
    );
    const refused = await run('remove', 'outings-db-1-d');
    await run('drain', 'outings-db-1-d');
    const removed = await run('remove', 'outings-db-1-d');
    expect([added, refused, removed].map(report => report.exitCode)).toEqual([
      0, 1, 0,
    ]);
  });

  it.each([
    [['shift', 'outings-db-1-a=101']],
    [['shift', 'outings-db-1-a']],
    [['add', 'outings-db-1', 'x']],
  ])('rejects the operands of %j with exit code 2', async argv => {
    expect((await run(...argv)).exitCode).toBe(2);
  });

  it('exits with code 3 when neither the platform nor a proxy is reachable', async () => {
    platform.setOutage(true);
    const report = await run('drain', 'outings-db-1-a');
    expect(report.exitCode).toBe(3);
  });

  it('submits through a proxy when it cannot reach the platform directly', async () => {
    const proxy = await startProxy('entry-1');
    const unreachable = InMemoryPlatformService.create({clock});
    unreachable.setOutage(true);
    unreachable.listVms = () => platform.listVms();
    const {client} = createContext(unreachable);
    const response = await client.submit(
      createRequest('1', {
        kind: 'drainBackendServer',
        backendServer: 'outings-db-1-a',
      }),
    );
    expect(response).toMatchObject({ok: true, value: {version: 2}});
    expect(proxy.configuration.getVersion()).toBe(2);
  });

  it('exits with code 4 and names the proxy when one does not respond', async () => {
    await startProxy('entry-1');
    const peerUrl = 'http://127.0.0.1:9';
    const vm = {entryVm: 'entry-9', availabilityZone: 'kochi', peerUrl};
    platform.putVm({...vm, state: 'live'});
    const report = await run(
      ...['drain', 'outings-db-1-a', '--wait', '--wait-timeout-ms', '100'],
    );
    expect(report.exitCode).toBe(4);
    expect(report.text).toContain(`no answer from ${peerUrl}`);
  });

  it('does not change a primary while no proxy is reachable', async () => {
    const report = await run('change-primary', 'outings-db-1');
    expect(report.exitCode).toBe(1);
  });

  it('shows the accepted version, the proxies and the primaries', async () => {
    const proxy = await startProxy('entry-1');
    proxy.announceGroupView({
      databaseGroup: 'outings-db-1',
      term: 3,
      primary: 'outings-db-1-b',
    });
    const report = await run('status');
    expect(report.text).toContain('accepted version 1');
    expect(report.text).toContain('entry-1 (kochi)');
    expect(report.text).toContain('outings-db-1: primary outings-db-1-b');
  });
});
