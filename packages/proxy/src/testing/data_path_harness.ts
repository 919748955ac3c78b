import {SystemClock} from '@filbertrun/base/clock.js';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import type {Configuration} from '@filbertrun/model/configuration.js';
import {EMPTY_CONFIGURATION} from '@filbertrun/model/configuration.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import {ServiceLevelRecorder} from '@filbertrun/observability/service_level_recorder.js';
import pg from 'pg';
import type {CallerListener} from '../caller/caller_listener.js';
import type {AuthenticationMethod} from '../caller/caller_authentication.js';
import {startDataPath} from '../data_path.js';
import {ProxyMetrics} from '../proxy_metrics.js';
import {
  FakeBackendServer,
  type FakeStatementHandler,
} from './fake_backend_server.js';
import {FakeGroup, FakeGroupState} from './fake_group.js';

/**
 * Statement handlers by backend server. Server `a` is the initial primary.
 *
 * @internal
 */
export type FakeHandlers = Readonly<
  Record<BackendServerId, FakeStatementHandler>
>;

/** Options of the harness. @internal */
export interface HarnessOptions {
  readonly configuration?: Configuration;
  readonly statementDeadlineMs?: number;
  readonly tls?: {readonly cert: string; readonly key: string};
  readonly callerAuthentication?: AuthenticationMethod;
}

/** Runs the data path against fake backend servers. @internal */
export class DataPathHarness {
  private readonly clients: pg.Client[] = [];

  private constructor(
    readonly listener: CallerListener,
    readonly servers: ReadonlyMap<BackendServerId, FakeBackendServer>,
    readonly state: FakeGroupState,
    readonly registry: MetricsRegistry,
    private readonly group: FakeGroup,
  ) {}

  static async create(
    handlers: FakeHandlers,
    options: HarnessOptions = {},
  ): Promise<DataPathHarness> {
    const clock = SystemClock.create();
    const servers = new Map<BackendServerId, FakeBackendServer>();
    for (const [backendServer, handler] of Object.entries(handlers)) {
      servers.set(backendServer, await FakeBackendServer.create(handler));
    }
    const state = FakeGroupState.create(clock);
    state.setPrimary('a');
    const group = FakeGroup.create(state, servers, clock);
    const registry = MetricsRegistry.create();
    const configuration = options.configuration ?? EMPTY_CONFIGURATION;
    const listener = await startDataPath({
      availabilityZone: 'mrk-a',
      listenHost: '127.0.0.1',
      listenPort: 0,
      maxCallerConnections: 1_000,
      callerUser: 'ana',
      callerPassword: 'armature',
      callerAuthentication: options.callerAuthentication ?? 'scram-sha-256',
      tokenKeys: ['test-key-1'],
      tls: options.tls ?? null,
      statementDeadlineMs: options.statementDeadlineMs ?? 5_000,
      groups: {get: name => (name === group.databaseGroup ? group : null)},
      configuration: {getCurrent: () => configuration},
      clock,
      random: SeededRandom.create(7),
      metrics: ProxyMetrics.create(
        registry,
        ServiceLevelRecorder.create('entry-test'),
      ),
    });
    return new DataPathHarness(listener, servers, state, registry, group);
  }

  /** Connects a standard `pg` client. */
  async connect(config: pg.ClientConfig = {}): Promise<pg.Client> {
    const client = this.createClient(config);
    await client.connect();
    return client;
  }

  /** Creates a client that is not connected yet. */
  createClient(config: pg.ClientConfig = {}): pg.Client {
    const client = new pg.Client({
      host: '127.0.0.1',
      port: this.listener.port,
      user: 'ana',
      password: 'armature',
      database: 'sched-db-1',
      ...config,
    });
    client.on('error', () => {});
    this.clients.push(client);
    return client;
  }

  getServer(backendServer: BackendServerId): FakeBackendServer {
    return this.servers.get(backendServer)!;
  }

  async dispose(): Promise<void> {
    for (const client of this.clients) {
      await client.end().catch(() => {});
    }
    await this.listener.stop(0);
    this.group.dispose();
    for (const server of this.servers.values()) {
      server.dispose();
    }
  }
}
