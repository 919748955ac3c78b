import type {Timer} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import {isCovered} from '@filbertrun/model/log_position.js';
import {getEra} from '@filbertrun/platform/store_revision.js';
import type {BackendConnector} from '../backend/backend_connection.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {BackendDirectory} from '../directory/backend_directory.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import type {TermPrimary} from '../group/primary_lease.js';
import {
  getPrimaryRecordKey,
  type PrimaryRecord,
  type RevisedPrimaryRecord,
} from '../group/primary_record.js';
import {runInBackground} from '../observability/background_task.js';
import type {SuspicionReport} from '../peer/peer_client.js';
import {
  PrimaryChange,
  type PrimaryChangeDependencies,
} from './primary_change.js';

/** Dependencies of the coordinator. @public */
export interface FailoverCoordinatorOptions extends PrimaryChangeDependencies {
  readonly directory: Pick<BackendDirectory, 'isListed' | 'getEntry'>;
  readonly connector: BackendConnector;
  getGroups(): readonly GroupRuntime[];
  getOtherEntryVms(): readonly EntryVmRecord[];
  /**
   * Whether the control table has been read. Before that, the absence of a
   * primary record proves nothing.
   */
  isTableRead(): boolean;
}

/** Interval at which the failover leader checks all groups. */
const TICK_INTERVAL_MS = 100;

/** Timeout of the connection that checks a suspected primary. */
const CHECK_TIMEOUT_MS = 250;

/** Time for which a suspicion report is valid. */
const REPORT_VALID_MS = 1_000;

/** Cooldown of a group after a change or a check. */
const COOLDOWN_MS = 500;

/** Time for which replicas may catch up with the primary's position. */
const CATCH_UP_PAUSE_MS = 60;

/** Time after which a primary that reports the replica role is checked. */
const ROLE_MISMATCH_MS = 1_500;

/**
 * Time without an acknowledged write of this proxy after which a reported stall
 * counts as a failure of the primary.
 */
const STALL_CONFIRM_MS = 700;

/** Proxies that must report a stall before it counts as a failure. */
const MIN_STALL_REPORTS = 2;

/** Why a primary has to be replaced; `gone` if it is not in the directory. */
type ChangeReason = 'draining' | 'gone' | 'unreachable' | 'writesStalled';

type TimedReport = SuspicionReport & {readonly atMs: number};

interface GroupState {
  isBusy: boolean;
  cooldownUntilMs: number;
  /** Latest report of each entry VM, by the name of the entry VM. */
  readonly reports: Map<string, TimedReport>;
  /** Time since which the recorded primary has reported the replica role. */
  roleMismatchSinceMs: number | null;
  /** Store era in which the record was last checked against the instances. */
  confirmedEra: number;
}

/**
 * Ensures that every database group has a primary. Only the failover leader
 * acts; the other proxies send it suspicion reports.
 *
 * @public
 */
export class FailoverCoordinator {
  private readonly groupStates = new Map<DatabaseGroupName, GroupState>();
  private timer: Timer | null = null;
  private isDisposed = false;

  private constructor(private readonly options: FailoverCoordinatorOptions) {}

  static create(options: FailoverCoordinatorOptions): FailoverCoordinator {
    return new FailoverCoordinator(options);
  }

  start(): void {
    this.timer = this.options.clock.startTimer(TICK_INTERVAL_MS, () => {
      this.tick();
      this.start();
    });
  }

  dispose(): void {
    this.isDisposed = true;
    this.timer?.cancel();
  }

  /** Handles a suspicion report from any proxy, including this one. */
  handleReport(report: SuspicionReport): void {
    const state = this.getState(report.databaseGroup);
    const atMs = this.options.clock.nowMs();
    state.reports.set(report.reporter, {...report, atMs});
    this.tick();
  }

  private tick(): void {
    if (this.isDisposed) {
      return;
    }
    if (this.options.leaderLease.getFencingToken() === null) {
      return;
    }
    for (const group of this.options.getGroups()) {
      const state = this.getState(group.databaseGroup);
      if (
        !state.isBusy &&
        this.options.clock.nowMs() >= state.cooldownUntilMs
      ) {
        runInBackground(
          this.options.events,
          `check of ${group.databaseGroup}`,
          this.checkExclusively(group, state),
        );
      }
    }
  }

  private getState(databaseGroup: DatabaseGroupName): GroupState {
    let state = this.groupStates.get(databaseGroup);
    if (state === undefined) {
      state = {
        isBusy: false,
        cooldownUntilMs: 0,
        reports: new Map(),
        roleMismatchSinceMs: null,
        confirmedEra: 0,
      };
      this.groupStates.set(databaseGroup, state);
    }
    return state;
  }

  private async checkExclusively(
    group: GroupRuntime,
    state: GroupState,
  ): Promise<void> {
    state.isBusy = true;
    try {
      await this.checkGroup(group, state);
    } finally {
      state.isBusy = false;
    }
  }

  private async checkGroup(
    group: GroupRuntime,
    state: GroupState,
  ): Promise<void> {
    const {record, revision} = group.lease;
    if (record === null) {
      if (this.options.isTableRead() && this.options.directory.isListed) {
        await this.adoptReportedPrimary(group, 0, null);
        this.startCooldown(state);
      }
      return;
    }
    if (record.phase === 'changing') {
      await this.change(
        group,
        {record, revision},
        'an earlier change was not completed',
      );
      this.startCooldown(state);
      return;
    }
    if (await this.resolveLaterTerm(group, state, {record, revision})) {
      return;
    }
    if (await this.resolveRoleMismatch(group, state, record.primary)) {
      return;
    }
    const reason = await this.findReason(group, state, record.primary);
    if (reason !== null) {
      await this.change(group, {record, revision}, reason);
      this.startCooldown(state);
    }
  }

  private startCooldown(state: GroupState): void {
    state.reports.clear();
    state.cooldownUntilMs = this.options.clock.nowMs() + COOLDOWN_MS;
  }

  /** Replaces the primary, or resumes a change that is recorded. */
  private async change(
    {lease}: GroupRuntime,
    current: RevisedPrimaryRecord,
    reason: string,
  ): Promise<void> {
    await PrimaryChange.create(
      this.options,
      current,
      lease.getRecordAgeMs(),
      reason,
    ).run();
  }

  private async findReason(
    group: GroupRuntime,
    state: GroupState,
    primary: BackendServerId,
  ): Promise<ChangeReason | null> {
    const {directory} = this.options;
    if (!directory.isListed) {
      return null;
    }
    // Without another instance, a change would only interrupt reads.
    if (!this.hasOtherInstance(group, primary)) {
      return null;
    }
    const entry = directory.getEntry(primary);
    if (entry === null) {
      return 'gone';
    }
    if (entry.state === 'draining') {
      return this.findDrainReason(group, state, entry);
    }
    const reports = this.getValidReports(state, primary);
    const isSuspect = group.getServer(primary)?.isUnreachable === true;
    if (reports.length === 0 && !isSuspect) {
      return null;
    }
    if (
      this.hasStalledWrites(group, reports) &&
      this.hasPromotionCandidate(group, primary)
    ) {
      return 'writesStalled';
    }
    const isConfirmed =
      this.isReportedByMost(reports) ||
      (await this.confirmUnreachable(group, entry));
    return isConfirmed ? 'unreachable' : null;
  }

  /**
   * Whether several proxies report stalled writes and this proxy has had no
   * acknowledgement either. A single proxy may merely have lost a response.
   */
  private hasStalledWrites(
    group: GroupRuntime,
    reports: readonly TimedReport[],
  ): boolean {
    const stalled = reports.filter(
      ({evidence}) => evidence === 'writesStalled',
    );
    const others = this.options.getOtherEntryVms().length;
    const needed = Math.min(MIN_STALL_REPORTS, others + 1);
    const ageMs = group.writeStallDetector.getAcknowledgementAgeMs();
    return stalled.length >= needed && ageMs >= STALL_CONFIRM_MS;
  }

  /**
   * Whether most entry VMs, including this one, report the primary as
   * unreachable.
   */
  private isReportedByMost(reports: readonly TimedReport[]): boolean {
    const {entryVm} = this.options;
    const unreachable = reports.filter(
      ({evidence}) => evidence === 'unreachable',
    );
    const isReportedLocally = unreachable.some(
      ({reporter}) => reporter === entryVm,
    );
    const count = this.options.getOtherEntryVms().length + 1;
    return isReportedLocally && unreachable.length * 2 > count;
  }

  /** Whether another instance is reachable and not draining. */
  private hasPromotionCandidate(
    group: GroupRuntime,
    primary: BackendServerId,
  ): boolean {
    return group
      .getServers()
      .some(
        ({entry, isUnreachable}) =>
          entry.backendServer !== primary &&
          entry.state === 'active' &&
          !isUnreachable,
      );
  }

  private hasOtherInstance(
    group: GroupRuntime,
    primary: BackendServerId,
  ): boolean {
    for (const server of group.getServers()) {
      if (server.entry.backendServer !== primary) {
        return true;
      }
    }
    return false;
  }

  /**
   * A draining primary is replaced once a replica that is not draining has
   * caught up with it, or if the primary does not respond. Without this check,
   * two draining instances would be promoted alternately.
   */
  private async findDrainReason(
    group: GroupRuntime,
    state: GroupState,
    primary: BackendServerEntry,
  ): Promise<ChangeReason | null> {
    const candidates = group
      .getServers()
      .map(({entry}) => entry)
      .filter(
        entry =>
          entry.backendServer !== primary.backendServer &&
          entry.state === 'active',
      );
    const {instances, clock} = this.options;
    const primaryStatus = await instances.getStatus(primary);
    if (candidates.length > 0 && !primaryStatus.ok) {
      return 'draining';
    }
    await sleep(clock, CATCH_UP_PAUSE_MS);
    const statuses = await Promise.all(
      candidates.map(entry => instances.getStatus(entry)),
    );
    const hasCaughtUpReplica = statuses.some(
      status =>
        status.ok &&
        primaryStatus.ok &&
        status.value.role === 'replica' &&
        isCovered(
          primaryStatus.value.receivedPosition,
          status.value.receivedPosition,
        ),
    );
    if (!hasCaughtUpReplica) {
      state.cooldownUntilMs = clock.nowMs() + COOLDOWN_MS;
    }
    return hasCaughtUpReplica ? 'draining' : null;
  }

  private getValidReports(
    state: GroupState,
    primary: BackendServerId,
  ): readonly TimedReport[] {
    const oldestMs = this.options.clock.nowMs() - REPORT_VALID_MS;
    const valid: TimedReport[] = [];
    for (const report of state.reports.values()) {
      if (report.primary === primary && report.atMs >= oldestMs) {
        valid.push(report);
      }
    }
    return valid;
  }

  /** Whether neither this proxy nor any responding proxy reaches the primary. */
  private async confirmUnreachable(
    group: GroupRuntime,
    entry: BackendServerEntry,
  ): Promise<boolean> {
    const {connector, peers, events} = this.options;
    const others = this.options.getOtherEntryVms();
    const [localResult, ...peerResponses] = await Promise.all([
      connector.checkReachable(entry, CHECK_TIMEOUT_MS),
      ...others.map(peer =>
        peers.askReach(peer, {backendServer: entry.backendServer}),
      ),
    ]);
    if (localResult === 'accepted') {
      return false;
    }
    for (const response of peerResponses) {
      if (response.ok && response.value.isReachable) {
        return false;
      }
    }
    events.record({
      kind: 'primarySuspected',
      databaseGroup: group.databaseGroup,
      primary: entry.backendServer,
      evidence: `${localResult} for this proxy, reachable from no other proxy`,
    });
    return true;
  }

  /**
   * Checks the primary record against the instances once after the store was
   * restored from a backup, since the restored record may be from an earlier
   * term. If an instance is the primary of a later term, records that instance
   * and returns true.
   */
  private async resolveLaterTerm(
    group: GroupRuntime,
    state: GroupState,
    {record, revision}: RevisedPrimaryRecord,
  ): Promise<boolean> {
    const era = getEra(revision);
    if (era <= state.confirmedEra || record.phase !== 'stable') {
      return false;
    }
    state.confirmedEra = era;
    const reported = await this.findReportedPrimary(group);
    if (reported === null || reported.term <= record.term) {
      return false;
    }
    await this.adoptReportedPrimary(group, revision, record);
    this.startCooldown(state);
    return true;
  }

  /** Handles a primary that has reported the replica role for too long. */
  private async resolveRoleMismatch(
    group: GroupRuntime,
    state: GroupState,
    primary: BackendServerId,
  ): Promise<boolean> {
    const nowMs = this.options.clock.nowMs();
    const entry = this.options.directory.getEntry(primary);
    if (entry === null || entry.reportedRole === 'primary') {
      state.roleMismatchSinceMs = null;
      return false;
    }
    state.roleMismatchSinceMs ??= nowMs;
    if (nowMs - state.roleMismatchSinceMs < ROLE_MISMATCH_MS) {
      return false;
    }
    state.roleMismatchSinceMs = null;
    const {record, revision} = group.lease;
    await this.adoptReportedPrimary(group, revision, record);
    this.startCooldown(state);
    return true;
  }

  /**
   * Handles a primary that is not the recorded one, or is not recorded yet. A
   * recorded primary is always replaced by a change, even if another instance
   * leads already: a proxy with a lease on the old record must release it before
   * anything is written at the new primary.
   */
  private async adoptReportedPrimary(
    group: GroupRuntime,
    revision: number,
    previous: PrimaryRecord | null,
  ): Promise<void> {
    const reported = await this.findReportedPrimary(group);
    if (reported === null) {
      return;
    }
    if (previous === null) {
      await this.recordFirstPrimary(group, reported);
      return;
    }
    await this.change(
      group,
      {record: previous, revision},
      `the recorded primary is no longer primary, ${reported.primary} is in term ${reported.term}`,
    );
  }

  /**
   * Records the primary of a group without a record. No proxy can hold a lease
   * on a primary of this group, so nothing has to be released.
   */
  private async recordFirstPrimary(
    group: GroupRuntime,
    {primary, term}: TermPrimary,
  ): Promise<void> {
    const record: PrimaryRecord = {
      phase: 'stable',
      databaseGroup: group.databaseGroup,
      primary,
      term,
      writesFromStoreMs: null,
    };
    const result = await this.options.table.putEntry({
      key: getPrimaryRecordKey(group.databaseGroup),
      value: JSON.stringify(record),
      expectedRevision: 0,
    });
    if (result.ok) {
      this.options.handleRecord({record, revision: result.value.revision});
    }
  }

  /**
   * Returns the primary of the highest term that an instance reports. Waits
   * until each request has completed or failed.
   */
  private async findReportedPrimary(
    group: GroupRuntime,
  ): Promise<TermPrimary | null> {
    const servers = group.getServers();
    const statuses = await Promise.all(
      servers.map(server => this.options.instances.getStatus(server.entry)),
    );
    let reported: TermPrimary | null = null;
    for (const [index, result] of statuses.entries()) {
      const server = servers[index];
      if (
        server === undefined ||
        !result.ok ||
        result.value.role !== 'primary'
      ) {
        continue;
      }
      const {term} = result.value;
      if (reported === null || term > reported.term) {
        reported = {primary: server.entry.backendServer, term};
      }
    }
    return reported;
  }
}
