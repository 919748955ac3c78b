import type {Clock} from '@filbertrun/base/clock.js';
import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {
  ListableTable,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import type {
  InstanceControl,
  PromotionService,
} from '../backend/instance_control.js';
import {
  LEADERSHIP_LEASE_MS,
  type FailoverLeaderLease,
} from '../control/failover_leader_lease.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {ListingDescription} from '../directory/known_instances.js';
import type {
  PrimaryRecord,
  RevisedPrimaryRecord,
} from '../group/primary_record.js';
import {runInBackground} from '../observability/background_task.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {PeerClient} from '../peer/peer_client.js';
import {
  choosePromotionTarget,
  type PromotionChoice,
} from './choose_promotion_target.js';
import {GroupInstances} from './group_instances.js';
import {InstanceFences} from './instance_fences.js';
import type {LeaseHolders} from './find_lease_holders.js';
import type {OrdersInFlight} from './orders_in_flight.js';
import {PromotionLog} from './promotion_log.js';
import {
  MAX_TABLE_ATTEMPTS,
  PrimaryRecordWriter,
  TABLE_RETRY_MS,
} from './primary_record_writer.js';
import {ReleaseCollector} from './release_collector.js';

/** Dependencies of a primary change. @public */
export interface PrimaryChangeDependencies {
  readonly clock: Clock;
  readonly availabilityZone: AvailabilityZone;
  readonly entryVm: string;
  readonly table: ListableTable;
  readonly peers: PeerClient;
  readonly instances: InstanceControl;
  readonly promotions: PromotionService;
  readonly leaderLease: FailoverLeaderLease;
  readonly orders: OrdersInFlight;
  readonly events: GatewayEventRecorder;
  /**
   * The group's instances as the platform lists them now; null if the platform
   * is unreachable.
   */
  listInstances(
    databaseGroup: string,
  ): Promise<readonly BackendServerEntry[] | null>;
  /** What the last listing of the group rested on, for the log. */
  readonly describeLastListing: (
    databaseGroup: string,
  ) => ListingDescription | null;
  /** Finds the lease holders in a listing that was read just now. */
  readonly findLeaseHolders: (listing: TableListing) => LeaseHolders;
  /** Newest era of the store that this process has observed. */
  getStoreEra(): number;
  /** Called with each record that the change has written. */
  handleRecord(record: RevisedPrimaryRecord): void;
}

/** The record of a change in progress. */
type ChangingRecord = Extract<PrimaryRecord, {readonly phase: 'changing'}>;

/** Lease holders with the time of the listing on the local and store clocks. */
interface ListedHolders extends LeaseHolders {
  readonly listedAt: {readonly timeMs: number; readonly storeTimeMs: number};
}

/** Interval at which the change rechecks the conditions it waits for. */
const STEP_INTERVAL_MS = 25;

/**
 * Maximum wait for releases before instances are fenced. A proxy waits for its
 * pending writes before it confirms a release.
 */
const RELEASE_WAIT_MS = 180;

/** Interval of the polls for the effect of a promotion. */
const PROMOTION_POLL_MS = 100;

/**
 * Time after which an ordered promotion can no longer take effect: the longest
 * time that the platform may take to accept a call, and the promotion itself.
 */
const PROMOTION_TIMEOUT_MS = 4_000;

/**
 * The same for the order of an earlier leader, counted from the time at which
 * its record was first seen. That leader may have sent the order at any time
 * while it could act.
 */
const EARLIER_ORDER_TIMEOUT_MS = LEADERSHIP_LEASE_MS + PROMOTION_TIMEOUT_MS;

/** Time after a refused order before a target is chosen again. */
const REFUSED_RETRY_MS = 100;

/** Minimum time between two log lines about what the change waits for. */
const WAITING_LOG_INTERVAL_MS = 1_000;

/** A target that was chosen, with the end of its log. */
type ChosenTarget = Extract<PromotionChoice, {readonly kind: 'promote'}>;

/** What became of an order. */
type OrderOutcome =
  /** The target could not be recorded, so nothing was ordered. */
  | 'unrecorded'
  /** Nothing was ordered. */
  | 'leadershipLost'
  /** The order takes no effect. */
  | 'refused'
  /** The order takes effect a while later. */
  | 'accepted'
  /** The order may take effect. */
  | 'outcomeUnknown';

/** How a change ended. @public */
export type ChangeOutcome = 'completed' | 'abandoned';

/**
 * Replaces the primary of one database group: records the intent, asks every
 * proxy to release the old primary, fences the instances, promotes one that
 * holds every acknowledged commit, and records the result.
 *
 * @public
 */
export class PrimaryChange {
  private readonly startedAtMs: number;
  private lastWaitLogMs = Number.NEGATIVE_INFINITY;

  private readonly groupInstances: GroupInstances;
  private readonly records: PrimaryRecordWriter;
  private readonly promotionLog: PromotionLog;

  private constructor(
    private readonly dependencies: PrimaryChangeDependencies,
    current: RevisedPrimaryRecord,
    /** Time since this process first saw the current record. */
    private readonly currentAgeMs: number,
    private readonly reason: string,
  ) {
    this.startedAtMs = dependencies.clock.nowMs();
    this.groupInstances = GroupInstances.create({
      clock: dependencies.clock,
      databaseGroup: current.record.databaseGroup,
      listInstances: databaseGroup => dependencies.listInstances(databaseGroup),
    });
    this.promotionLog = PromotionLog.create({
      clock: dependencies.clock,
      events: dependencies.events,
      recordAgeMs: currentAgeMs,
    });
    this.records = PrimaryRecordWriter.create(
      {
        clock: dependencies.clock,
        table: dependencies.table,
        events: dependencies.events,
        mayAct: () => this.token !== null,
        getStoreEra: () => dependencies.getStoreEra(),
        handleRecord: record => dependencies.handleRecord(record),
      },
      current,
    );
  }

  /** Creates a change that starts from a stable record or resumes a change. */
  static create(
    dependencies: PrimaryChangeDependencies,
    current: RevisedPrimaryRecord,
    currentAgeMs: number,
    reason: string,
  ): PrimaryChange {
    return new PrimaryChange(dependencies, current, currentAgeMs, reason);
  }

  async run(): Promise<ChangeOutcome> {
    const intent = await this.recordIntent();
    if (intent === null) {
      return this.abandon('the intent could not be recorded');
    }
    const holders = await this.listLeaseHolders();
    if (holders === null) {
      return this.abandon('the lease holders could not be listed');
    }
    const releases = ReleaseCollector.create({
      clock: this.dependencies.clock,
      events: this.dependencies.events,
      peers: this.dependencies.peers,
      request: {
        databaseGroup: intent.databaseGroup,
        changeId: intent.changeId,
        oldTerm: intent.oldTerm,
        revision: this.records.current.revision,
      },
    });
    releases.start(holders.known);
    this.waitForUnlisted(releases, holders);
    await this.waitForReleases(releases, RELEASE_WAIT_MS);
    const outcome =
      (await this.awaitEarlierOrder(intent, releases)) ??
      (await this.fenceAndPromote(intent, releases));
    if (outcome === 'completed') {
      this.runInBackground('open writes', this.openWrites(releases));
    } else {
      releases.stop();
    }
    return outcome;
  }

  private waitForUnlisted(
    releases: ReleaseCollector,
    {unlistedUntilMs, listedAt}: ListedHolders,
  ): void {
    if (unlistedUntilMs === null) {
      return;
    }
    const remainingMs = unlistedUntilMs - listedAt.timeMs;
    releases.waitForUnlisted(
      unlistedUntilMs,
      listedAt.storeTimeMs + remainingMs,
    );
  }

  /** Opens the new primary for writes once the last old lease has expired. */
  private async openWrites(releases: ReleaseCollector): Promise<void> {
    const completed = this.records.current;
    while (releases.getLastLeaseEndStoreMs() !== null) {
      await sleep(this.dependencies.clock, STEP_INTERVAL_MS);
    }
    releases.stop();
    const {record} = completed;
    const areWritesBlocked =
      record.phase === 'stable' && record.writesFromStoreMs !== null;
    if (areWritesBlocked && this.records.current === completed) {
      await this.records.write({...record, writesFromStoreMs: null});
      this.dependencies.events.record({
        kind: 'writesOpened',
        databaseGroup: record.databaseGroup,
        primary: record.primary,
        durationMs: this.dependencies.clock.nowMs() - this.startedAtMs,
      });
      await this.announce();
    }
  }

  /** Fencing token of this proxy; null if it may no longer act as leader. */
  private get token(): number | null {
    return this.dependencies.leaderLease.getFencingToken();
  }

  /** Writes the intent, or resumes the one that is recorded. */
  private async recordIntent(): Promise<ChangingRecord | null> {
    const {record} = this.records.current;
    const {token} = this;
    if (token === null) {
      return null;
    }
    if (record.phase === 'changing') {
      return record;
    }
    const intent: ChangingRecord = {
      phase: 'changing',
      databaseGroup: record.databaseGroup,
      changeId: `${this.dependencies.entryVm}-${token}-${this.records.current.revision}`,
      oldPrimary: record.primary,
      oldTerm: record.term,
      target: null,
      lastOldPosition: null,
    };
    this.dependencies.events.record({
      kind: 'changeIntended',
      databaseGroup: record.databaseGroup,
      changeId: intent.changeId,
      primary: record.primary,
      term: record.term,
      reason: this.reason,
      fencingToken: token,
    });
    return (await this.records.write(intent)) ? intent : null;
  }

  /**
   * Lists the proxies that may hold a lease. This happens after the intent was
   * recorded, so a proxy that registers later reads the intent.
   */
  private async listLeaseHolders(): Promise<ListedHolders | null> {
    const {table, findLeaseHolders, clock} = this.dependencies;
    for (let attempt = 0; attempt < MAX_TABLE_ATTEMPTS; attempt++) {
      const listing = await table.listEntries();
      if (listing.ok) {
        const {storeTimeMs} = listing.value;
        return {
          ...findLeaseHolders(listing.value),
          listedAt: {timeMs: clock.nowMs(), storeTimeMs},
        };
      }
      await sleep(this.dependencies.clock, TABLE_RETRY_MS);
    }
    return null;
  }

  private async fenceAndPromote(
    intent: ChangingRecord,
    releases: ReleaseCollector,
  ): Promise<ChangeOutcome> {
    const {clock, events, instances, availabilityZone} = this.dependencies;
    const fences = InstanceFences.create({
      clock,
      events,
      instances,
      availabilityZone,
      databaseGroup: intent.databaseGroup,
      changeId: intent.changeId,
      oldPrimary: intent.oldPrimary,
      oldTerm: intent.oldTerm,
    });
    while (this.token !== null) {
      const releasedSinceMs = releases.getReleasedSinceMs();
      if (releasedSinceMs !== null) {
        fences.countFrom(releasedSinceMs);
      }
      const listed = await this.groupInstances.list(
        releasedSinceMs ?? undefined,
      );
      const entries = listed ?? [];
      fences.request(entries);
      await sleep(this.dependencies.clock, STEP_INTERVAL_MS);
      const newPrimary = fences.findNewPrimary();
      if (newPrimary !== null) {
        const {primary, term} = newPrimary;
        const status = fences.getLastStatus(primary);
        this.promotionLog.recordSeen(intent, primary, status);
        return this.complete(intent, releases, primary, term);
      }
      if (releasedSinceMs === null) {
        this.recordOutstanding(intent, releases);
        continue;
      }
      const choice = choosePromotionTarget(
        fences.describe(entries),
        releases.highestAcknowledged,
      );
      if (choice.kind === 'wait') {
        this.recordWaiting(intent, choice.waitingFor);
        continue;
      }
      const {describeLastListing} = this.dependencies;
      const listing = describeLastListing(intent.databaseGroup);
      const inputs = {entries, fences, releases, listing, ...choice};
      this.promotionLog.recordChoice(intent, inputs);
      const outcome = await this.promote(intent, releases, choice);
      if (outcome !== null) {
        return outcome;
      }
    }
    return this.abandon('the failover leadership was lost');
  }

  /**
   * Logs that a proxy may still acknowledge a write of the old term. Until then no
   * log proves anything: a fence ends with a restart of its instance, which then
   * confirms further commits.
   */
  private recordOutstanding(
    intent: ChangingRecord,
    releases: ReleaseCollector,
  ): void {
    const outstanding = releases.getOutstanding().join(', ');
    this.recordWaiting(intent, `the release of ${outstanding}`);
  }

  private async waitForReleases(
    releases: ReleaseCollector,
    timeoutMs: number,
  ): Promise<void> {
    const untilMs = this.dependencies.clock.nowMs() + timeoutMs;
    while (
      releases.getOutstanding().length > 0 &&
      this.dependencies.clock.nowMs() < untilMs
    ) {
      await sleep(this.dependencies.clock, STEP_INTERVAL_MS);
    }
  }

  /** Promotes the choice; null if the target has to be chosen again. */
  private async promote(
    intent: ChangingRecord,
    releases: ReleaseCollector,
    choice: ChosenTarget,
  ): Promise<ChangeOutcome | null> {
    const outcome = await this.dependencies.orders.run(async endCall => {
      const ordered = await this.order(intent, releases, choice);
      endCall();
      return ordered === 'outcomeUnknown'
        ? ordered
        : this.handleOrdered(intent, releases, choice.target, ordered);
    });
    switch (outcome) {
      case 'closed':
        return this.abandon('this proxy is stopping');
      case 'outcomeUnknown':
        // A stop does not wait for an effect that may never come.
        return this.awaitOrdered(intent, releases, choice.target);
      default:
        return outcome;
    }
  }

  private async handleOrdered(
    intent: ChangingRecord,
    releases: ReleaseCollector,
    target: string,
    outcome: Exclude<OrderOutcome, 'outcomeUnknown'>,
  ): Promise<ChangeOutcome | null> {
    switch (outcome) {
      case 'unrecorded':
        return this.abandon('the target could not be recorded');
      case 'leadershipLost':
        return this.abandon('the failover leadership was lost');
      case 'refused':
        return this.clearTarget(intent);
      case 'accepted':
        return this.awaitOrdered(intent, releases, target);
      default:
        return exhaustiveSwitchError(outcome);
    }
  }

  /**
   * Records the target and orders its promotion. The record is written before
   * each order, so a later leader knows of every order that may take effect.
   */
  private async order(
    intent: ChangingRecord,
    releases: ReleaseCollector,
    {target, position}: ChosenTarget,
  ): Promise<OrderOutcome> {
    const record = {...intent, target, lastOldPosition: position};
    if (!(await this.records.write(record))) {
      return 'unrecorded';
    }
    // Makes the proxies read the record before the promotion. Replicas that hold
    // `lastOldPosition` can serve reads: no proxy can acknowledge a commit of the old
    // term any more, and all acknowledged ones are at or before it.
    this.runInBackground('announce', this.announce());
    const {token} = this;
    if (token === null) {
      return 'leadershipLost';
    }
    const {promotions, entryVm} = this.dependencies;
    const {databaseGroup} = intent;
    this.promotionLog.recordOrdered(intent, target, position, token);
    const result = await promotions.promote(
      {databaseGroup, target, failoverLeader: entryVm, fencingToken: token},
      () => {
        const maySend = this.token === token;
        if (maySend) {
          this.promotionLog.recordSent();
        }
        return maySend;
      },
    );
    const outcome = result.ok ? 'accepted' : result.error.kind;
    this.promotionLog.recordAnswered(intent, target, outcome);
    if (result.ok) {
      return 'accepted';
    }
    return result.error.kind === 'outcomeUnknown'
      ? 'outcomeUnknown'
      : 'refused';
  }

  /**
   * Records that no order is outstanding, so that a later leader does not wait
   * for one; null, since the target has to be chosen again.
   */
  private async clearTarget(
    intent: ChangingRecord,
  ): Promise<ChangeOutcome | null> {
    const record = {...intent, target: null, lastOldPosition: null};
    if (!(await this.records.write(record))) {
      return this.abandon('the refused target could not be cleared');
    }
    await sleep(this.dependencies.clock, REFUSED_RETRY_MS);
    return null;
  }

  /**
   * Waits for the order that an earlier leader has recorded, which may still take
   * effect; null if there is none, or it can no longer take effect. No other
   * instance may be promoted before: the order could undo what was committed
   * there, and it would arrive with a lower fencing token.
   */
  private async awaitEarlierOrder(
    intent: ChangingRecord,
    releases: ReleaseCollector,
  ): Promise<ChangeOutcome | null> {
    const {target} = intent;
    if (target === null) {
      return null;
    }
    this.recordWaiting(intent, `the earlier order to promote ${target}`);
    const seenAtMs = this.startedAtMs - this.currentAgeMs;
    const untilMs = seenAtMs + EARLIER_ORDER_TIMEOUT_MS;
    return this.awaitEffect(intent, releases, target, untilMs);
  }

  /** Waits for the effect of an order of this leader. */
  private awaitOrdered(
    intent: ChangingRecord,
    releases: ReleaseCollector,
    target: string,
  ): Promise<ChangeOutcome | null> {
    const untilMs = this.dependencies.clock.nowMs() + PROMOTION_TIMEOUT_MS;
    return this.awaitEffect(intent, releases, target, untilMs);
  }

  /** Waits until the target is primary; null if it is not in time. */
  private async awaitEffect(
    intent: ChangingRecord,
    releases: ReleaseCollector,
    target: string,
    untilMs: number,
  ): Promise<ChangeOutcome | null> {
    const {clock} = this.dependencies;
    while (clock.nowMs() < untilMs) {
      if (this.token === null) {
        return this.abandon('the failover leadership was lost');
      }
      const term = await this.findNewTerm(intent, target);
      if (term !== null) {
        return this.complete(intent, releases, target, term);
      }
      await sleep(clock, PROMOTION_POLL_MS);
    }
    return null;
  }

  /** The target's new term, or null while it is not the new primary. */
  private async findNewTerm(
    intent: ChangingRecord,
    target: string,
  ): Promise<number | null> {
    const entry = await this.groupInstances.find(target);
    if (entry === null) {
      return null;
    }
    const status = await this.dependencies.instances.getStatus(entry);
    if (!status.ok || status.value.role !== 'primary') {
      return null;
    }
    if (status.value.term <= intent.oldTerm) {
      return null;
    }
    this.promotionLog.recordSeen(intent, target, status.value);
    return status.value.term;
  }

  /**
   * Records the new primary. It serves reads immediately; writes wait until the
   * leases of proxies that did not respond have expired.
   */
  private async complete(
    intent: ChangingRecord,
    releases: ReleaseCollector,
    primary: string,
    term: number,
  ): Promise<ChangeOutcome> {
    const {databaseGroup, changeId} = intent;
    const writesFromStoreMs = releases.getLastLeaseEndStoreMs();
    const isWritten = await this.records.write({
      phase: 'stable',
      databaseGroup,
      primary,
      term,
      writesFromStoreMs,
    });
    if (!isWritten) {
      return this.abandon('the result could not be recorded');
    }
    this.dependencies.events.record({
      kind: 'changeCompleted',
      databaseGroup,
      changeId,
      primary,
      term,
      waitingFor: releases.getOutstanding(),
      durationMs: this.dependencies.clock.nowMs() - this.startedAtMs,
    });
    this.runInBackground('announce', this.announce());
    this.runInBackground(
      'step down the old primary',
      this.stepDownOldPrimary(intent, term),
    );
    return 'completed';
  }

  private async announce(): Promise<void> {
    const holders = await this.listLeaseHolders();
    for (const {record} of holders?.known ?? []) {
      this.runInBackground(
        'announce',
        this.dependencies.peers.announce(record, this.records.current),
      );
    }
  }

  /** Steps the old primary down in the new term if it is reachable. */
  private async stepDownOldPrimary(
    intent: ChangingRecord,
    term: number,
  ): Promise<void> {
    for (const entry of this.groupInstances.known) {
      if (entry.backendServer === intent.oldPrimary) {
        await this.dependencies.instances.stepDown(entry, term);
      }
    }
  }

  private recordWaiting(intent: ChangingRecord, waitingFor: string): void {
    const nowMs = this.dependencies.clock.nowMs();
    if (nowMs - this.lastWaitLogMs < WAITING_LOG_INTERVAL_MS) {
      return;
    }
    this.lastWaitLogMs = nowMs;
    this.dependencies.events.record({
      kind: 'changeWaiting',
      databaseGroup: intent.databaseGroup,
      changeId: intent.changeId,
      waitingFor,
    });
  }

  private runInBackground(task: string, promise: Promise<unknown>): void {
    runInBackground(this.dependencies.events, task, promise);
  }

  private abandon(reason: string): ChangeOutcome {
    const {record} = this.records.current;
    this.dependencies.events.record({
      kind: 'changeAbandoned',
      databaseGroup: record.databaseGroup,
      changeId: record.phase === 'changing' ? record.changeId : '',
      reason,
    });
    return 'abandoned';
  }
}
