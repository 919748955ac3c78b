/**
 * Decides how long a statement waits while its group has no usable primary.
 * During a change of primary, this applies to every write of the group and every
 * read that must see all acknowledged commits. A statement that would wait
 * without success is better refused early.
 */

/** Inputs of {@link choosePrimaryWaitMs}. @public */
export interface PrimaryWaitInputs {
  /** Time left until the deadline of the statement. */
  readonly availableMs: number;
  /** Time since the change of primary began; null if none is known. */
  readonly changeAgeMs: number | null;
  /** Estimated duration of a change of primary. */
  readonly expectedChangeMs: number;
}

/** Wait if no primary is usable but no change of primary is known. */
const NO_KNOWN_CHANGE_WAIT_MS = 60;

/** Margin added to the expected end of a change. */
const MARGIN_MS = 150;

/** A change counts as stuck after this multiple of the expected duration. */
const STUCK_FACTOR = 2;

/** Returns the time to wait, or 0 to refuse immediately. @public */
export function choosePrimaryWaitMs(inputs: PrimaryWaitInputs): number {
  const {availableMs, changeAgeMs, expectedChangeMs} = inputs;
  if (availableMs <= 0) {
    return 0;
  }
  if (changeAgeMs === null) {
    return Math.min(availableMs, NO_KNOWN_CHANGE_WAIT_MS);
  }
  const remainingMs = expectedChangeMs - changeAgeMs;
  if (remainingMs > 0) {
    const neededMs = remainingMs + MARGIN_MS;
    return neededMs <= availableMs ? neededMs : 0;
  }
  const isStuck = changeAgeMs > expectedChangeMs * STUCK_FACTOR;
  return isStuck ? 0 : Math.min(availableMs, MARGIN_MS);
}
