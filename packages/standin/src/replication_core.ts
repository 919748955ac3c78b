import type {Clock} from '@filbertrun/base/clock.js';
import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import type {
  InstanceRole,
  InstanceStatus,
} from '@filbertrun/group/instance_control.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import {
  ORIGIN_POSITION,
  comparePositions,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import {ReplicationLog, type LogRecordBody} from './replication_log.js';
import type {
  AcknowledgeMessage,
  AppendMessage,
  MismatchMessage,
  ReplicationEffect,
  ReplicationMessage,
} from './replication_message.js';
import {ReplicaProgress} from './replica_progress.js';
import {TermConfirmations} from './term_confirmations.js';

/**
 * Replication state machine of one instance of a database group: its term, its
 * log and its role. It uses no sockets or timers: calls and messages are its
 * input, effects its output. After each call the host executes the effects in
 * order. It calls `handleTick` after appending records and whenever
 * `getDelayToNextTickMs` has elapsed.
 */

/** Default time between heartbeats of a primary. @public */
export const DEFAULT_HEARTBEAT_INTERVAL_MS = 20;

/** Maximum number of records in one message. */
const MAX_RECORDS_PER_MESSAGE = 1000;

/**
 * Records that stay in the log although every instance holds them. The log is
 * compacted once it holds twice as many.
 */
const RETAINED_RECORDS = 10_000;

/** Options of a replication core. @public */
export interface ReplicationCoreOptions {
  readonly backendServer: BackendServerId;
  /** The other instances of the group. */
  readonly peers: readonly BackendServerId[];
  readonly clock: Clock;
  readonly heartbeatIntervalMs?: number;
  /** Delay before a record is sent to a replica; default 0. */
  readonly getReplicationLagMs?: (replica: BackendServerId) => number;
}

/** Replication state machine of one instance. @public */
export class ReplicationCore<Change> {
  private role: InstanceRole = 'replica';
  private term = 0;
  private claimId = '';
  private primary: BackendServerId | null = null;
  private lastPrimaryMessageAtMs: number | null = null;
  private readonly log = ReplicationLog.create<Change>();
  private progress: ReadonlyMap<BackendServerId, ReplicaProgress> = new Map();
  private majorityPosition: LogPosition = ORIGIN_POSITION;
  private nextSequence = 1;
  private readonly confirmations = TermConfirmations.create();
  private effects: ReplicationEffect<Change>[] = [];

  private constructor(private readonly options: ReplicationCoreOptions) {}

  static create<Change>(
    options: ReplicationCoreOptions,
  ): ReplicationCore<Change> {
    return new ReplicationCore(options);
  }

  getRole(): InstanceRole {
    return this.role;
  }

  getTerm(): number {
    return this.term;
  }

  /** Last position of the log; a replica has applied everything up to it. */
  getEnd(): LogPosition {
    return this.log.getEnd();
  }

  getLog(): ReplicationLog<Change> {
    return this.log;
  }

  /**
   * The last position known to be held by a majority, or the origin until the
   * primary learns of one in its term.
   */
  getMajorityPosition(): LogPosition {
    return this.majorityPosition;
  }

  getStatus(): InstanceStatus {
    const nowMs = this.options.clock.nowMs();
    const replicas = [...this.progress].map(([backendServer, progress]) =>
      progress.createReport(backendServer, nowMs),
    );
    return {
      backendServer: this.options.backendServer,
      role: this.role,
      term: this.term,
      claimId: this.claimId,
      position: this.getEnd(),
      primary: this.primary,
      primarySilentForMs:
        this.lastPrimaryMessageAtMs === null
          ? null
          : nowMs - this.lastPrimaryMessageAtMs,
      replicas,
    };
  }

  /** Removes and returns the effects that have not been executed yet. */
  takeEffects(): readonly ReplicationEffect<Change>[] {
    const effects = this.effects;
    this.effects = [];
    return effects;
  }

  /**
   * Raises the term, so that lower terms are rejected from now on. A primary
   * becomes a replica. Returns false if the term is not higher than the current
   * one, unless the same claim has raised it already.
   */
  raiseTerm(term: number, claimId: string): boolean {
    if (this.isSameClaim(term, claimId)) {
      return true;
    }
    if (term <= this.term) {
      return false;
    }
    this.becomeReplica(term, claimId, null);
    return true;
  }

  /**
   * Becomes the primary of the current term, which the same claim must have
   * raised. Returns false on a replica that follows another primary of this
   * term: otherwise, a repeated call under one claim could give a term two
   * primaries.
   */
  promote(term: number, claimId: string): boolean {
    if (!this.isSameClaim(term, claimId)) {
      return false;
    }
    if (this.role === 'primary') {
      return true;
    }
    if (term === 0 || this.primary !== null) {
      return false;
    }
    this.role = 'primary';
    this.primary = this.options.backendServer;
    this.lastPrimaryMessageAtMs = null;
    this.initializeProgress();
    this.effects.push({kind: 'roleChanged'});
    this.appendBody({kind: 'termStart', claimId});
    return true;
  }

  /**
   * Becomes a replica of `primary`. Conflicting records are truncated when the
   * primary's first records arrive. A primary is not demoted within its own
   * term.
   */
  follow(term: number, claimId: string, primary: BackendServerId): boolean {
    const isSelf = primary === this.options.backendServer;
    if (isSelf || (term === this.term && this.role === 'primary')) {
      return false;
    }
    if (term < this.term || !this.isNewOrSameClaim(term, claimId)) {
      return false;
    }
    this.becomeReplica(term, claimId, primary);
    return true;
  }

  /** Appends a change on the primary and returns its position. */
  appendChange(change: Change): LogPosition {
    if (this.role !== 'primary') {
      throw new Error('Only a primary can append a change');
    }
    return this.appendBody({kind: 'change', change});
  }

  /**
   * Requests confirmation by a majority that this term is still current. The
   * `termConfirmed` effect carries the returned ticket.
   */
  startConfirmation(): number {
    const ticket = this.confirmations.add(this.nextSequence);
    this.completeConfirmations();
    return ticket;
  }

  /**
   * Resets the state that a process loses when it exits. Term, claim, role and
   * log are kept.
   */
  restart(): void {
    this.effects = [];
    this.lastPrimaryMessageAtMs = null;
    this.confirmations.clear();
    if (this.role === 'primary') {
      this.initializeProgress();
    }
  }

  handleMessage(message: ReplicationMessage<Change>): void {
    switch (message.kind) {
      case 'append':
        this.handleAppend(message);
        return;
      case 'acknowledge':
        this.handleAcknowledge(message);
        return;
      case 'mismatch':
        this.handleMismatch(message);
        return;
      case 'staleTerm':
        // A primary is demoted only by a call or by a message of the newer
        // primary.
        return;
      default:
        exhaustiveSwitchError(message);
    }
  }

  /**
   * Sends the records and heartbeats that are due, and a probe to every replica
   * if a confirmation waits for the next message.
   */
  handleTick(): void {
    if (this.role !== 'primary') {
      return;
    }
    const isProbeRequired = this.confirmations.isWaitingFor(this.nextSequence);
    const sequence = this.nextSequence++;
    for (const [replica, progress] of this.progress) {
      this.sendIfDue(replica, progress, sequence, isProbeRequired);
    }
  }

  /** Time until `handleTick` has to send something; null on a replica. */
  getDelayToNextTickMs(): number | null {
    if (this.role !== 'primary') {
      return null;
    }
    const nowMs = this.options.clock.nowMs();
    let delayMs = this.getHeartbeatIntervalMs();
    for (const [replica, progress] of this.progress) {
      const heartbeatDueMs =
        progress.getLastSentAtMs() + this.getHeartbeatIntervalMs();
      delayMs = Math.min(delayMs, heartbeatDueMs - nowMs);
      const record = this.log.getRecord(progress.getNextPosition());
      if (record !== null) {
        const dueMs = record.appendedAtMs + this.getLagMs(replica);
        delayMs = Math.min(delayMs, dueMs - nowMs);
      }
    }
    return Math.max(0, delayMs);
  }

  private isSameClaim(term: number, claimId: string): boolean {
    return term === this.term && claimId === this.claimId;
  }

  private isNewOrSameClaim(term: number, claimId: string): boolean {
    return term > this.term || this.isSameClaim(term, claimId);
  }

  private getHeartbeatIntervalMs(): number {
    return this.options.heartbeatIntervalMs ?? DEFAULT_HEARTBEAT_INTERVAL_MS;
  }

  private getLagMs(replica: BackendServerId): number {
    return this.options.getReplicationLagMs?.(replica) ?? 0;
  }

  private becomeReplica(
    term: number,
    claimId: string,
    primary: BackendServerId | null,
  ): void {
    const isChanged =
      term !== this.term || primary !== this.primary || this.role !== 'replica';
    this.term = term;
    this.claimId = claimId;
    this.role = 'replica';
    this.progress = new Map();
    this.majorityPosition = ORIGIN_POSITION;
    this.confirmations.clear();
    if (primary !== this.primary) {
      this.primary = primary;
      this.lastPrimaryMessageAtMs = null;
    }
    if (isChanged) {
      this.effects.push({kind: 'roleChanged'});
    }
  }

  private initializeProgress(): void {
    const nextPosition = this.getEnd().position + 1;
    const nowMs = this.options.clock.nowMs();
    this.majorityPosition = ORIGIN_POSITION;
    this.progress = new Map(
      this.options.peers.map(peer => [
        peer,
        ReplicaProgress.create(nextPosition, nowMs),
      ]),
    );
  }

  private appendBody(body: LogRecordBody<Change>): LogPosition {
    const position = this.getEnd().position + 1;
    const appendedAtMs = this.options.clock.nowMs();
    this.log.append({term: this.term, position, body, appendedAtMs});
    if (this.options.peers.length === 0) {
      this.advanceMajorityPosition();
    }
    return {term: this.term, position};
  }

  private sendIfDue(
    replica: BackendServerId,
    progress: ReplicaProgress,
    sequence: number,
    isProbeRequired: boolean,
  ): void {
    const nowMs = this.options.clock.nowMs();
    const isHeartbeatDue =
      nowMs - progress.getLastSentAtMs() >= this.getHeartbeatIntervalMs();
    const records = this.collectRecords(replica, progress.getNextPosition());
    if (records.length === 0 && !isProbeRequired && !isHeartbeatDue) {
      return;
    }
    const previousPosition = progress.getNextPosition() - 1;
    const previousTerm = this.log.getTermAt(previousPosition);
    if (previousTerm === null) {
      throw new Error(
        `The log has no record at position ${previousPosition}, which precedes the records to send`,
      );
    }
    progress.recordSent(records.length, nowMs);
    this.send(replica, {
      kind: 'append',
      from: this.options.backendServer,
      term: this.term,
      claimId: this.claimId,
      sequence,
      previous: {term: previousTerm, position: previousPosition},
      records,
      heldByAll: this.getPositionHeldByAll(),
    });
  }

  private collectRecords(replica: BackendServerId, firstPosition: number) {
    const latestMs = this.options.clock.nowMs() - this.getLagMs(replica);
    const records = [];
    let record = this.log.getRecord(firstPosition);
    while (record !== null && records.length < MAX_RECORDS_PER_MESSAGE) {
      // Records of older terms carry times of another primary's clock.
      if (record.term === this.term && record.appendedAtMs > latestMs) {
        break;
      }
      records.push(record);
      record = this.log.getRecord(record.position + 1);
    }
    return records;
  }

  private getPositionHeldByAll(): number {
    let lowestPosition = this.getEnd().position;
    for (const progress of this.progress.values()) {
      lowestPosition = Math.min(
        lowestPosition,
        progress.getConfirmed().position,
      );
    }
    return lowestPosition;
  }

  private handleAppend(message: AppendMessage<Change>): void {
    const isPrimaryOfSameTerm =
      message.term === this.term && this.role === 'primary';
    if (message.term < this.term || isPrimaryOfSameTerm) {
      this.send(message.from, {
        kind: 'staleTerm',
        from: this.options.backendServer,
        term: this.term,
      });
      return;
    }
    this.becomeReplica(message.term, message.claimId, message.from);
    this.lastPrimaryMessageAtMs = this.options.clock.nowMs();
    const hintPosition = this.log.findMismatch(message.previous);
    const {from, term, sequence} = message;
    const self = this.options.backendServer;
    if (hintPosition !== null) {
      this.send(from, {
        kind: 'mismatch',
        from: self,
        term,
        sequence,
        hintPosition,
      });
      return;
    }
    const {truncated, added, matched} = this.log.merge(message);
    for (const record of truncated) {
      this.effects.push({kind: 'undoRecord', record});
    }
    for (const record of added) {
      this.effects.push({kind: 'applyRecord', record});
    }
    this.compactLog(message.heldByAll);
    this.send(from, {
      kind: 'acknowledge',
      from: self,
      term,
      sequence,
      confirmed: matched,
    });
  }

  private handleAcknowledge(message: AcknowledgeMessage): void {
    const progress = this.findProgress(message);
    if (progress === null) {
      return;
    }
    const nowMs = this.options.clock.nowMs();
    progress.recordAcknowledgement(message.confirmed, message.sequence, nowMs);
    this.advanceMajorityPosition();
    this.completeConfirmations();
    this.compactLog(this.getPositionHeldByAll());
  }

  private handleMismatch(message: MismatchMessage): void {
    const progress = this.findProgress(message);
    if (progress === null) {
      return;
    }
    const nowMs = this.options.clock.nowMs();
    const basePosition = this.log.getBase().position;
    const hint = Math.max(basePosition, message.hintPosition);
    progress.recordMismatch(hint, message.sequence, nowMs);
    this.completeConfirmations();
  }

  private findProgress(
    message: AcknowledgeMessage | MismatchMessage,
  ): ReplicaProgress | null {
    if (this.role !== 'primary' || message.term !== this.term) {
      return null;
    }
    return this.progress.get(message.from) ?? null;
  }

  private advanceMajorityPosition(): void {
    const positions = [this.getEnd()];
    for (const progress of this.progress.values()) {
      positions.push(progress.getConfirmed());
    }
    positions.sort((left, right) => right.position - left.position);
    const candidate = positions[Math.floor(positions.length / 2)];
    // A record of an older term counts as held by a majority only once a later
    // record of this term is.
    if (candidate === undefined || candidate.term !== this.term) {
      return;
    }
    if (comparePositions(candidate, this.majorityPosition) > 0) {
      this.majorityPosition = candidate;
      this.effects.push({kind: 'majorityAdvanced', majority: candidate});
    }
  }

  private completeConfirmations(): void {
    const required = Math.floor((this.options.peers.length + 1) / 2);
    const replicas = this.progress.values();
    for (const ticket of this.confirmations.takeCompleted(replicas, required)) {
      this.effects.push({kind: 'termConfirmed', ticket});
    }
  }

  private compactLog(position: number): void {
    const end = Math.min(position, this.getEnd().position);
    const surplus = end - this.log.getBase().position;
    if (surplus >= 2 * RETAINED_RECORDS) {
      this.log.dropUpTo(end - RETAINED_RECORDS);
    }
  }

  private send(to: BackendServerId, message: ReplicationMessage<Change>): void {
    this.effects.push({kind: 'send', to, message});
  }
}
