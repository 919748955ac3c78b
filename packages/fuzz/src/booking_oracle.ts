import {
  formatPosition,
  isCovered,
  type LogPosition,
} from '@filbertrun/model/log_position.js';

/**
 * Invariants of bookings. The oracle shares no state with the code under test:
 * it keeps the acknowledged bookings with their time and session, and the
 * bookings that were reported as not run.
 */

/** A violated invariant. @public */
export interface Violation {
  readonly rule: string;
  readonly detail: string;
}

interface Acknowledgement {
  readonly timeMs: number;
  readonly position: LogPosition;
  readonly session: number;
}

/** Checks the bookings of one history against the invariants. @public */
export class BookingOracle {
  private readonly acknowledged = new Map<string, Acknowledgement>();
  private readonly notRun = new Set<string>();
  private readonly reported: Violation[] = [];

  private constructor() {}

  static create(): BookingOracle {
    return new BookingOracle();
  }

  get violations(): readonly Violation[] {
    return this.reported;
  }

  get acknowledgedCount(): number {
    return this.acknowledged.size;
  }

  report(rule: string, detail: string): void {
    this.reported.push({rule, detail});
  }

  /**
   * Records the acknowledgement of a booking and checks that at least
   * `majority` instances hold it; `holderCount` is how many do now.
   */
  recordAcknowledgement(
    bookingId: string,
    session: number,
    timeMs: number,
    position: LogPosition,
    holderCount: number,
    majority: number,
  ): void {
    if (!this.acknowledged.has(bookingId)) {
      this.acknowledged.set(bookingId, {timeMs, position, session});
    }
    if (holderCount < majority) {
      this.report(
        'acknowledged without majority',
        `${bookingId} is held by ${holderCount}`,
      );
    }
  }

  isAcknowledged(bookingId: string): boolean {
    return this.acknowledged.has(bookingId);
  }

  /** Records a final "not run"; the caller never sends the booking again. */
  recordNotRun(bookingId: string): void {
    this.notRun.add(bookingId);
  }

  /** Returns the bookings acknowledged to a session so far. */
  getAcknowledgedToSession(session: number): readonly string[] {
    const bookings: string[] = [];
    for (const [bookingId, entry] of this.acknowledged) {
      if (entry.session === session) {
        bookings.push(bookingId);
      }
    }
    return bookings;
  }

  /** Returns the bookings acknowledged at or before `timeMs`. */
  getAcknowledgedUntil(timeMs: number): readonly string[] {
    const bookings: string[] = [];
    for (const [bookingId, entry] of this.acknowledged) {
      if (entry.timeMs <= timeMs) {
        bookings.push(bookingId);
      }
    }
    return bookings;
  }

  /** Checks that a read returned every expected booking. */
  checkRead(
    rule: string,
    expected: readonly string[],
    seen: ReadonlySet<string>,
  ): void {
    for (const bookingId of expected) {
      if (!seen.has(bookingId)) {
        this.report(rule, `${bookingId} is missing`);
        return;
      }
    }
  }

  /**
   * Checks that a position covers every booking acknowledged at or before
   * `timeMs`.
   */
  checkFreshPosition(timeMs: number, freshPosition: LogPosition): void {
    for (const [bookingId, entry] of this.acknowledged) {
      if (entry.timeMs <= timeMs && !isCovered(entry.position, freshPosition)) {
        this.report(
          'freshness',
          `${bookingId} is not covered by ${formatPosition(freshPosition)}`,
        );
        return;
      }
    }
  }

  /**
   * Checks the final data of the group: no booking ran twice, no acknowledged
   * booking is lost, and none ran that was reported as not run.
   */
  checkFinal(
    bookingIds: readonly string[],
    getCount: (bookingId: string) => number,
  ): void {
    for (const bookingId of bookingIds) {
      const count = getCount(bookingId);
      if (count > 1) {
        this.report('run more than once', `${bookingId}: ${count} times`);
      }
      if (count === 0 && this.acknowledged.has(bookingId)) {
        this.report('acknowledged booking lost', bookingId);
      }
      if (count > 0 && this.notRun.has(bookingId)) {
        this.report('run after "not run"', bookingId);
      }
    }
  }
}
