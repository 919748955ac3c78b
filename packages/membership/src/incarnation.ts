import type {RandomSource} from '@filbertrun/base/random_source.js';

/**
 * The incarnation of a process: its start time and a random part. A VM has no
 * disk, so it cannot count its lives; should its clock have gone back, it
 * raises its incarnation above the one that others still hold.
 *
 * @public
 */

/** Incarnations within one millisecond. */
const INCARNATIONS_PER_MS = 1024;

/** Creates the incarnation of a process that starts now. @public */
export function createIncarnation(
  startedAtEpochMs: number,
  random: RandomSource,
): number {
  const offset = random.nextInteger(0, INCARNATIONS_PER_MS / 2);
  return Math.floor(startedAtEpochMs) * INCARNATIONS_PER_MS + offset;
}
