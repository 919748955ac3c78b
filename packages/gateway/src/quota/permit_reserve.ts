import type {
  ClockJumpDetector,
  ClockReading,
} from '../group/clock_jump_detector.js';
import type {OperationPermit} from './operation_permit.js';
import {RESERVATION_LIFETIME_MS} from './quota_rules.js';
import type {PermitGrant} from './token_bucket.js';

/** What a report says about the reserve when it is sent. @internal */
export interface ReserveSnapshot {
  readonly heldCount: number;
  readonly usedCount: number;
  readonly generation: number;
  readonly sentAt: ClockReading;
}

/**
 * Permits for operations of one customer that the owner of the local zone has
 * reserved for this proxy.
 *
 * @internal
 */
export class PermitReserve {
  private held = 0;
  private used = 0;
  /** Incremented when the reserve is cleared, so that late answers are ignored. */
  private generation = 0;
  /** When the owner was last told of the held permits. */
  private reportedAt: ClockReading | null = null;

  private constructor(private readonly clockJumpDetector: ClockJumpDetector) {}

  static create(clockJumpDetector: ClockJumpDetector): PermitReserve {
    return new PermitReserve(clockJumpDetector);
  }

  /** Number of valid permits. */
  get heldCount(): number {
    if (this.getRemainingMs() <= 0) {
      this.clear();
    }
    return this.held;
  }

  /** Time for which the held permits remain valid; 0 after a suspension. */
  getRemainingMs(): number {
    if (this.held === 0 || this.reportedAt === null) {
      return 0;
    }
    const ageMs = this.clockJumpDetector.getElapsedMs(this.reportedAt);
    return ageMs === null ? 0 : Math.max(0, RESERVATION_LIFETIME_MS - ageMs);
  }

  /** Takes a permit, or returns null if none is held. */
  take(): OperationPermit | null {
    if (this.heldCount === 0) {
      return null;
    }
    this.held--;
    this.used++;
    return this.createPermit();
  }

  /** Gives up all permits; returns their number. */
  clear(): number {
    const count = this.held;
    this.held = 0;
    this.generation++;
    return count;
  }

  createSnapshot(): ReserveSnapshot {
    return {
      heldCount: this.heldCount,
      usedCount: this.used,
      generation: this.generation,
      sentAt: this.clockJumpDetector.read(),
    };
  }

  /** Applies the owner's answer to the report that a snapshot was taken for. */
  applyGrant(grant: PermitGrant, snapshot: ReserveSnapshot): void {
    if (snapshot.generation !== this.generation) {
      return;
    }
    const usedSince = Math.max(0, this.used - snapshot.usedCount);
    const confirmed = Math.max(0, grant.confirmedCount - usedSince);
    this.held = confirmed + grant.reservedCount;
    this.reportedAt = snapshot.sentAt;
  }

  private createPermit(): OperationPermit {
    const {generation} = this;
    let isSent = false;
    let hasEnded = false;
    return {
      markSent: () => {
        isSent = true;
      },
      end: () => {
        const isUnused = !isSent && !hasEnded;
        hasEnded = true;
        if (isUnused && generation === this.generation) {
          this.held++;
          this.used--;
        }
      },
    };
  }
}
