/**
 * Revisions of the platform's store. The store numbers its changes. After a
 * restore from a backup it reuses change numbers and increments its era. A
 * revision holds the era in its high bits and the change number in its low
 * bits, so later changes always have higher revisions.
 */

/** Number of change numbers per era. */
const CHANGES_PER_ERA = 2 ** 40;

/** Number of eras. Keeps every revision a safe integer. */
const MAX_ERA = 2 ** 12;

/** The two parts of a revision. @public */
export interface RevisionParts {
  /** How often the store has been restored from a backup. */
  readonly era: number;
  /** Change number within the era. */
  readonly change: number;
}

/** Combines an era and a change; null if one is out of range. @public */
export function createRevision({era, change}: RevisionParts): number | null {
  const isEra = Number.isInteger(era) && era >= 0 && era < MAX_ERA;
  const isChange =
    Number.isInteger(change) && change >= 0 && change < CHANGES_PER_ERA;
  return isEra && isChange ? era * CHANGES_PER_ERA + change : null;
}

/** Splits a revision into its era and change. @public */
export function splitRevision(revision: number): RevisionParts {
  return {
    era: getEra(revision),
    change: revision % CHANGES_PER_ERA,
  };
}

/** Returns the era of a revision. @public */
export function getEra(revision: number): number {
  return Math.floor(revision / CHANGES_PER_ERA);
}
