import type {Clock} from '@filbertrun/base/clock.js';

/** Age of an unanswered write from which others are no longer sent after it. */
const STALLED_AFTER_MS = 450;

/** Age from which the stall speaks against the primary. */
const REPORTED_AFTER_MS = 700;

/** Interval at which one write is let through to see whether the stall is over. */
const PROBE_INTERVAL_MS = 500;

/**
 * Follows whether writes to a primary are acknowledged. A primary that is cut
 * off from its replicas still answers reads, while its writes wait for a
 * replica that never acknowledges, and each holds a connection.
 *
 * @public
 */
export class WriteProgress {
  private readonly sentAtMs = new Map<number, number>();
  private nextId = 0;
  private acknowledgedAtMs = Number.NEGATIVE_INFINITY;
  private probedAtMs = Number.NEGATIVE_INFINITY;
  /** When the first write was sent that was given up since the last acknowledgement. */
  private givenUpSentAtMs: number | null = null;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): WriteProgress {
    return new WriteProgress(clock);
  }

  /** Writes that were sent and not answered. */
  get pendingCount(): number {
    return this.sentAtMs.size;
  }

  /** Time since the last acknowledgement. */
  getAcknowledgementAgeMs(): number {
    return this.clock.nowMs() - this.acknowledgedAtMs;
  }

  /** Takes note of a write that is sent; the id ends it. */
  begin(): number {
    const id = this.nextId++;
    this.sentAtMs.set(id, this.clock.nowMs());
    return id;
  }

  end(id: number, isAcknowledged: boolean): void {
    const sentAtMs = this.sentAtMs.get(id);
    this.sentAtMs.delete(id);
    const nowMs = this.clock.nowMs();
    if (isAcknowledged) {
      this.acknowledgedAtMs = nowMs;
      this.givenUpSentAtMs = null;
      return;
    }
    // A rejection comes sooner and says nothing of acknowledgement.
    if (sentAtMs !== undefined && nowMs - sentAtMs >= STALLED_AFTER_MS) {
      this.givenUpSentAtMs ??= sentAtMs;
    }
  }

  /** Whether a new write should not be sent now. */
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

  /** Whether the stall is long enough to speak against the primary. */
  get isStalled(): boolean {
    return this.getStallMs() >= REPORTED_AFTER_MS;
  }

  /** Forgets all, because another instance leads now. */
  reset(): void {
    this.sentAtMs.clear();
    this.givenUpSentAtMs = null;
    this.acknowledgedAtMs = this.clock.nowMs();
  }

  /** Age of the oldest write that was sent after the last acknowledgement. */
  private getStallMs(): number {
    let oldestMs = this.givenUpSentAtMs ?? Number.POSITIVE_INFINITY;
    for (const sentAtMs of this.sentAtMs.values()) {
      if (sentAtMs >= this.acknowledgedAtMs) {
        oldestMs = Math.min(oldestMs, sentAtMs);
      }
    }
    return Math.max(0, this.clock.nowMs() - oldestMs);
  }
}
