import type {FailoverLeaderRecord} from './control_record.js';

/**
 * Fencing tokens increase with each failover leader. A store that was restored
 * from a backup may lack the latest tokens. The store era therefore forms the
 * high part of a token, and every token of a later era exceeds all tokens of
 * earlier eras, including lost ones.
 */

/** Number of tokens in one era. */
const TOKENS_PER_ERA = 2 ** 32;

/**
 * Returns the token of the next leader, given the current leader record.
 *
 * @public
 */
export function getNextToken(
  era: number,
  leaderRecord: FailoverLeaderRecord | null,
): number {
  return Math.max(leaderRecord?.fencingToken ?? 0, era * TOKENS_PER_ERA) + 1;
}

/** Returns the era in which a token was issued. @public */
export function getTokenEra(fencingToken: number): number {
  return Math.floor(fencingToken / TOKENS_PER_ERA);
}
