import type {Clock} from '@filbertrun/base/clock.js';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {sleep} from '@filbertrun/base/sleep.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {BackendConnector} from '../backend/backend_connection.js';
import type {
  InstanceControl,
  InstanceControlError,
  InstanceStatus,
  PromotionError,
  PromotionService,
} from '../backend/instance_control.js';
import {CONTACT_WINDOW_MS} from '../control/contact_tracker.js';
import type {EntryVmRecord} from '../control/control_record.js';
import {
  UNNAMED_BACKEND_SERVER,
  type BackendServerEntry,
} from '../directory/backend_server_entry.js';
import {Gateway, type GatewayOptions} from '../gateway.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import type {ControlRelay} from '../peer/control_relay.js';
import type {PeerClient, PeerError, PeerHandler} from '../peer/peer_client.js';
import {LatestStoreEra} from '@filbertrun/platform/latest_store_era.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {CONFIGURATION_APPLY_MS} from './configuration_oracle.js';
import {PausableClock} from '@filbertrun/base/pausable_clock.js';
import type {CallLatency} from './call_latency.js';
import {StoreCaller} from './store_call.js';
import {CALL_TIMEOUT_MS, NetworkPath} from './network_path.js';
import {
  DRAIN_MS,
  type SimulatedGroup,
  type SimulatedInstance,
} from './simulated_group.js';
import type {SimulatedNetwork} from './simulated_network.js';
import type {SimulatedOperator} from './simulated_operator.js';
import type {SimulatedRestore} from './simulated_restore.js';
import type {SimulatedTransfers} from './simulated_transfers.js';
import type {SimulatedZones} from './simulated_zones.js';
import {
  SimulatedConfiguration,
  SimulatedControlTable,
  SimulatedDirectory,
  type StoreCallCounts,
} from './simulated_tables.js';

/** Time after which a proxy gives up a promotion call. */
const PROMOTE_TIMEOUT_MS = 1_000;

/** State shared by the simulated proxies. @internal */
export interface SimulatedDeployment {
  readonly clock: Clock;
  readonly network: SimulatedNetwork;
  readonly group: SimulatedGroup;
  readonly zones: SimulatedZones;
  readonly store: FakeControlTable;
  readonly rosters: FakeControlTable;
  readonly operator: SimulatedOperator;
  readonly restore: SimulatedRestore;
  readonly transfers: SimulatedTransfers;
  readonly storeCalls: StoreCallCounts;
  /** Latency of calls to the store. */
  readonly storeLatency: CallLatency;
  /** Running proxies by name. */
  readonly proxies: Map<string, SimulatedProxy>;
}

/** Replaces dependencies of a gateway, to break one of its parts. @internal */
export type GatewayMutation = (options: GatewayOptions) => GatewayOptions;

/** A real gateway whose dependencies are simulated. @internal */
export class SimulatedProxy {
  readonly events = InMemoryEventRecorder.create();
  readonly wallClock: FakeWallClock;
  readonly gateway: Gateway;
  /** Timers of the process; statements under way go on while it is paused. */
  readonly controlClock: PausableClock;
  private isPaused = false;

  private constructor(
    readonly name: string,
    incarnation: number,
    deployment: SimulatedDeployment,
    connector: BackendConnector,
    mutate: GatewayMutation,
  ) {
    const {clock} = deployment;
    this.wallClock = FakeWallClock.create(clock);
    this.controlClock = PausableClock.create(clock);
    const path = new NetworkPath(name, this.controlClock, deployment.network);
    const era = LatestStoreEra.create();
    const caller = new StoreCaller(path, clock, deployment.storeLatency);
    this.gateway = Gateway.create(
      mutate({
        self: {
          entryVm: name,
          availabilityZone: deployment.zones.getZone(name),
          peerHost: name,
          peerPort: 1,
          incarnation: `${name}-${incarnation}`,
        },
        clock: this.controlClock,
        wallClock: this.wallClock,
        random: SeededRandom.create(incarnation),
        events: this.events,
        connector,
        instances: new SimulatedInstanceControl(path, clock, deployment.group),
        promotions: createPromotions(path, clock, deployment.group),
        controlTable: new SimulatedControlTable(
          path,
          caller,
          deployment.store,
          deployment.storeCalls,
          era,
        ),
        rosterTable: new SimulatedControlTable(
          path,
          caller,
          deployment.rosters,
          deployment.storeCalls,
          era,
        ),
        directoryTable: new SimulatedDirectory(
          path,
          caller,
          deployment.group,
          deployment.restore,
          deployment.storeCalls,
        ),
        configurationTable: new SimulatedConfiguration(
          path,
          caller,
          deployment.operator,
          deployment.restore,
          deployment.storeCalls,
          deployment.transfers,
        ),
        configurationKey: 'config',
        peers: createPeers(path, deployment),
        relay: createRelay(path, deployment),
        forwardConnector: null,
        contactWindowMs: CONTACT_WINDOW_MS,
        drainDurationMs: DRAIN_MS,
        configurationApplyMs: CONFIGURATION_APPLY_MS,
        quotaRules: null,
        availabilityZones: [],
        zoneRegions: new Map(),
        isFirstStart: false,
      }),
    );
  }

  /** Whether the process is suspended. */
  get isFrozen(): boolean {
    return this.isPaused;
  }

  /** Suspends the process: no timer runs, and no message is handled. */
  freeze(): void {
    this.isPaused = true;
    this.controlClock.pause();
  }

  /** Resumes the process, which first runs the timers that have expired. */
  thaw(): void {
    this.isPaused = false;
    this.controlClock.resume();
  }

  static start(
    name: string,
    incarnation: number,
    deployment: SimulatedDeployment,
    connector: BackendConnector,
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

/** Time after which a proxy gives up a status call or a control command. */
const CONTROL_TIMEOUT_MS = 800;

const NO_CONTROL_RESPONSE: InstanceControlError = {
  kind: 'unreachable',
  reason: 'simulated',
};

type ControlResult = Result<InstanceStatus, InstanceControlError>;

class SimulatedInstanceControl implements InstanceControl {
  constructor(
    private readonly path: NetworkPath,
    private readonly clock: Clock,
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
    const {requestMs, responseMs} = this.group.controlLatency.draw();
    if (!(await this.path.reach(server.backendServer))) {
      return failure(NO_CONTROL_RESPONSE);
    }
    const status = this.perform(server, change, requestMs);
    await this.path.pause(Math.min(requestMs + responseMs, CONTROL_TIMEOUT_MS));
    if (requestMs + responseMs > CONTROL_TIMEOUT_MS) {
      return failure(NO_CONTROL_RESPONSE);
    }
    return this.path.canReach(server.backendServer)
      ? status
      : failure(NO_CONTROL_RESPONSE);
  }

  /** Performs a command once it arrives, also if its caller has given up. */
  private async perform(
    server: BackendServerEntry,
    change: (instance: SimulatedInstance) => void,
    requestMs: number,
  ): Promise<ControlResult> {
    if (requestMs > 0) {
      await sleep(this.clock, requestMs);
    }
    const instance = this.group.findAt(server.host);
    const id = instance?.entry.backendServer ?? server.backendServer;
    if (instance === null || !this.path.canReach(id)) {
      return failure(NO_CONTROL_RESPONSE);
    }
    const isExpected =
      server.backendServer === UNNAMED_BACKEND_SERVER
        ? !instance.isForeign
        : id === server.backendServer;
    if (!isExpected) {
      return failure({kind: 'wrongServer'});
    }
    change(instance);
    return success(this.group.describe(instance));
  }
}

/**
 * The promotion service. It accepts a late order although its caller has given
 * up or has ended.
 */
function createPromotions(
  path: NetworkPath,
  clock: Clock,
  group: SimulatedGroup,
): PromotionService {
  return {
    promote: async (order, maySend) => {
      if (!(await path.reach('promotions'))) {
        return failure({kind: 'outcomeUnknown', reason: 'simulated'});
      }
      if (!maySend()) {
        return failure({kind: 'unavailable', reason: 'simulated'});
      }
      const delayMs = group.acceptDelayMs;
      if (delayMs === 0) {
        return convertAccepted(group.order(order));
      }
      let isAccepted: boolean | null = null;
      clock.startTimer(delayMs, () => {
        isAccepted = group.order(order);
      });
      await path.pause(Math.min(delayMs, PROMOTE_TIMEOUT_MS));
      return isAccepted === null
        ? failure({kind: 'outcomeUnknown', reason: 'simulated'})
        : convertAccepted(isAccepted);
    },
  };
}

function convertAccepted(isAccepted: boolean): Result<void, PromotionError> {
  return isAccepted
    ? success(undefined)
    : failure({kind: 'rejected', status: 409});
}

/** Interval at which a message to a frozen process is tried again. */
const FROZEN_POLL_MS = 5;

async function handleWhenThawed<T>(
  proxy: SimulatedProxy,
  clock: Clock,
  run: (handler: PeerHandler) => T | Promise<T>,
): Promise<void> {
  while (proxy.isFrozen) {
    await sleep(clock, FROZEN_POLL_MS);
  }
  await run(proxy.gateway.peerHandler);
}

function createPeers(
  path: NetworkPath,
  deployment: SimulatedDeployment,
): PeerClient {
  const call = async <T>(
    peer: EntryVmRecord,
    run: (handler: PeerHandler) => T | Promise<T>,
  ): Promise<Result<T, PeerError>> => {
    const proxy = (await path.reach(peer.entryVm))
      ? deployment.proxies.get(peer.entryVm)
      : undefined;
    if (proxy === undefined) {
      return failure({kind: 'unreachable', reason: 'simulated'});
    }
    if (proxy.isFrozen) {
      // The request is handled once the process resumes; its caller has given up.
      void handleWhenThawed(proxy, deployment.clock, run);
      await path.pause(CALL_TIMEOUT_MS);
      return failure({kind: 'unreachable', reason: 'simulated'});
    }
    const response = await run(proxy.gateway.peerHandler);
    if (proxy.isFrozen) {
      await path.pause(CALL_TIMEOUT_MS);
      return failure({kind: 'unreachable', reason: 'simulated'});
    }
    return (await path.reach(peer.entryVm))
      ? success(response)
      : failure({kind: 'unreachable', reason: 'simulated'});
  };
  const followZone: PeerClient['followZone'] = async (peer, request) => {
    const response = await call(peer, handler => handler.followZone(request));
    if (!response.ok || response.value === null) {
      return response;
    }
    await deployment.transfers.send(peer.entryVm, path.name, response.value);
    return path.canReach(peer.entryVm)
      ? response
      : failure({kind: 'unreachable', reason: 'simulated'});
  };
  return {
    release: (peer, request) => call(peer, handler => handler.release(request)),
    announce: (peer, record) => call(peer, handler => handler.announce(record)),
    reportSuspicion: (peer, report) =>
      call(peer, handler => handler.reportSuspicion(report)),
    askReach: (peer, request) =>
      call(peer, handler => handler.askReach(request)),
    handOverDuty: (peer, transfer) =>
      call(peer, handler => handler.takeOverDuty(transfer)),
    compareRecords: peer => call(peer, handler => handler.compareRecords()),
    askPosition: (peer, request) =>
      call(peer, handler => handler.tellPosition(request)),
    followZone: (peer, request) => followZone(peer, request),
    exchangePermits: (peer, exchange) =>
      call(peer, handler => handler.exchangePermits(exchange)),
  };
}

function createRelay(
  path: NetworkPath,
  deployment: SimulatedDeployment,
): ControlRelay {
  return {
    listControl: async peer => {
      const proxy = (await path.reach(peer.entryVm))
        ? deployment.proxies.get(peer.entryVm)
        : undefined;
      return proxy === undefined
        ? failure({kind: 'unreachable', reason: 'simulated'})
        : success(await proxy.gateway.controlRelayHandler.listForPeer());
    },
    putControl: async (peer, write) => {
      const proxy = (await path.reach(peer.entryVm))
        ? deployment.proxies.get(peer.entryVm)
        : undefined;
      return proxy === undefined
        ? success(failure({kind: 'outcomeUnknown', reason: 'simulated'}))
        : success(await proxy.gateway.controlRelayHandler.putForPeer(write));
    },
  };
}
