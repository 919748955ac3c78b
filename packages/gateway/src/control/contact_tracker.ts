import type {
  ClockReading,
  ClockJumpDetector,
} from '../group/clock_jump_detector.js';

/**
 * Default time after its last contact for which a proxy keeps using a primary.
 * A primary change waits this long, and no longer, for a proxy that is
 * isolated.
 *
 * @public
 */
export const CONTACT_WINDOW_MS = 1_400;

/** Tells whether the primary records of a proxy may be used. @public */
export interface ContactStatus {
  isInContact(): boolean;
}

/**
 * Tracks the last contact: the time at which this proxy's primary records were
 * last confirmed as current, either by the store or by a proxy of another
 * availability zone that has the same records under a lease.
 *
 * @public
 */
export class ContactTracker implements ContactStatus {
  private contactAt: ClockReading | null = null;

  private constructor(
    private readonly clockJumpDetector: ClockJumpDetector,
    readonly windowMs: number,
  ) {}

  static create(
    clockJumpDetector: ClockJumpDetector,
    windowMs: number,
  ): ContactTracker {
    return new ContactTracker(clockJumpDetector, windowMs);
  }

  /**
   * Records a contact at the start of its request, since the response was
   * correct at some time after that.
   */
  recordContact(startedAt: ClockReading): void {
    const isLater =
      this.contactAt === null ||
      this.contactAt.epoch !== startedAt.epoch ||
      this.contactAt.timeMs < startedAt.timeMs;
    if (isLater) {
      this.contactAt = startedAt;
    }
  }

  /**
   * Returns the start of the last contact, or null if the window has passed.
   */
  getContactStart(): ClockReading | null {
    return this.isInContact() ? this.contactAt : null;
  }

  /**
   * Returns the time since the last contact; null if there was none or if a
   * clock jump was detected since then.
   */
  getAgeMs(): number | null {
    return this.contactAt === null
      ? null
      : this.clockJumpDetector.getElapsedMs(this.contactAt);
  }

  isInContact(): boolean {
    const ageMs = this.getAgeMs();
    return ageMs !== null && ageMs < this.windowMs;
  }
}
