import type {ReplicaReport} from '@filbertrun/group/instance_control.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import {
  ORIGIN_POSITION,
  type LogPosition,
} from '@filbertrun/model/log_position.js';

/** Replication progress of one replica in the term of a primary. @internal */
export class ReplicaProgress {
  private confirmed: LogPosition = ORIGIN_POSITION;
  private respondedSequence = 0;
  private lastSentAtMs = Number.NEGATIVE_INFINITY;

  private constructor(
    private nextPosition: number,
    private lastResponseAtMs: number,
  ) {}

  static create(nextPosition: number, nowMs: number): ReplicaProgress {
    return new ReplicaProgress(nextPosition, nowMs);
  }

  /** Position of the next record to send. */
  getNextPosition(): number {
    return this.nextPosition;
  }

  /** Last position that the replica confirmed. */
  getConfirmed(): LogPosition {
    return this.confirmed;
  }

  /** Highest sequence to which the replica has responded. */
  getRespondedSequence(): number {
    return this.respondedSequence;
  }

  getLastSentAtMs(): number {
    return this.lastSentAtMs;
  }

  recordSent(recordCount: number, nowMs: number): void {
    this.nextPosition += recordCount;
    this.lastSentAtMs = nowMs;
  }

  recordAcknowledgement(
    confirmed: LogPosition,
    sequence: number,
    nowMs: number,
  ): void {
    this.recordResponse(sequence, nowMs);
    if (confirmed.position > this.confirmed.position) {
      this.confirmed = confirmed;
    }
    this.nextPosition = Math.max(this.nextPosition, confirmed.position + 1);
  }

  /**
   * Continues after `hintPosition`, but never before the end of the confirmed
   * records.
   */
  recordMismatch(hintPosition: number, sequence: number, nowMs: number): void {
    this.recordResponse(sequence, nowMs);
    const target = Math.max(hintPosition, this.confirmed.position) + 1;
    this.nextPosition = Math.min(this.nextPosition, target);
    // Makes the next tick send immediately.
    this.lastSentAtMs = Number.NEGATIVE_INFINITY;
  }

  createReport(backendServer: BackendServerId, nowMs: number): ReplicaReport {
    return {
      backendServer,
      confirmed: this.confirmed,
      silentForMs: nowMs - this.lastResponseAtMs,
    };
  }

  private recordResponse(sequence: number, nowMs: number): void {
    this.respondedSequence = Math.max(this.respondedSequence, sequence);
    this.lastResponseAtMs = nowMs;
  }
}
