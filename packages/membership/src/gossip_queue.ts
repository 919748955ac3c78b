import type {EntryVmId} from '@filbertrun/model/identifiers.js';

/**
 * Changes that a proxy still has to gossip, with the number of messages left
 * for each.
 *
 * @public
 */

/** Messages left for each changed member. @public */
export type GossipQueue = ReadonlyMap<EntryVmId, number>;

/** Messages for a change per binary logarithm of the number of members. */
const SENDS_PER_DOUBLING = 2;

/** Adds a change, which replaces an older one of the same member. @public */
export function addGossip(
  queue: GossipQueue,
  entryVm: EntryVmId,
  memberCount: number,
): GossipQueue {
  const sends = SENDS_PER_DOUBLING * Math.ceil(Math.log2(memberCount + 2));
  return new Map(queue).set(entryVm, sends);
}

/** Takes the changes for one message, those sent least often first. @public */
export function takeGossip(
  queue: GossipQueue,
  maxCount: number,
): {readonly queue: GossipQueue; readonly names: readonly EntryVmId[]} {
  if (queue.size === 0) {
    return {queue, names: []};
  }
  const entries = [...queue].sort((left, right) => right[1] - left[1]);
  const names: EntryVmId[] = [];
  const next = new Map(queue);
  for (const [entryVm, sends] of entries.slice(0, maxCount)) {
    names.push(entryVm);
    if (sends <= 1) {
      next.delete(entryVm);
      continue;
    }
    next.set(entryVm, sends - 1);
  }
  return {queue: next, names};
}
