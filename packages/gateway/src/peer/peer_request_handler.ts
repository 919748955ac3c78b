import type {Clock} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {BackendConnector} from '../backend/backend_connection.js';
import type {FailoverLeaderLease} from '../control/failover_leader_lease.js';
import type {BackendDirectory} from '../directory/backend_directory.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import type {RevisedPrimaryRecord} from '../group/primary_record.js';
import type {AnnouncedChange} from '../group/primary_record_cache.js';
import {computeRecordDigest} from '../group/record_digest.js';
import type {GatewayEvent} from '../observability/gateway_event.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {PermitExchange, PermitGrants} from '../quota/permit_exchange.js';
import type {ZoneUpdate, ZoneUpdateRequest} from '../zone/zone_update.js';
import type {
  LeadershipTransfer,
  PeerHandler,
  PositionAnswer,
  PositionRequest,
  ReachabilityAnswer,
  ReachabilityRequest,
  RecordComparison,
  ReleaseAnswer,
  ReleaseRequest,
  SuspicionReport,
} from './peer_client.js';

/** The database groups of this proxy. @public */
export interface ReleasableGroups {
  /** Groups of the configuration; empty before there is one. */
  readonly groups: ReadonlyMap<string, GroupRuntime>;
  /** Releases the primary of a group, also of one that is not known yet. */
  releaseForChange(
    databaseGroup: string,
    change: AnnouncedChange,
    revision: number,
  ): void;
}

/** Dependencies of a peer request handler. @public */
export interface PeerRequestHandlerOptions {
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly incarnation: string;
  readonly registry: ReleasableGroups;
  readonly leaderLease: FailoverLeaderLease;
  readonly directory: Pick<BackendDirectory, 'getEntry'>;
  readonly connector: BackendConnector;
  /** Whether this proxy is about to remove its registration. */
  isStopping(): boolean;
  handleSuspicionReport(report: SuspicionReport): void;
  /** Reads the control table after a newer record was announced. */
  readControlTable(): void;
  /** Tries to acquire failover leadership if it is free. */
  maintainLeadership(): void;
  /** Returns updates of the store for another proxy of the zone. */
  handleUpdateRequest(request: ZoneUpdateRequest): Promise<ZoneUpdate | null>;
  /** Exchanges permits of quotas that this proxy owns; null for others. */
  exchangePermits(exchange: PermitExchange): PermitGrants | null;
}

/** Maximum time for pending writes to end before a release is confirmed. */
const RELEASE_DRAIN_MS = 150;

/** Maximum age of a freshness bound that is sent to another proxy. */
const MAX_POSITION_AGE_MS = 10_000;

/** Interval at which a release checks for pending writes. */
const RELEASE_POLL_INTERVAL_MS = 10;

/** Timeout of the connection attempt of a reachability check. */
const REACHABILITY_TIMEOUT_MS = 200;

/** State of this proxy that the log line of a release shows. */
type ReleaseState = Pick<
  Extract<GatewayEvent, {readonly kind: 'leaseReleased'}>,
  | 'highestAcknowledged'
  | 'isGroupKnown'
  | 'hadLease'
  | 'knownRevision'
  | 'pendingWrites'
>;

/** Release by a process that does not know the group yet. */
const UNKNOWN_GROUP_RELEASE: ReleaseState = {
  highestAcknowledged: null,
  isGroupKnown: false,
  hadLease: false,
  knownRevision: 0,
  pendingWrites: 0,
};

/** Handles the requests of other proxies. @public */
export class PeerRequestHandler implements PeerHandler {
  private readonly createdAtMs: number;

  private constructor(private readonly options: PeerRequestHandlerOptions) {
    this.createdAtMs = options.clock.nowMs();
  }

  static create(options: PeerRequestHandlerOptions): PeerRequestHandler {
    return new PeerRequestHandler(options);
  }

  async release(request: ReleaseRequest): Promise<ReleaseAnswer> {
    const {registry, incarnation} = this.options;
    const {databaseGroup, revision} = request;
    const group = registry.groups.get(databaseGroup);
    if (group === undefined) {
      registry.releaseForChange(databaseGroup, request, revision);
      this.recordReleased(request, UNKNOWN_GROUP_RELEASE);
      return {incarnation, highestAcknowledged: null, drainedForMs: 0};
    }
    const releasedAtMs = this.options.clock.nowMs();
    const hadLease = group.lease.isHeld();
    const knownRevision = group.lease.newestRevision;
    registry.releaseForChange(databaseGroup, request, revision);
    await this.waitForPendingWrites(group);
    const {highestAcknowledged} = group.createReleaseReport();
    this.recordReleased(request, {
      highestAcknowledged,
      isGroupKnown: true,
      hadLease,
      knownRevision,
      pendingWrites: group.writeStallDetector.pendingCount,
    });
    const drainedForMs = this.options.clock.nowMs() - releasedAtMs;
    return {incarnation, highestAcknowledged, drainedForMs};
  }

  private recordReleased(
    {databaseGroup, changeId, revision}: ReleaseRequest,
    state: ReleaseState,
  ): void {
    const {events, clock} = this.options;
    events.record({
      kind: 'leaseReleased',
      databaseGroup,
      changeId,
      revision,
      ...state,
      processAgeMs: clock.nowMs() - this.createdAtMs,
    });
  }

  announce(record: RevisedPrimaryRecord): void {
    const group = this.options.registry.groups.get(record.record.databaseGroup);
    if (group === undefined || record.revision <= group.lease.revision) {
      return;
    }
    group.applyAnnouncedRecord(record);
    this.options.readControlTable();
  }

  reportSuspicion(report: SuspicionReport): void {
    this.options.handleSuspicionReport(report);
  }

  async askReach(request: ReachabilityRequest): Promise<ReachabilityAnswer> {
    const {directory, connector} = this.options;
    const entry = directory.getEntry(request.backendServer);
    if (entry === null) {
      return {isReachable: false};
    }
    const result = await connector.checkReachable(
      entry,
      REACHABILITY_TIMEOUT_MS,
    );
    return {isReachable: result === 'accepted'};
  }

  takeOverDuty({fencingToken}: LeadershipTransfer): void {
    this.options.leaderLease.acceptTransfer(fencingToken);
    this.options.maintainLeadership();
  }

  /**
   * Returns a null digest while a lease is missing or this proxy is about to
   * remove its registration. Without a registration, no other proxy would ask
   * this one to release a primary, so its digest could be outdated.
   */
  compareRecords(): RecordComparison {
    return {digest: this.computeLeasedDigest()};
  }

  tellPosition({databaseGroup}: PositionRequest): PositionAnswer | null {
    const bound = this.options.registry.groups
      .get(databaseGroup)
      ?.getNewestBound();
    if (bound === undefined || bound === null) {
      return null;
    }
    const leadMs = this.options.clock.nowMs() - bound.timeMs;
    return leadMs > MAX_POSITION_AGE_MS
      ? null
      : {position: bound.position, leadMs: Math.max(0, leadMs)};
  }

  /**
   * Digest of the primary records; null unless all of them are leased. A process
   * that knows no group has none to confirm.
   */
  computeLeasedDigest(): string | null {
    const {groups} = this.options.registry;
    if (this.options.isStopping() || groups.size === 0) {
      return null;
    }
    for (const {lease} of groups.values()) {
      if (!lease.isHeld()) {
        return null;
      }
    }
    return this.computeDigest();
  }

  followZone(request: ZoneUpdateRequest): Promise<ZoneUpdate | null> {
    return this.options.isStopping()
      ? Promise.resolve(null)
      : this.options.handleUpdateRequest(request);
  }

  exchangePermits(exchange: PermitExchange): PermitGrants | null {
    return this.options.isStopping()
      ? null
      : this.options.exchangePermits(exchange);
  }

  /** Digest of the primary records that this proxy knows. */
  computeDigest(): string {
    const revisions = new Map<string, number>();
    for (const [databaseGroup, {lease}] of this.options.registry.groups) {
      revisions.set(databaseGroup, lease.newestRevision);
    }
    return computeRecordDigest(revisions);
  }

  private async waitForPendingWrites(group: GroupRuntime): Promise<void> {
    const {clock} = this.options;
    const waitUntilMs = clock.nowMs() + RELEASE_DRAIN_MS;
    while (
      group.writeStallDetector.pendingCount > 0 &&
      clock.nowMs() < waitUntilMs
    ) {
      await sleep(clock, RELEASE_POLL_INTERVAL_MS);
    }
  }
}
