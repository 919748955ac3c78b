import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import type {
  AvailabilityZone,
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import {
  comparePositions,
  getLaterPosition,
  ORIGIN_POSITION,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import {runInBackground} from '@filbertrun/observability/background_task.js';
import type {Logger} from '@filbertrun/observability/logger.js';
import type {PlatformTable} from '@filbertrun/platform/platform_service.js';
import {ClaimTable} from './claim_table.js';
import {FailoverDriver} from './failover_driver.js';
import {
  getObserved,
  getServingPrimary,
  type FailoverState,
} from './failover_state.js';
import {FreshnessRing} from './freshness_ring.js';
import type {
  MajorityUnconfirmed,
  NoPrimary,
  PrimaryChangeError,
  TermUnconfirmed,
} from './group_error.js';
import {classifyHealth} from './classify_health.js';
import type {GroupPeers, GroupView, InstanceHealth} from './group_peers.js';
import {GroupRules} from './group_rules.js';
import type {InstanceConnector, InstanceEvent} from './instance_connector.js';
import type {InstanceStatus, TermConfirmation} from './instance_control.js';
import {InstanceClients} from './instance_clients.js';
import {MajorityTracker} from './majority_tracker.js';
import {PrimaryChange} from './primary_change.js';
import {PrimaryWaiters} from './primary_waiters.js';
import {TermConfirmer} from './term_confirmer.js';

/** Options of a group manager. @public */
export interface GroupManagerOptions {
  readonly databaseGroup: DatabaseGroupName;
  readonly backendServers: readonly BackendServer[];
  readonly entryVm: string;
  readonly availabilityZone: AvailabilityZone;
  readonly connector: InstanceConnector;
  readonly platform: PlatformTable;
  readonly peers: GroupPeers;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Replaced only by the fuzzer's mutation tests. */
  readonly rules?: GroupRules;
}

/** Routing information about one instance. @public */
export interface GroupCandidate {
  readonly server: BackendServer;
  readonly isPrimary: boolean;
  /** Whether the instance is active and not known to have failed. */
  readonly isAvailable: boolean;
  /** Lower bound of the instance's log position. */
  readonly knownPosition: LogPosition;
  readonly latencyMs: number;
}

/** Interval of the periodic maintenance. */
const MAINTENANCE_INTERVAL_MS = 100;

/** Interval between two freshness bounds while reads need them. */
const FRESHNESS_INTERVAL_MS = 250;

/** Time after a read that needs freshness bounds for which they are renewed. */
const FRESHNESS_DEMAND_MS = 5000;

/** Interval between two attempts to replace a draining primary. */
const REPLACEMENT_INTERVAL_MS = 2000;

/**
 * Time without a call of `getCandidates` after which a group counts as idle.
 */
const IDLE_AFTER_MS = 5000;

/** Upper bound of the random part of a claim prefix. */
const PREFIX_RANGE = 2 ** 31 - 1;

/**
 * Manages one database group in one proxy: the current primary, the position
 * that a majority holds, the freshness of data, and changes of the primary.
 *
 * @public
 */
export class GroupManager {
  private readonly listeners = new Set<() => void>();
  private readonly positions = new Map<BackendServerId, LogPosition>();
  private readonly clients: InstanceClients;
  private readonly driver: FailoverDriver;
  private readonly tracker: MajorityTracker;
  private readonly waiters: PrimaryWaiters;
  private readonly confirmer: TermConfirmer;
  private readonly change: PrimaryChange;
  private readonly freshness = FreshnessRing.create();
  private readonly rules: GroupRules;
  private readonly stopListening: () => void;
  private timer: Timer | null = null;
  private servers: readonly BackendServer[];
  private freshnessDemandMs = -Infinity;
  private lastUseMs = -Infinity;
  private nextReplacementMs = -Infinity;
  private lastConfirmationMs = -Infinity;
  private holdUntilMs = -Infinity;
  /** Highest term whose view `handleNewView` has handled. */
  private seenTerm = 0;
  /** Term in which the write hold began. */
  private holdTerm = 0;
  private isDisposed = false;

  private constructor(private readonly options: GroupManagerOptions) {
    const {clock, random, databaseGroup, peers} = options;
    this.rules = options.rules ?? GroupRules.create();
    this.servers = options.backendServers;
    this.tracker = MajorityTracker.create(clock, this.rules);
    this.waiters = PrimaryWaiters.create(clock);
    this.confirmer = TermConfirmer.create(this.rules, () =>
      this.runConfirmationRound(),
    );
    this.clients = InstanceClients.create(this.getVotingInstances(), {
      connector: options.connector,
      clock,
      random,
      listener: {
        handleStatus: (server, status) => this.handleStatus(server, status),
        handleFailure: (server, health) =>
          this.driver.handleEvent({
            kind: 'instanceFailed',
            backendServer: server.backendServer,
            health,
          }),
        handleEvent: (server, event) => this.handleEvent(server, event),
      },
    });
    this.driver = FailoverDriver.create({
      databaseGroup,
      claimPrefix: `${options.entryVm}.${random.nextInteger(0, PREFIX_RANGE)}`,
      servers: this.getVotingInstances(),
      localZone: options.availabilityZone,
      clock,
      random,
      rules: this.rules,
      peers,
      claims: ClaimTable.create(options.platform, databaseGroup),
      logger: options.logger,
      getClient: server => this.clients.get(server),
      onState: state => this.handleState(state),
    });
    this.change = PrimaryChange.create({
      databaseGroup,
      clock,
      peers,
      driver: this.driver,
      clients: this.clients,
    });
    const unsubscribeFromViews = peers.onView(databaseGroup, view =>
      this.driver.handleEvent({kind: 'viewReceived', view}),
    );
    const unsubscribeFromWriteHolds = peers.onWriteHold(databaseGroup, holdMs =>
      this.handleWriteHold(holdMs),
    );
    this.stopListening = () => {
      unsubscribeFromViews();
      unsubscribeFromWriteHolds();
    };
  }

  static create(options: GroupManagerOptions): GroupManager {
    const manager = new GroupManager(options);
    manager.maintain();
    return manager;
  }

  /** The primary that accepts writes; null during a change. */
  getPrimary(): BackendServer | null {
    if (this.isHoldingWrites()) {
      return null;
    }
    const primary = getServingPrimary(this.driver.getState());
    const server = this.servers.find(each => each.backendServer === primary);
    return server ?? null;
  }

  /** The highest term known to have a primary, or 0. */
  getTerm(): number {
    return this.driver.getState().view?.term ?? 0;
  }

  /** This proxy's view of the group, which it sends to others; null if none. */
  getView(): GroupView | null {
    return this.driver.getState().view;
  }

  /** Waits for a primary until `deadlineMs` of the clock. */
  waitForPrimary(
    deadlineMs: number,
  ): Promise<Result<BackendServer, NoPrimary>> {
    const primary = this.getPrimary();
    return primary === null
      ? this.waiters.wait(deadlineMs)
      : Promise.resolve(success(primary));
  }

  /**
   * Resolves once a majority of the group holds `position` in the term of that
   * position. After an error the write's outcome is unknown.
   */
  waitForMajority(
    position: LogPosition,
    deadlineMs: number,
  ): Promise<Result<void, MajorityUnconfirmed>> {
    return this.tracker.waitFor(position, deadlineMs);
  }

  /**
   * Confirms that the primary was still current at some time after the call.
   */
  confirmTerm(): Promise<Result<TermConfirmation, TermUnconfirmed>> {
    return this.confirmer.confirm();
  }

  /** Lower bound of an instance's log position. */
  getKnownPosition(backendServer: BackendServerId): LogPosition {
    return this.positions.get(backendServer) ?? ORIGIN_POSITION;
  }

  /** Records a position that an instance reported, on any connection. */
  recordPosition(backendServer: BackendServerId, position: LogPosition): void {
    this.positions.set(
      backendServer,
      getLaterPosition(this.getKnownPosition(backendServer), position),
    );
  }

  /**
   * A position for which data that covers it is no older than `maxAgeMs`; null
   * if none is known yet.
   */
  getFreshPosition(maxAgeMs: number): LogPosition | null {
    const nowMs = this.options.clock.nowMs();
    this.freshnessDemandMs = nowMs;
    return this.freshness.getPosition(nowMs, maxAgeMs);
  }

  /** Polls an instance at once because a caller's connection to it was lost. */
  reportConnectionLoss(backendServer: BackendServerId): void {
    this.clients.get(backendServer)?.pollIfDue(0);
  }

  /** Routing information about each instance that is not removed. */
  getCandidates(): readonly GroupCandidate[] {
    this.lastUseMs = this.options.clock.nowMs();
    const state = this.driver.getState();
    const primary = getServingPrimary(state);
    const candidates: GroupCandidate[] = [];
    for (const server of this.getVotingInstances()) {
      const observed = getObserved(state, server.backendServer);
      const client = this.clients.get(server.backendServer);
      // Without a wanted connection the instance is no longer polled, so a
      // failure seen when the connection was closed may be out of date.
      const hasFailed =
        observed.failure !== null && client?.isWanted() === true;
      candidates.push({
        server,
        isPrimary: server.backendServer === primary,
        isAvailable: server.state === 'active' && !hasFailed,
        knownPosition: this.getKnownPosition(server.backendServer),
        latencyMs: client?.getLatencyMs() ?? 0,
      });
    }
    return candidates;
  }

  /**
   * Polls an instance for its health, to respond to another proxy's suspicion.
   */
  async probe(backendServer: BackendServerId): Promise<InstanceHealth> {
    const client = this.clients.get(backendServer);
    if (client === null) {
      return 'unknown';
    }
    return classifyHealth(await client.poll());
  }

  /** Whether new writes wait for a planned change of primary. */
  isHoldingWrites(): boolean {
    return this.options.clock.nowMs() < this.holdUntilMs;
  }

  /** Runs a planned change of the primary to `target`. */
  changePrimary(
    target: BackendServerId,
  ): Promise<Result<GroupView, PrimaryChangeError>> {
    return this.change.run(target);
  }

  /** Applies the instances of a newer configuration. */
  setBackendServers(servers: readonly BackendServer[]): void {
    this.servers = servers;
    this.clients.setServers(this.getVotingInstances());
    this.driver.handleEvent({
      kind: 'serversChanged',
      servers: this.getVotingInstances().map(server => server.backendServer),
    });
    this.updateWanted();
    this.notify();
  }

  /**
   * Calls `listener` when the primary, the term or an instance has changed.
   * Returns a function that unsubscribes it.
   */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  dispose(): void {
    this.isDisposed = true;
    this.timer?.cancel();
    this.stopListening();
    this.driver.dispose();
    this.clients.dispose();
    this.tracker.dispose();
    this.waiters.dispose();
    this.confirmer.dispose();
    this.listeners.clear();
  }

  /** The instances that count for a majority. */
  private getVotingInstances(): readonly BackendServer[] {
    return this.servers.filter(server => server.state !== 'removed');
  }

  private handleStatus(server: BackendServer, status: InstanceStatus): void {
    this.recordPosition(server.backendServer, status.position);
    for (const replica of status.replicas) {
      this.recordPosition(replica.backendServer, replica.confirmed);
    }
    this.driver.handleEvent({kind: 'statusObserved', status});
  }

  private handleEvent(server: BackendServer, event: InstanceEvent): void {
    switch (event.kind) {
      case 'majorityAdvanced':
        this.tracker.handleMajority(event.position);
        return;
      case 'positionReported':
        this.recordPosition(server.backendServer, event.position);
        return;
      case 'roleReported':
        this.clients.get(server.backendServer)?.pollIfDue(0);
        return;
      case 'closed':
        return;
    }
  }

  private handleState(state: FailoverState): void {
    const view = state.view;
    if (view !== null && view.term > this.seenTerm) {
      this.seenTerm = view.term;
      this.handleNewView(view);
    }
    this.updateWanted();
    this.resolveWaiters();
    this.notify();
  }

  private handleNewView(view: GroupView): void {
    this.tracker.handleTerm(view.term);
    this.clients.get(view.primary)?.pollIfDue(0);
    if (view.term > this.holdTerm) {
      this.holdUntilMs = -Infinity;
    }
  }

  /** Starts or, with 0, ends a hold of new writes for a planned change. */
  private handleWriteHold(holdMs: number): void {
    this.holdTerm = this.getTerm();
    const nowMs = this.options.clock.nowMs();
    this.holdUntilMs = holdMs > 0 ? nowMs + holdMs : -Infinity;
    if (holdMs > 0) {
      this.options.clock.startTimer(holdMs, () => this.resolveWaiters());
    }
    this.resolveWaiters();
    this.notify();
  }

  private resolveWaiters(): void {
    const primary = this.getPrimary();
    if (primary !== null) {
      this.waiters.resolveAll(primary);
    }
  }

  private notify(): void {
    for (const listener of this.listeners) {
      listener();
    }
  }

  private maintain(): void {
    if (this.isDisposed) {
      return;
    }
    this.updateWanted();
    this.clients.pollDue(this.isIdle());
    this.renewFreshness();
    this.replaceDrainingPrimary();
    this.timer = this.options.clock.startTimer(MAINTENANCE_INTERVAL_MS, () =>
      this.maintain(),
    );
  }

  /** Whether this proxy neither monitors the group nor routes reads to it. */
  private isIdle(): boolean {
    const rank = this.options.peers.getMonitorRank(this.options.databaseGroup);
    const nowMs = this.options.clock.nowMs();
    return rank === null && nowMs - this.lastUseMs >= IDLE_AFTER_MS;
  }

  /**
   * Monitors keep a connection to each instance, other proxies only to the
   * primary while one is known.
   */
  private updateWanted(): void {
    const rank = this.options.peers.getMonitorRank(this.options.databaseGroup);
    const primary = getServingPrimary(this.driver.getState());
    this.clients.setWanted(primary, rank !== null || primary === null);
  }

  /**
   * A draining primary accepts no new work, so its group would accept no
   * writes. The first monitor changes the primary to an active replica.
   */
  private replaceDrainingPrimary(): void {
    const nowMs = this.options.clock.nowMs();
    const rank = this.options.peers.getMonitorRank(this.options.databaseGroup);
    if (rank !== 0 || nowMs < this.nextReplacementMs) {
      return;
    }
    const target = this.findReplacement();
    if (target === null) {
      return;
    }
    this.nextReplacementMs = nowMs + REPLACEMENT_INTERVAL_MS;
    const {databaseGroup, logger} = this.options;
    logger.info('draining_primary_replaced', {databaseGroup, target});
    runInBackground(logger, 'change of primary', this.change.run(target));
  }

  /** The active replica with the last position, if the primary is draining. */
  private findReplacement(): BackendServerId | null {
    const primary = this.getPrimary();
    if (primary?.state !== 'draining') {
      return null;
    }
    let best: GroupCandidate | null = null;
    for (const candidate of this.getCandidates()) {
      const isEligible = candidate.isAvailable && !candidate.isPrimary;
      const isBetter =
        best === null ||
        comparePositions(candidate.knownPosition, best.knownPosition) > 0;
      if (isEligible && isBetter) {
        best = candidate;
      }
    }
    return best?.server.backendServer ?? null;
  }

  private renewFreshness(): void {
    const nowMs = this.options.clock.nowMs();
    const isDemanded = nowMs - this.freshnessDemandMs < FRESHNESS_DEMAND_MS;
    const isDue = nowMs - this.lastConfirmationMs >= FRESHNESS_INTERVAL_MS;
    if (isDemanded && isDue) {
      this.lastConfirmationMs = nowMs;
      runInBackground(
        this.options.logger,
        'confirmation',
        this.confirmer.confirm(),
      );
    }
  }

  private async runConfirmationRound(): Promise<
    Result<TermConfirmation, TermUnconfirmed>
  > {
    const state = this.driver.getState();
    const primary = getServingPrimary(state);
    const client = primary === null ? null : this.clients.get(primary);
    if (client === null || state.view === null) {
      return failure({kind: 'termUnconfirmed', reason: 'no primary'});
    }
    const startMs = this.options.clock.nowMs();
    const result = await client.run(control => control.confirmTerm());
    if (!result.ok) {
      return failure({kind: 'termUnconfirmed', reason: result.error.kind});
    }
    if (!this.rules.isConfirmationOfTerm(result.value, this.getTerm())) {
      return failure({kind: 'termUnconfirmed', reason: 'other term'});
    }
    this.lastConfirmationMs = startMs;
    this.freshness.record(
      this.rules.getFreshnessTimeMs({
        startMs,
        endMs: this.options.clock.nowMs(),
      }),
      result.value.position,
    );
    this.tracker.handleMajority(result.value.majorityPosition);
    return result;
  }
}
