import type {Clock} from '@filbertrun/base/clock.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {
  InstanceStatus,
  PromotionOrder,
} from '../backend/instance_control.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import {createEntry} from '../testing/fake_instances.js';
import type {SafetyOracle} from './safety_oracle.js';
import {CallLatency} from './call_latency.js';
import {getMachine, SUCCESSOR_MARK} from './machine_name.js';
import {STORE, type SimulatedNetwork} from './simulated_network.js';
import type {SimulatedZones} from './simulated_zones.js';

/** One write in the log of an instance. @internal */
export interface LogRecord {
  readonly term: number;
  /** Id of the request that wrote it. */
  readonly writeId: string;
}

/** The log that a primary has sent to a replica. */
interface LogInTransit {
  readonly primary: SimulatedInstance;
  readonly log: readonly LogRecord[];
  readonly term: number;
  readonly arrivesAtMs: number;
}

/** Receives what happens at the instances and at the platform. @internal */
export interface GroupObserver {
  handleGroupEvent(kind: GroupEventKind, backendServer: string): void;
}

/** An event at an instance or at the platform. @internal */
export type GroupEventKind =
  | 'pauseArrived'
  | 'stepDownArrived'
  | 'promotionArrived'
  | 'promotionEffective';

/** Times of the platform that the protocol leaves open. @internal */
export interface PlatformTimes {
  /** Time from the start of a successor until its first entry is listed. */
  readonly successorListedMs: number;
  /** Time from the restart of an instance until its new entry is listed. */
  readonly restartListedMs: number;
  /** Time from the return of the store until an expired entry is listed. */
  readonly relistedMs: number;
  /**
   * Time from the end of a drained instance to the start of its successor; null
   * if it has none.
   */
  readonly drainedDownMs: number | null;
  /** Time for which a replaced primary goes on after it can reach the new one. */
  readonly stepDownAfterMs: number;
}

/** Times of a platform that lists each entry at once. @internal */
export const PROMPT_PLATFORM: PlatformTimes = {
  successorListedMs: 0,
  restartListedMs: 0,
  relistedMs: 0,
  drainedDownMs: null,
  stepDownAfterMs: 0,
};

/** One instance of the simulated group. @internal */
export interface SimulatedInstance {
  entry: BackendServerEntry;
  /** The entry that the store holds; null until the first heartbeat arrives. */
  listedEntry: BackendServerEntry | null;
  /** Time before which no heartbeat with the current entry reaches the store. */
  listedFromMs: number;
  role: 'primary' | 'replica';
  term: number;
  pausedTerm: number;
  log: readonly LogRecord[];
  isRunning: boolean;
  /** Whether it receives nothing from its primary although it is reachable. */
  isReplicationStalled: boolean;
  /** Time from a commit until it is received. */
  replicationDelayMs: number;
  /** Commits that are on their way to it, oldest first. */
  inTransit: readonly LogInTransit[];
  /** Whether it has left for good, so that it never starts again. */
  hasLeft: boolean;
  /** When its last heartbeat reached the store. */
  heartbeatAtMs: number;
  /** When its draining state first reached the store; null before. */
  drainedAtMs: number | null;
  /** Time since which, as a replaced primary, it has reached the new one. */
  reachesLeaderSinceMs: number | null;
  /** Whether it belongs to another service that took over an address. */
  readonly isForeign: boolean;
}

/** Time for which proxies may use a draining instance. @internal */
export const DRAIN_MS = 7_000;

/** Time without a heartbeat after which the store drops an entry. */
const ENTRY_EXPIRY_MS = 3_600;

/** Time until a draining instance stops. */
const DRAIN_STOP_DELAY_MS = 9_000;

/** Time from a promotion order to its effect, by default. @internal */
export const PROMOTION_MS = 300;

/**
 * A database group that behaves as the platform specifies: a commit is
 * acknowledged once a replica holds it, a promotion keeps the log of the target,
 * and an old primary keeps its role until it reaches the new one.
 *
 * @internal
 */
export class SimulatedGroup {
  readonly instances = new Map<string, SimulatedInstance>();
  readonly orders: PromotionOrder[] = [];
  /** Time after which the platform accepts an order that has arrived. */
  acceptDelayMs = 0;
  /** Time from an accepted order to its effect. */
  promotionMs = PROMOTION_MS;
  times = PROMPT_PLATFORM;
  /** Latency of status calls and control commands, as they are sent. */
  readonly controlLatency = CallLatency.create();
  observer: GroupObserver | null = null;
  private successorCount = 0;
  private readonly foreignHosts = new Set<string>();

  private constructor(
    private readonly clock: Clock,
    private readonly network: SimulatedNetwork,
    private readonly oracle: SafetyOracle,
    private readonly zones: SimulatedZones,
  ) {
    this.add('p', 'primary');
    this.add('r1', 'replica');
    this.add('r2', 'replica');
  }

  static create(
    clock: Clock,
    network: SimulatedNetwork,
    oracle: SafetyOracle,
    zones: SimulatedZones,
  ): SimulatedGroup {
    return new SimulatedGroup(clock, network, oracle, zones);
  }

  get(backendServer: string): SimulatedInstance {
    const instance = this.instances.get(backendServer);
    if (instance === undefined) {
      throw new Error(`There is no instance ${backendServer}.`);
    }
    return instance;
  }

  /** The primary of the latest term, not the failover leader of the proxies. */
  findLeader(): SimulatedInstance {
    let leader: SimulatedInstance | null = null;
    for (const instance of this.instances.values()) {
      const isLater = leader === null || instance.term > leader.term;
      if (instance.role === 'primary' && !instance.hasLeft && isLater) {
        leader = instance;
      }
    }
    return leader ?? this.get('p');
  }

  /** Whether any instance is running; all of them may drain and stop. */
  get hasRunningInstance(): boolean {
    return [...this.instances.values()].some(({isRunning}) => isRunning);
  }

  getPosition(instance: SimulatedInstance): LogPosition {
    const last = instance.log.at(-1);
    return {term: last?.term ?? 1, position: instance.log.length};
  }

  /** Commits writes on an instance; returns whether a replica holds them. */
  commit(instance: SimulatedInstance, writeIds: readonly string[]): boolean {
    if (writeIds.length === 0) {
      return true;
    }
    const records = writeIds.map(writeId => ({term: instance.term, writeId}));
    instance.log = [...instance.log, ...records];
    return this.replicate(instance);
  }

  /** Sends heartbeats, replicates, and steps down replaced primaries. */
  tick(): void {
    this.sendHeartbeats();
    for (const instance of this.instances.values()) {
      if (instance.role === 'primary' && instance.isRunning) {
        this.replicate(instance);
      }
    }
    this.stepDownOldPrimaries();
  }

  /** Revision of the directory, which increases with time. */
  get directoryRevision(): number {
    return Math.floor(this.clock.nowMs());
  }

  /** The unexpired directory entries. */
  listEntries(): readonly BackendServerEntry[] {
    const entries: BackendServerEntry[] = [];
    for (const instance of this.instances.values()) {
      if (instance.listedEntry !== null && !this.isExpired(instance)) {
        entries.push(instance.listedEntry);
      }
    }
    return entries;
  }

  /** Instances whose directory entries have expired. */
  listExpired(): readonly string[] {
    return [...this.instances.values()]
      .filter(
        instance => instance.listedEntry === null || this.isExpired(instance),
      )
      .map(({entry}) => entry.backendServer);
  }

  /** The running instance at an address, or null. */
  findAt(host: string): SimulatedInstance | null {
    if (this.foreignHosts.has(host)) {
      return createInstance(`foreign-${host}`, 'replica', true, 0);
    }
    for (const instance of this.instances.values()) {
      if (instance.entry.host === host && instance.isRunning) {
        return instance;
      }
    }
    return null;
  }

  /** Makes an instance announce that it is draining and stop a while later. */
  drain(instance: SimulatedInstance): void {
    instance.entry = {...instance.entry, state: 'draining'};
    this.clock.startTimer(DRAIN_STOP_DELAY_MS, () => {
      const {drainedDownMs} = this.times;
      if (drainedDownMs === null) {
        this.crash(instance);
      } else {
        this.replace(instance, drainedDownMs);
      }
    });
  }

  /** Stops an instance for good; its log is gone with it. */
  leave(instance: SimulatedInstance): void {
    this.crash(instance);
    instance.hasLeft = true;
    instance.log = [];
  }

  /**
   * Ends an instance and hands its log to a new one at its address, which
   * receives at once but is listed only some time later.
   */
  replace(instance: SimulatedInstance, downMs: number): void {
    if (instance.hasLeft || this.foreignHosts.has(instance.entry.host)) {
      return;
    }
    const {log, role, term} = instance;
    this.leave(instance);
    this.clock.startTimer(downMs, () => {
      const successor = this.createSuccessor(instance);
      successor.log = log;
      successor.term = term;
      const isLeader = role === 'primary' && !this.hasLaterPrimary(term);
      this.setRole(successor, isLeader ? 'primary' : 'replica');
      this.instances.set(successor.entry.backendServer, successor);
    });
  }

  private createSuccessor({entry}: SimulatedInstance): SimulatedInstance {
    this.successorCount++;
    const machine = getMachine(entry.backendServer);
    const backendServer = `${machine}${SUCCESSOR_MARK}${this.successorCount}`;
    const nowMs = this.clock.nowMs();
    const successor = createInstance(
      backendServer,
      'replica',
      false,
      nowMs,
      entry.availabilityZone,
    );
    successor.entry = {
      ...successor.entry,
      host: entry.host,
      startedAtEpochMs: nowMs,
    };
    successor.listedEntry = null;
    successor.listedFromMs = nowMs + this.times.successorListedMs;
    return successor;
  }

  private hasLaterPrimary(term: number): boolean {
    return [...this.instances.values()].some(
      other => other.role === 'primary' && other.term > term,
    );
  }

  /** Stops an instance for good; another service takes over its address. */
  replaceWithForeign(instance: SimulatedInstance): void {
    this.crash(instance);
    this.foreignHosts.add(instance.entry.host);
  }

  describe(instance: SimulatedInstance): InstanceStatus {
    return {
      role: instance.role,
      term: instance.term,
      receivedPosition: this.getPosition(instance),
      pausedTerm: instance.pausedTerm,
      lagMs: 0,
    };
  }

  pause(instance: SimulatedInstance, term: number): void {
    this.notify('pauseArrived', instance.entry.backendServer);
    if (instance.role === 'replica' && term > instance.term) {
      instance.pausedTerm = Math.max(instance.pausedTerm, term);
    }
  }

  stepDown(instance: SimulatedInstance, term: number): void {
    this.notify('stepDownArrived', instance.entry.backendServer);
    if (instance.role === 'primary' && instance.term < term) {
      this.setRole(instance, 'replica');
    }
  }

  /** Starts a promotion; returns false if the target is not running. */
  order(order: PromotionOrder): boolean {
    this.oracle.checkOrder(order);
    this.orders.push(order);
    this.notify('promotionArrived', order.target);
    const target = this.instances.get(order.target);
    if (target === undefined || !target.isRunning) {
      return false;
    }
    this.clock.startTimer(this.promotionMs, () => {
      if (target.isRunning) {
        this.promote(target);
      }
    });
    return true;
  }

  crash(instance: SimulatedInstance): void {
    instance.isRunning = false;
    instance.inTransit = [];
  }

  /** Starts an instance again; its log is kept, a replication pause is not. */
  restart(instance: SimulatedInstance): void {
    const isAbsent =
      instance.hasLeft || this.foreignHosts.has(instance.entry.host);
    if (isAbsent || instance.isRunning) {
      return;
    }
    instance.isRunning = true;
    instance.pausedTerm = 0;
    instance.listedFromMs = this.clock.nowMs() + this.times.restartListedMs;
    const hasSuccessor = this.findLeader().term > instance.term;
    if (hasSuccessor) {
      this.setRole(instance, 'replica');
    }
    instance.entry = {
      ...instance.entry,
      startedAtEpochMs: this.clock.nowMs() + 1,
    };
  }

  private add(backendServer: string, role: 'primary' | 'replica'): void {
    this.instances.set(
      backendServer,
      createInstance(
        backendServer,
        role,
        false,
        this.clock.nowMs(),
        this.zones.getZone(backendServer),
      ),
    );
  }

  private isExpired({heartbeatAtMs}: SimulatedInstance): boolean {
    return this.clock.nowMs() - heartbeatAtMs > ENTRY_EXPIRY_MS;
  }

  private sendHeartbeats(): void {
    for (const instance of this.instances.values()) {
      const {backendServer, state} = instance.entry;
      if (
        !instance.isRunning ||
        !this.network.isConnected(backendServer, STORE)
      ) {
        continue;
      }
      const nowMs = this.clock.nowMs();
      if (this.isExpired(instance) && nowMs >= instance.listedFromMs) {
        instance.listedFromMs = nowMs + this.times.relistedMs;
        instance.heartbeatAtMs = nowMs;
        instance.listedEntry = null;
      }
      if (nowMs >= instance.listedFromMs) {
        instance.heartbeatAtMs = nowMs;
        instance.listedEntry = instance.entry;
        if (state === 'draining') {
          instance.drainedAtMs ??= this.clock.nowMs();
        }
      }
    }
  }

  private setRole(
    instance: SimulatedInstance,
    role: 'primary' | 'replica',
  ): void {
    instance.role = role;
    instance.entry = {...instance.entry, reportedRole: role};
  }

  /** Sends the log to every replica that follows; true if one holds it. */
  private replicate(primary: SimulatedInstance): boolean {
    let isReplicated = false;
    for (const replica of this.instances.values()) {
      if (this.follows(replica, primary)) {
        this.send(primary, replica);
        isReplicated ||= replica.log === primary.log;
      }
    }
    return isReplicated;
  }

  private send(primary: SimulatedInstance, replica: SimulatedInstance): void {
    const nowMs = this.clock.nowMs();
    const {log, term} = primary;
    const arrivesAtMs = nowMs + replica.replicationDelayMs;
    replica.inTransit = [
      ...replica.inTransit.filter(sent => sent.primary === primary),
      {primary, log, term, arrivesAtMs},
    ];
    const arrived = replica.inTransit.findLast(
      sent => sent.arrivesAtMs <= nowMs,
    );
    if (arrived !== undefined) {
      replica.log = arrived.log;
      replica.term = arrived.term;
      replica.inTransit = replica.inTransit.filter(
        sent => sent.arrivesAtMs > nowMs,
      );
    }
  }

  private notify(kind: GroupEventKind, backendServer: string): void {
    this.observer?.handleGroupEvent(kind, backendServer);
  }

  private follows(
    replica: SimulatedInstance,
    primary: SimulatedInstance,
  ): boolean {
    return (
      replica !== primary &&
      !replica.hasLeft &&
      replica.role === 'replica' &&
      replica.isRunning &&
      !replica.isReplicationStalled &&
      replica.pausedTerm <= primary.term &&
      replica.term <= primary.term &&
      this.network.isConnected(
        replica.entry.backendServer,
        primary.entry.backendServer,
      ) &&
      !this.reachesLaterPrimary(replica, primary)
    );
  }

  /** Whether a replica reaches a primary of a later term. */
  private reachesLaterPrimary(
    replica: SimulatedInstance,
    primary: SimulatedInstance,
  ): boolean {
    const leader = this.findLeader();
    return (
      leader.term > primary.term &&
      leader.isRunning &&
      this.network.isConnected(
        replica.entry.backendServer,
        leader.entry.backendServer,
      )
    );
  }

  /** Makes an instance the primary of the next term. */
  promote(target: SimulatedInstance): void {
    this.oracle.checkPromotion(target, [...this.instances.values()]);
    let newestTerm = 0;
    for (const {term} of this.instances.values()) {
      newestTerm = Math.max(newestTerm, term);
    }
    target.term = newestTerm + 1;
    this.setRole(target, 'primary');
    for (const instance of this.instances.values()) {
      instance.pausedTerm = 0;
    }
    this.oracle.recordPromotion(target);
    this.notify('promotionEffective', target.entry.backendServer);
    this.tick();
  }

  private stepDownOldPrimaries(): void {
    const leader = this.findLeader();
    for (const instance of this.instances.values()) {
      const canReachLeader =
        leader.isRunning &&
        instance.isRunning &&
        this.network.isConnected(
          instance.entry.backendServer,
          leader.entry.backendServer,
        );
      const isReplaced =
        instance.role === 'primary' && instance.term < leader.term;
      if (!isReplaced || !canReachLeader) {
        instance.reachesLeaderSinceMs = null;
        continue;
      }
      const nowMs = this.clock.nowMs();
      instance.reachesLeaderSinceMs ??= nowMs;
      const reachedMs = nowMs - instance.reachesLeaderSinceMs;
      if (reachedMs >= this.times.stepDownAfterMs) {
        this.setRole(instance, 'replica');
      }
    }
  }
}

function createInstance(
  backendServer: string,
  role: 'primary' | 'replica',
  isForeign: boolean,
  nowMs: number,
  availabilityZone = `zone-${backendServer}`,
): SimulatedInstance {
  const entry = {
    ...createEntry(backendServer, role),
    availabilityZone,
    host: `host-${backendServer}`,
  };
  return {
    entry,
    listedEntry: entry,
    listedFromMs: nowMs,
    role,
    term: 1,
    pausedTerm: 0,
    log: [],
    isRunning: true,
    isReplicationStalled: false,
    replicationDelayMs: 0,
    inTransit: [],
    hasLeft: false,
    heartbeatAtMs: nowMs,
    drainedAtMs: null,
    reachesLeaderSinceMs: null,
    isForeign,
  };
}
