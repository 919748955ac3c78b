import type {FailoverDuty} from './control_record.js';

/**
 * Fencing tokens rise with each holder of the failover duty. A store that comes
 * back from a copy forgets the latest ones, so the era of the store stands before
 * the count: a token of a later era exceeds all earlier ones, also those that
 * nobody remembers.
 */

/** Tokens that one era has room for. */
const TOKENS_PER_ERA = 2 ** 32;

/** The token of a new holder in an era, after the record of the duty that stands. @public */
export function getNextToken(era: number, duty: FailoverDuty | null): number {
  return Math.max(duty?.fencingToken ?? 0, era * TOKENS_PER_ERA) + 1;
}

/** The era in which a token was given. @public */
export function getTokenEra(fencingToken: number): number {
  return Math.floor(fencingToken / TOKENS_PER_ERA);
}
