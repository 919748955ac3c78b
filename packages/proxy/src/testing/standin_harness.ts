import {createServer, type AddressInfo} from 'node:net';
import {NullLogger} from '@filbertrun/observability/logger.js';
import {
  getPreset,
  listPresetEntryVms,
  type PresetName,
} from '@filbertrun/standin/presets.js';
import {StandinSystem} from '@filbertrun/standin/standin_system.js';
import pg from 'pg';
import {ProxyServer} from '../proxy_server.js';

const CALLER = {user: 'ana', password: 'armature'} as const;
const BACKEND = {user: 'filbertrun', password: 'backend-secret'} as const;

/** Interval of the check whether the proxies are ready. */
const READY_CHECK_INTERVAL_MS = 50;

/**
 * Time after which a new proxy uses its connection share. Longer than
 * `JOIN_DELAY_MS` (1500 ms), for which a proxy waits after it has joined.
 */
const CONNECTION_SHARE_DELAY_MS = 1_700;

/**
 * A deployment with proxies and with stand-ins for the platform and the backend
 * servers, all in this process.
 *
 * @internal
 */
export class StandinHarness {
  private readonly clients: pg.Client[] = [];

  private constructor(
    readonly standin: StandinSystem,
    readonly proxies: readonly ProxyServer[],
  ) {}

  static async create(
    presetName: PresetName,
    proxyCount: number,
  ): Promise<StandinHarness> {
    const preset = getPreset(presetName);
    const standin = StandinSystem.create({
      preset,
      host: '127.0.0.1',
      portBase: null,
      ...BACKEND,
    });
    const {platformUrl} = await standin.start();
    const proxies: ProxyServer[] = [];
    for (const vm of listPresetEntryVms(preset).slice(0, proxyCount)) {
      const peerPort = await findFreePort();
      await registerVm(platformUrl, vm.entryVm, vm.availabilityZone, peerPort);
      const settings = createSettings(platformUrl, peerPort, vm);
      proxies.push(await ProxyServer.create(settings, NullLogger.create()));
    }
    const harness = new StandinHarness(standin, proxies);
    await harness.waitUntilReady();
    return harness;
  }

  /** Connects a standard `pg` client to a proxy. */
  async connect(
    proxyIndex: number,
    config: pg.ClientConfig = {},
  ): Promise<pg.Client> {
    const client = new pg.Client({
      host: '127.0.0.1',
      port: this.proxies[proxyIndex]!.ports.listenPort,
      ...CALLER,
      ...config,
    });
    client.on('error', () => {});
    this.clients.push(client);
    await client.connect();
    return client;
  }

  async dispose(): Promise<void> {
    for (const client of this.clients) {
      await client.end().catch(() => {});
    }
    await Promise.all(this.proxies.map(proxy => proxy.stop()));
    this.standin.dispose();
  }

  private async waitUntilReady(): Promise<void> {
    while (!this.proxies.every(proxy => proxy.isReady())) {
      await sleep(READY_CHECK_INTERVAL_MS);
    }
    await sleep(CONNECTION_SHARE_DELAY_MS);
  }
}

/** Waits in real time. @internal */
export function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, durationMs);
  });
}

function createSettings(
  platformUrl: string,
  peerPort: number,
  vm: {
    readonly entryVm: string;
    readonly availabilityZone: string;
    readonly sourceAddress: string;
  },
): Parameters<typeof ProxyServer.create>[0] {
  return {
    ...vm,
    platformUrl,
    peerPort,
    peerUrl: null,
    listenHost: '127.0.0.1',
    listenPort: 0,
    operatorPort: 0,
    peerHost: '127.0.0.1',
    callerUser: CALLER.user,
    callerPassword: CALLER.password,
    callerAuthentication: 'scram-sha-256',
    backendUser: BACKEND.user,
    backendPassword: BACKEND.password,
    tokenKey: 'token-key-1',
    peerKey: 'peer-key-1',
    operatorKey: 'operator-key-1',
    tlsCertificateFile: null,
    tlsKeyFile: null,
    logLevel: 'error',
    maxCallerConnections: 1_000,
    statementDeadlineMs: 10_000,
    answerSilenceMs: 5_000,
    backendConnectTimeoutMs: 2_000,
    shutdownTimeoutMs: 5_000,
  };
}

async function registerVm(
  platformUrl: string,
  entryVm: string,
  availabilityZone: string,
  peerPort: number,
): Promise<void> {
  const peerUrl = `http://127.0.0.1:${peerPort}`;
  await fetch(`${platformUrl}/vms/${entryVm}`, {
    method: 'PUT',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({entryVm, availabilityZone, peerUrl, state: 'live'}),
  });
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => {
    server.close(resolve);
  });
  return port;
}
