import type {
  ClockJumpDetector,
  ClockReading,
} from '../group/clock_jump_detector.js';
import type {OperationPermit} from './operation_permit.js';
import {PERMIT_LIFETIME_MS} from './quota_rules.js';

/** Permits that this proxy holds for the operations of one customer. @internal */
export class PermitStock {
  /** Times at which the permits were asked for, the oldest first. */
  private readonly askedAt: ClockReading[] = [];

  private constructor(private readonly clockJumpDetector: ClockJumpDetector) {}

  static create(clockJumpDetector: ClockJumpDetector): PermitStock {
    return new PermitStock(clockJumpDetector);
  }

  add(count: number, askedAt: ClockReading): void {
    for (let added = 0; added < count; added++) {
      this.askedAt.push(askedAt);
    }
  }

  /** Takes a valid permit, or returns null if there is none. */
  take(): OperationPermit | null {
    for (;;) {
      const askedAt = this.askedAt.shift();
      if (askedAt === undefined) {
        return null;
      }
      if (this.isValid(askedAt)) {
        return this.createPermit(askedAt);
      }
    }
  }

  /**
   * A suspension of the machine ends all permits, because their age is unknown
   * afterwards.
   */
  private isValid(askedAt: ClockReading): boolean {
    const ageMs = this.clockJumpDetector.getElapsedMs(askedAt);
    return ageMs !== null && ageMs < PERMIT_LIFETIME_MS;
  }

  private createPermit(askedAt: ClockReading): OperationPermit {
    let isSent = false;
    let hasEnded = false;
    return {
      markSent: () => {
        isSent = true;
      },
      end: () => {
        if (!hasEnded && !isSent) {
          this.askedAt.unshift(askedAt);
        }
        hasEnded = true;
      },
    };
  }
}
