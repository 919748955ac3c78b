/** Why a pool rejected a request. @public */
export type RejectionReason =
  /** Not expected to be sent in time on its arrival. */
  | 'expectedLate'
  /** No longer expected to be sent in time while queued. */
  | 'becameLate'
  /** Removed from a full queue, or refused by one. */
  | 'queueFull'
  /** Still queued at its deadline. */
  | 'deadline'
  /** The backend server accepts no connection. */
  | 'noConnection'
  | 'cancelled'
  | 'draining'
  | 'disposed';

/** Number of rejected requests by reason. @public */
export type RejectionCounts = Readonly<Record<RejectionReason, number>>;

/** Counts rejected requests by reason. @internal */
export class RejectionCounter {
  private readonly current: Record<RejectionReason, number> = {
    expectedLate: 0,
    becameLate: 0,
    queueFull: 0,
    deadline: 0,
    noConnection: 0,
    cancelled: 0,
    draining: 0,
    disposed: 0,
  };

  private constructor() {}

  static create(): RejectionCounter {
    return new RejectionCounter();
  }

  get counts(): RejectionCounts {
    return {...this.current};
  }

  add(reason: RejectionReason): void {
    this.current[reason]++;
  }
}
