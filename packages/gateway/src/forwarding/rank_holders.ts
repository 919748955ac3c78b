import {computeHash, computeScore} from '@filbertrun/membership/rendezvous.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';

/**
 * Ranks the proxies of an availability zone as holders of a database group by
 * weighted rendezvous hashing: all proxies that know the same candidates get the
 * same order, and a candidate that comes or goes moves only its own groups.
 */

/** A proxy that can hold the connections to a database group. @public */
export interface HolderCandidate {
  readonly entryVm: string;
  /** Processor cores of the entry VM, the weight of the candidate. */
  readonly processorCores: number;
}

/** Scores are integers of 32 bits. */
const SCORE_COUNT = 2 ** 32;

/** Returns the candidates in the order in which they are asked. @public */
export function rankHolders<C extends HolderCandidate>(
  databaseGroup: DatabaseGroupName,
  candidates: readonly C[],
): readonly C[] {
  const groupHash = computeHash(databaseGroup);
  const scored = candidates.map(candidate => ({
    candidate,
    arrival: computeArrival(groupHash, candidate),
  }));
  scored.sort(
    (left, right) =>
      left.arrival - right.arrival ||
      (left.candidate.entryVm < right.candidate.entryVm ? -1 : 1),
  );
  return scored.map(({candidate}) => candidate);
}

/**
 * Draws an exponentially distributed time with the weight as its rate. The
 * earliest candidate is the first with a probability in proportion to its weight.
 */
function computeArrival(
  groupHash: number,
  {entryVm, processorCores}: HolderCandidate,
): number {
  const score = computeScore(groupHash, computeHash(entryVm));
  const uniform = (score + 1) / (SCORE_COUNT + 1);
  return -Math.log(uniform) / processorCores;
}
