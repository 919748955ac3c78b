import type {Clock} from '@filbertrun/base/clock.js';
import {pause} from '@filbertrun/base/pause.js';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {
  ConditionalWrite,
  ListableTable,
  PlatformError,
  TableEntry,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import type {BackendLinkConnector} from '../backend/backend_link.js';
import type {
  InstanceControl,
  InstanceControlError,
  InstanceStatus,
  PromotionService,
} from '../backend/instance_control.js';
import type {
  DatabaseRoute,
  ServiceConfiguration,
} from '../configuration/service_configuration.js';
import {CONTACT_WINDOW_MS} from '../control/contact_watch.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {
  TableChanges,
  WatchableTable,
  WatchError,
} from '../directory/watchable_table.js';
import {Gateway, type GatewayOptions} from '../gateway.js';
import {RecordedEvents} from '../observability/gateway_events.js';
import type {ControlRelay} from '../peer/control_relay.js';
import type {PeerCaller, PeerError, PeerHandler} from '../peer/peer_caller.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import type {SimulatedGroup, SimulatedInstance} from './simulated_group.js';
import type {SimulatedNetwork} from './simulated_network.js';

/** Name of the store in the network. @internal */
export const STORE = 'store';

/** Time that a call to another party takes. */
const CALL_MS = 2;

/** Time after which a call without an answer is given up. */
const CALL_TIMEOUT_MS = 400;

/** Greatest age of the data of the simulated routes. */
export const ROUTE_MAX_AGE_MS = 1_500;

/** What the simulated proxies share. @internal */
export interface SimulatedDeployment {
  readonly clock: Clock;
  readonly network: SimulatedNetwork;
  readonly group: SimulatedGroup;
  readonly store: FakeControlTable;
  /** Running proxies by name. */
  readonly proxies: Map<string, SimulatedProxy>;
}

/** Changes the parts of a proxy, to show that a broken part is noticed. @internal */
export type GatewayMutation = (options: GatewayOptions) => GatewayOptions;

/** One process of the real gateway before simulated parties. @internal */
export class SimulatedProxy {
  readonly events = RecordedEvents.create();
  readonly wallClock: FakeWallClock;
  readonly gateway: Gateway;

  private constructor(
    readonly name: string,
    incarnation: number,
    deployment: SimulatedDeployment,
    connector: BackendLinkConnector,
    mutate: GatewayMutation,
  ) {
    const {clock} = deployment;
    this.wallClock = FakeWallClock.create(clock);
    const link = new PartyLink(name, deployment);
    this.gateway = Gateway.create(
      mutate({
        self: {
          entryVm: name,
          availabilityZone: `zone-${name}`,
          peerHost: name,
          peerPort: 1,
          incarnation: `${name}-${incarnation}`,
        },
        clock,
        wallClock: this.wallClock,
        random: SeededRandom.create(incarnation),
        events: this.events,
        connector,
        instances: new SimulatedInstanceControl(link, deployment.group),
        promotions: createPromotions(link, deployment.group),
        controlTable: new SimulatedControlTable(link, deployment.store),
        directoryTable: new SimulatedDirectory(link, deployment.group),
        configurationTable: new SimulatedConfiguration(link),
        configurationKey: 'config',
        peers: createPeers(link, deployment),
        relay: createRelay(link, deployment),
        contactWindowMs: CONTACT_WINDOW_MS,
        drainMs: 7_000,
      }),
    );
  }

  static start(
    name: string,
    incarnation: number,
    deployment: SimulatedDeployment,
    connector: BackendLinkConnector,
    mutate: GatewayMutation,
  ): SimulatedProxy {
    const proxy = new SimulatedProxy(
      name,
      incarnation,
      deployment,
      connector,
      mutate,
    );
    deployment.proxies.set(name, proxy);
    proxy.gateway.start();
    return proxy;
  }
}

/** The path from one proxy to other parties. */
class PartyLink {
  constructor(
    readonly name: string,
    private readonly deployment: SimulatedDeployment,
  ) {}

  /** Waits for the time of a call; false after a timeout without a path. */
  async reach(party: string): Promise<boolean> {
    const isConnected = this.isConnected(party);
    await this.pause(isConnected ? CALL_MS : CALL_TIMEOUT_MS);
    return isConnected && this.isConnected(party);
  }

  pause(delayMs: number): Promise<void> {
    return pause(this.deployment.clock, delayMs);
  }

  private isConnected(party: string): boolean {
    return this.deployment.network.isConnected(this.name, party);
  }
}

const UNAVAILABLE: PlatformError = {kind: 'unavailable', reason: 'simulated'};

class SimulatedControlTable implements ListableTable {
  constructor(
    private readonly link: PartyLink,
    private readonly store: FakeControlTable,
  ) {}

  async listEntries(): Promise<Result<TableListing, PlatformError>> {
    if (!(await this.link.reach(STORE))) {
      return failure(UNAVAILABLE);
    }
    const listing = await this.store.listEntries();
    await this.link.pause(CALL_MS);
    return listing;
  }

  async getEntry(
    key: string,
  ): Promise<Result<TableEntry | null, PlatformError>> {
    return (await this.link.reach(STORE))
      ? this.store.getEntry(key)
      : failure(UNAVAILABLE);
  }

  async putEntry(
    write: ConditionalWrite,
  ): Promise<Result<TableEntry, PlatformError>> {
    return (await this.link.reach(STORE))
      ? this.store.putEntry(write)
      : failure(UNAVAILABLE);
  }

  async removeEntry(
    key: string,
    expectedRevision: number,
  ): Promise<Result<void, PlatformError>> {
    return (await this.link.reach(STORE))
      ? this.store.removeEntry(key, expectedRevision)
      : failure(UNAVAILABLE);
  }
}

/** Lists the instances whose heartbeats reach the store. */
class SimulatedDirectory implements WatchableTable<BackendServerEntry> {
  private revision = 0;

  constructor(
    private readonly link: PartyLink,
    private readonly group: SimulatedGroup,
  ) {}

  async list(): Promise<
    Result<TableChanges<BackendServerEntry>, PlatformError>
  > {
    if (!(await this.link.reach(STORE))) {
      return failure(UNAVAILABLE);
    }
    return success(this.describe());
  }

  async watch(): Promise<Result<TableChanges<BackendServerEntry>, WatchError>> {
    await this.link.pause(CALL_TIMEOUT_MS);
    return this.list();
  }

  private describe(): TableChanges<BackendServerEntry> {
    this.revision++;
    const {revision} = this;
    const changes = [...this.group.instances.values()].map(({entry}) => ({
      kind: 'put' as const,
      key: entry.backendServer,
      revision,
      value: entry,
    }));
    return {changes, revision};
  }
}

class SimulatedConfiguration implements WatchableTable<ServiceConfiguration> {
  constructor(private readonly link: PartyLink) {}

  async list(): Promise<
    Result<TableChanges<ServiceConfiguration>, PlatformError>
  > {
    if (!(await this.link.reach(STORE))) {
      return failure(UNAVAILABLE);
    }
    const value = createConfiguration();
    return success({
      changes: [{kind: 'put', key: 'config', revision: 1, value}],
      revision: 1,
    });
  }

  async watch(
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<TableChanges<ServiceConfiguration>, WatchError>> {
    await this.link.pause(waitMs);
    return success({changes: [], revision: afterRevision});
  }
}

function createConfiguration(): ServiceConfiguration {
  const routes = new Map<string, DatabaseRoute>();
  for (const consistency of ['strict', 'session', 'age'] as const) {
    routes.set(consistency, {
      databaseName: consistency,
      databaseGroup: 'group',
      consistency,
      maxAgeMs: consistency === 'strict' ? null : ROUTE_MAX_AGE_MS,
      statementTimeoutMs: 1_000,
      targetLatencyMs: 400,
      priority: 'normal',
    });
  }
  return {
    version: 1,
    routes,
    databaseGroups: new Map([
      [
        'group',
        {
          databaseGroup: 'group',
          maxConnections: 40,
          synchronousReplicaCount: 1,
        },
      ],
    ]),
    transactionIdleTimeoutMs: 3_000,
  };
}

type ControlResult = Result<InstanceStatus, InstanceControlError>;

class SimulatedInstanceControl implements InstanceControl {
  constructor(
    private readonly link: PartyLink,
    private readonly group: SimulatedGroup,
  ) {}

  getStatus(server: BackendServerEntry): Promise<ControlResult> {
    return this.run(server, () => {});
  }

  pauseReplication(
    server: BackendServerEntry,
    term: number,
  ): Promise<ControlResult> {
    return this.run(server, instance => this.group.pause(instance, term));
  }

  stepDown(server: BackendServerEntry, term: number): Promise<ControlResult> {
    return this.run(server, instance => this.group.stepDown(instance, term));
  }

  private async run(
    server: BackendServerEntry,
    change: (instance: SimulatedInstance) => void,
  ): Promise<ControlResult> {
    const instance = this.group.get(server.backendServer);
    if (!(await this.link.reach(server.backendServer)) || !instance.isRunning) {
      return failure({kind: 'unreachable', reason: 'simulated'});
    }
    change(instance);
    return success(this.group.describe(instance));
  }
}

function createPromotions(
  link: PartyLink,
  group: SimulatedGroup,
): PromotionService {
  return {
    promote: async order => {
      if (!(await link.reach('promotions'))) {
        return failure({kind: 'outcomeUnknown', reason: 'simulated'});
      }
      return group.order(order)
        ? success(undefined)
        : failure({kind: 'rejected', status: 409});
    },
  };
}

function createPeers(
  link: PartyLink,
  deployment: SimulatedDeployment,
): PeerCaller {
  const call = async <T>(
    peer: EntryVmRecord,
    run: (handler: PeerHandler) => T | Promise<T>,
  ): Promise<Result<T, PeerError>> => {
    const proxy = (await link.reach(peer.entryVm))
      ? deployment.proxies.get(peer.entryVm)
      : undefined;
    if (proxy === undefined) {
      return failure({kind: 'unreachable', reason: 'simulated'});
    }
    const answer = await run(proxy.gateway);
    return (await link.reach(peer.entryVm))
      ? success(answer)
      : failure({kind: 'unreachable', reason: 'simulated'});
  };
  return {
    release: (peer, request) => call(peer, handler => handler.release(request)),
    announce: (peer, record) => call(peer, handler => handler.announce(record)),
    reportSuspicion: (peer, report) =>
      call(peer, handler => handler.reportSuspicion(report)),
    askReach: (peer, question) =>
      call(peer, handler => handler.askReach(question)),
    handOverDuty: (peer, handover) =>
      call(peer, handler => handler.takeOverDuty(handover)),
    compareRecords: peer => call(peer, handler => handler.compareRecords()),
  };
}

function createRelay(
  link: PartyLink,
  deployment: SimulatedDeployment,
): ControlRelay {
  return {
    listControl: async peer => {
      const proxy = (await link.reach(peer.entryVm))
        ? deployment.proxies.get(peer.entryVm)
        : undefined;
      return proxy === undefined
        ? failure({kind: 'unreachable', reason: 'simulated'})
        : success(await proxy.gateway.controlRelayHandler.listForPeer());
    },
    putControl: async (peer, write) => {
      const proxy = (await link.reach(peer.entryVm))
        ? deployment.proxies.get(peer.entryVm)
        : undefined;
      return proxy === undefined
        ? success(failure({kind: 'outcomeUnknown', reason: 'simulated'}))
        : success(await proxy.gateway.controlRelayHandler.putForPeer(write));
    },
  };
}
