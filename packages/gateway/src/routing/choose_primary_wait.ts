/**
 * Decides how long a statement waits for a primary that is missing. The load
 * that it answers: every write and strict read of a group arrives while its
 * primary is being replaced, and each that is held in vain would have been
 * better off with an early refusal.
 */

/** What the decision depends on. @public */
export interface PrimaryWaitInputs {
  /** Time until the statement is given up. */
  readonly availableMs: number;
  /** Time since the change began; null when no change is known. */
  readonly changeAgeMs: number | null;
  /** Time that the latest change took, or the usual one. */
  readonly expectedChangeMs: number;
}

/** Time to wait for a primary that is missing for no known reason. */
const UNEXPLAINED_WAIT_MS = 60;

/** Margin on the expected end of a change. */
const MARGIN_MS = 150;

/** Change that takes longer than this multiple of the usual time is stuck. */
const STUCK_FACTOR = 2;

/** The time to wait, 0 to refuse at once. @public */
export function choosePrimaryWaitMs(inputs: PrimaryWaitInputs): number {
  const {availableMs, changeAgeMs, expectedChangeMs} = inputs;
  if (availableMs <= 0) {
    return 0;
  }
  if (changeAgeMs === null) {
    return Math.min(availableMs, UNEXPLAINED_WAIT_MS);
  }
  const remainingMs = expectedChangeMs - changeAgeMs;
  if (remainingMs > 0) {
    const neededMs = remainingMs + MARGIN_MS;
    return neededMs <= availableMs ? neededMs : 0;
  }
  const isStuck = changeAgeMs > expectedChangeMs * STUCK_FACTOR;
  return isStuck ? 0 : Math.min(availableMs, MARGIN_MS);
}
