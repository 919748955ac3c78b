import type {ClockReading, ClockWatch} from '../group/clock_watch.js';

/**
 * Usual time after its last contact for which a proxy relies on a primary.
 * Whoever replaces the primary waits this long, and no longer, for a proxy that
 * is cut off.
 *
 * @public
 */
export const CONTACT_WINDOW_MS = 1_400;

/** Whether a proxy may rely on what it knows of primaries. @public */
export interface ContactProof {
  isInContact(): boolean;
}

/**
 * When this proxy last learned that its records of primaries are current: from
 * the store, or from a proxy of another availability zone that holds the same
 * ones under a lease.
 *
 * @public
 */
export class ContactWatch implements ContactProof {
  private contactAt: ClockReading | null = null;

  private constructor(
    private readonly clockWatch: ClockWatch,
    readonly windowMs: number,
  ) {}

  static create(clockWatch: ClockWatch, windowMs: number): ContactWatch {
    return new ContactWatch(clockWatch, windowMs);
  }

  /** Takes a contact by its start: what was learned was true after it. */
  noteContact(startedAt: ClockReading): void {
    const isLater =
      this.contactAt === null ||
      this.contactAt.epoch !== startedAt.epoch ||
      this.contactAt.timeMs < startedAt.timeMs;
    if (isLater) {
      this.contactAt = startedAt;
    }
  }

  /** Start of the latest contact while it may be relied on, or null. */
  getContactStart(): ClockReading | null {
    return this.isInContact() ? this.contactAt : null;
  }

  /** Time since the last contact; null without one since the clocks agree. */
  getAgeMs(): number | null {
    return this.contactAt === null
      ? null
      : this.clockWatch.getElapsedMs(this.contactAt);
  }

  isInContact(): boolean {
    const ageMs = this.getAgeMs();
    return ageMs !== null && ageMs < this.windowMs;
  }
}
