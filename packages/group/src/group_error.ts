/**
 * Errors of the group layer.
 */

/** Why a write is not known to be held by a majority. @public */
export interface MajorityUnproven {
  readonly kind: 'majorityUnproven';
  readonly reason: 'deadline' | 'termChanged' | 'disposed';
}

/** Why the primary's term is not confirmed. @public */
export interface TermUnconfirmed {
  readonly kind: 'termUnconfirmed';
  readonly reason: string;
}

/** No primary was known before the deadline. @public */
export interface NoPrimary {
  readonly kind: 'noPrimary';
}

/** Why a planned change of primary did not happen. @public */
export type PrimaryChangeError =
  | {readonly kind: 'unknownTarget'}
  | {readonly kind: 'noPrimary'}
  | {readonly kind: 'targetBehind'}
  | {readonly kind: 'changeUnderWay'}
  | {readonly kind: 'outcomeUnknown'; readonly reason: string};
