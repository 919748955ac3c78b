/**
 * Revisions of the platform's store. The store numbers its changes, and numbers
 * are given out again after it has come back from a copy. It then counts one era
 * more. A revision puts the era before the number, so that revisions of the same
 * store are always in the order in which they came to be.
 */

/** Numbers of changes that one era has room for. */
const CHANGES_PER_ERA = 2 ** 40;

/** Eras that a revision has room for, so that it stays a safe integer. */
const MAX_ERA = 2 ** 12;

/** A revision taken apart. @public */
export interface RevisionParts {
  /** Times that the store has come back from a copy. */
  readonly era: number;
  /** Number of the change within the store's present count. */
  readonly change: number;
}

/** Puts a revision together; null when it has no room for a part. @public */
export function createRevision({era, change}: RevisionParts): number | null {
  const isEra = Number.isInteger(era) && era >= 0 && era < MAX_ERA;
  const isChange =
    Number.isInteger(change) && change >= 0 && change < CHANGES_PER_ERA;
  return isEra && isChange ? era * CHANGES_PER_ERA + change : null;
}

/** Takes a revision apart. @public */
export function splitRevision(revision: number): RevisionParts {
  return {
    era: getEra(revision),
    change: revision % CHANGES_PER_ERA,
  };
}

/** The era to which a revision belongs. @public */
export function getEra(revision: number): number {
  return Math.floor(revision / CHANGES_PER_ERA);
}
