import type {RandomSource} from '@filbertrun/base/random_source.js';

/**
 * The incarnation of a process: its start time and a random part. A VM has no
 * disk and cannot persist a counter of its starts. If its clock was set back,
 * it raises its incarnation above the one that other proxies still hold.
 *
 * @public
 */

/** Number of incarnations per millisecond of the start time. */
const INCARNATIONS_PER_MS = 1024;

/** Creates the incarnation of a process. @public */
export function createIncarnation(
  startedAtEpochMs: number,
  random: RandomSource,
): number {
  const offset = random.nextInteger(0, INCARNATIONS_PER_MS / 2);
  return Math.floor(startedAtEpochMs) * INCARNATIONS_PER_MS + offset;
}
