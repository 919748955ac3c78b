import type {Clock} from '@filbertrun/base/clock.js';
import {pause} from '@filbertrun/base/pause.js';
import type {BackendLinkConnector} from '../backend/backend_link.js';
import type {FailoverDutyLease} from '../control/failover_duty_lease.js';
import type {BackendDirectory} from '../directory/backend_directory.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import type {RevisedPrimaryRecord} from '../group/primary_record.js';
import {computeRecordDigest} from '../group/record_digest.js';
import type {GatewayEvents} from '../observability/gateway_events.js';
import type {ZoneNews, ZoneQuestion} from '../zone/zone_news.js';
import type {
  DutyHandover,
  PeerHandler,
  PositionAnswer,
  PositionQuestion,
  ReachAnswer,
  ReachQuestion,
  RecordComparison,
  ReleaseAnswer,
  ReleaseRequest,
  SuspicionReport,
} from './peer_caller.js';

/** What the answers to other proxies are made of. @public */
export interface PeerAnswersOptions {
  readonly clock: Clock;
  readonly events: GatewayEvents;
  readonly incarnation: string;
  readonly groups: ReadonlyMap<string, GroupRuntime>;
  readonly duty: FailoverDutyLease;
  readonly directory: BackendDirectory;
  readonly connector: BackendLinkConnector;
  /** Whether this process is about to give its registration up. */
  isStopping(): boolean;
  takeReport(report: SuspicionReport): void;
  /** Reads the control table, since a newer record was announced. */
  readControlTable(): void;
  /** Looks whether the duty is free. */
  maintainDuty(): void;
  /** News of the store for another proxy of the zone. */
  answerFollower(question: ZoneQuestion): Promise<ZoneNews | null>;
}

/** Time that pending writes get to end before a release is answered. */
const RELEASE_DRAIN_MS = 150;

/** Age from which a position is of no use to another proxy's reads. */
const MAX_TOLD_AGE_MS = 10_000;

/** Interval at which a release looks at the pending writes. */
const RELEASE_STEP_MS = 10;

/** Time allowed for a connection by which a proxy answers whether it reaches a server. */
const REACH_CHECK_TIMEOUT_MS = 200;

/** Answers the calls of other proxies. @public */
export class PeerAnswers implements PeerHandler {
  private constructor(private readonly options: PeerAnswersOptions) {}

  static create(options: PeerAnswersOptions): PeerAnswers {
    return new PeerAnswers(options);
  }

  async release(request: ReleaseRequest): Promise<ReleaseAnswer> {
    const {groups, incarnation, events} = this.options;
    const group = groups.get(request.databaseGroup);
    if (group === undefined) {
      return {incarnation, highestAcknowledged: null};
    }
    group.releaseFor(request, request.revision);
    await this.waitForPendingWrites(group);
    const {highestAcknowledged} = group.createReleaseReport();
    events.record({
      kind: 'leaseReleased',
      databaseGroup: request.databaseGroup,
      changeId: request.changeId,
      revision: request.revision,
      highestAcknowledged,
    });
    return {incarnation, highestAcknowledged};
  }

  announce(record: RevisedPrimaryRecord): void {
    const group = this.options.groups.get(record.record.databaseGroup);
    if (group === undefined || record.revision <= group.lease.revision) {
      return;
    }
    group.learnAnnouncedRecord(record);
    this.options.readControlTable();
  }

  reportSuspicion(report: SuspicionReport): void {
    this.options.takeReport(report);
  }

  async askReach(question: ReachQuestion): Promise<ReachAnswer> {
    const {directory, connector} = this.options;
    const entry = directory.getEntry(question.backendServer);
    if (entry === null) {
      return {isReachable: false};
    }
    const result = await connector.checkReachable(
      entry,
      REACH_CHECK_TIMEOUT_MS,
    );
    return {isReachable: result === 'accepted'};
  }

  takeOverDuty({fencingToken}: DutyHandover): void {
    this.options.duty.receive(fencingToken);
    this.options.maintainDuty();
  }

  /**
   * Confirms nothing without a registration, since nobody would ask this
   * proxy to release.
   */
  compareRecords(): RecordComparison {
    return {digest: this.computeProvenDigest()};
  }

  tellPosition({databaseGroup}: PositionQuestion): PositionAnswer | null {
    const proof = this.options.groups.get(databaseGroup)?.getNewestProof();
    if (proof === undefined || proof === null) {
      return null;
    }
    const leadMs = this.options.clock.nowMs() - proof.timeMs;
    return leadMs > MAX_TOLD_AGE_MS
      ? null
      : {position: proof.position, leadMs: Math.max(0, leadMs)};
  }

  /** Digest of the records; null while a lease on one of them is missing. */
  computeProvenDigest(): string | null {
    if (this.options.isStopping()) {
      return null;
    }
    for (const {lease} of this.options.groups.values()) {
      if (!lease.isProven()) {
        return null;
      }
    }
    return this.computeDigest();
  }

  followZone(question: ZoneQuestion): Promise<ZoneNews | null> {
    return this.options.isStopping()
      ? Promise.resolve(null)
      : this.options.answerFollower(question);
  }

  /** Digest of the records of primaries that this proxy knows. */
  computeDigest(): string {
    const revisions = new Map<string, number>();
    for (const [databaseGroup, {lease}] of this.options.groups) {
      revisions.set(databaseGroup, lease.newestRevision);
    }
    return computeRecordDigest(revisions);
  }

  private async waitForPendingWrites(group: GroupRuntime): Promise<void> {
    const {clock} = this.options;
    const untilMs = clock.nowMs() + RELEASE_DRAIN_MS;
    while (group.writes.pendingCount > 0 && clock.nowMs() < untilMs) {
      await pause(clock, RELEASE_STEP_MS);
    }
  }
}
