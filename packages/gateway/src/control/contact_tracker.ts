import type {
  ClockReading,
  ClockJumpDetector,
} from '../group/clock_jump_detector.js';
import {LatestClockReading} from '../group/latest_clock_reading.js';

/**
 * Default time after its last contact for which a proxy keeps using a primary.
 * A contact is a confirmation that its primary records are current. A primary
 * change waits this long, plus a margin, for an isolated proxy, counted from the
 * time after which no other proxy can have confirmed the old primary to it.
 *
 * @public
 */
export const CONTACT_WINDOW_MS = 1_200;

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
  private readonly contactAt: LatestClockReading;

  private constructor(
    clockJumpDetector: ClockJumpDetector,
    readonly windowMs: number,
  ) {
    this.contactAt = LatestClockReading.create(clockJumpDetector);
  }

  static create(
    clockJumpDetector: ClockJumpDetector,
    windowMs: number,
  ): ContactTracker {
    return new ContactTracker(clockJumpDetector, windowMs);
  }

  /**
   * Records a contact. Its time is the start of the request, because the records
   * were current at some time between the request and the response.
   */
  recordContact(startedAt: ClockReading): void {
    this.contactAt.record(startedAt);
  }

  /**
   * Returns the start of the last contact, or null if the window has passed.
   */
  getContactStart(): ClockReading | null {
    return this.isInContact() ? this.contactAt.value : null;
  }

  /**
   * Returns the time since the last contact; null if there was none or if a
   * clock jump was detected since then.
   */
  getAgeMs(): number | null {
    return this.contactAt.getAgeMs();
  }

  isInContact(): boolean {
    const ageMs = this.getAgeMs();
    return ageMs !== null && ageMs < this.windowMs;
  }
}
