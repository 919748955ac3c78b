import type {Clock} from '@filbertrun/base/clock.js';

/** Age of an unanswered write from which further writes are refused. */
const STALLED_AFTER_MS = 450;

/** Age from which the stall counts as evidence of a primary failure. */
const REPORTED_AFTER_MS = 700;

/** Interval at which one write is sent as a probe during a stall. */
const PROBE_INTERVAL_MS = 500;

/**
 * Detects that writes at a primary are not acknowledged. A primary that is
 * partitioned from its replicas still answers reads, but its writes wait for an
 * acknowledgement that never arrives, and each write occupies a connection.
 *
 * @public
 */
export class WriteStallDetector {
  private readonly sentAtMs = new Map<number, number>();
  private nextId = 0;
  private acknowledgedAtMs = Number.NEGATIVE_INFINITY;
  private probedAtMs = Number.NEGATIVE_INFINITY;
  /**
   * Send time of the first write since the last acknowledgement that ended
   * without one after at least `STALLED_AFTER_MS`; null if there is none.
   */
  private timedOutSentAtMs: number | null = null;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): WriteStallDetector {
    return new WriteStallDetector(clock);
  }

  /** Number of writes that were sent and have no response yet. */
  get pendingCount(): number {
    return this.sentAtMs.size;
  }

  /** Time since the last acknowledgement. */
  getAcknowledgementAgeMs(): number {
    return this.clock.nowMs() - this.acknowledgedAtMs;
  }

  /** Records that a write is sent; returns the id for {@link end}. */
  begin(): number {
    const id = this.nextId++;
    this.sentAtMs.set(id, this.clock.nowMs());
    return id;
  }

  /**
   * Records the end of a write. It is not acknowledged if it was rejected, has
   * timed out or lost its connection.
   */
  end(id: number, isAcknowledged: boolean): void {
    const sentAtMs = this.sentAtMs.get(id);
    this.sentAtMs.delete(id);
    const nowMs = this.clock.nowMs();
    if (isAcknowledged) {
      this.acknowledgedAtMs = nowMs;
      this.timedOutSentAtMs = null;
      return;
    }
    // A write that fails sooner was rejected, which is no sign of a stall.
    if (sentAtMs !== undefined && nowMs - sentAtMs >= STALLED_AFTER_MS) {
      this.timedOutSentAtMs ??= sentAtMs;
    }
  }

  /**
   * Whether a new write should be refused now; admits one probe per interval.
   */
  shouldRefuse(): boolean {
    if (this.getStallMs() < STALLED_AFTER_MS) {
      return false;
    }
    const nowMs = this.clock.nowMs();
    if (nowMs - this.probedAtMs < PROBE_INTERVAL_MS) {
      return true;
    }
    this.probedAtMs = nowMs;
    return false;
  }

  /**
   * Whether the stall is long enough to count as evidence of a primary failure.
   */
  get isStalled(): boolean {
    return this.getStallMs() >= REPORTED_AFTER_MS;
  }

  /** Clears all state because another instance has become primary. */
  reset(): void {
    this.sentAtMs.clear();
    this.timedOutSentAtMs = null;
    this.acknowledgedAtMs = this.clock.nowMs();
  }

  /**
   * Age of the oldest unacknowledged write sent since the last acknowledgement.
   */
  private getStallMs(): number {
    let oldestMs = this.timedOutSentAtMs ?? Number.POSITIVE_INFINITY;
    for (const sentAtMs of this.sentAtMs.values()) {
      if (sentAtMs >= this.acknowledgedAtMs) {
        oldestMs = Math.min(oldestMs, sentAtMs);
      }
    }
    return Math.max(0, this.clock.nowMs() - oldestMs);
  }
}
