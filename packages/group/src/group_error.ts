/**
 * Errors of the group layer.
 */

/** Why it is unknown whether a majority holds a write. @public */
export interface MajorityUnconfirmed {
  readonly kind: 'majorityUnconfirmed';
  readonly reason: 'deadline' | 'termChanged' | 'disposed';
}

/** Why the primary's term could not be confirmed. @public */
export interface TermUnconfirmed {
  readonly kind: 'termUnconfirmed';
  readonly reason: string;
}

/** No primary was known before the deadline. @public */
export interface NoPrimary {
  readonly kind: 'noPrimary';
}

/** Why a planned change of primary failed. @public */
export type PrimaryChangeError =
  | {readonly kind: 'unknownTarget'}
  | {readonly kind: 'noPrimary'}
  | {readonly kind: 'targetBehind'}
  | {readonly kind: 'changeUnderWay'}
  | {readonly kind: 'outcomeUnknown'; readonly reason: string};
