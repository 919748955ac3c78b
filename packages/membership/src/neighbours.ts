import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import type {ProxyLocation} from './group_assignment.js';
import {computeHash, computeScore} from './rendezvous.js';

/**
 * Selects the proxies that exchange heartbeats. A few proxies form a full mesh.
 * More proxies form rings: each ring orders them by a different hash, and a
 * proxy sends to the next one on each ring. Every proxy then sends to and hears
 * from a small number of others, and a membership change affects only the
 * adjacent proxies on each ring.
 *
 * @public
 */

/** Maximum number of other proxies in a full mesh. */
export const MAX_FULL_MESH_OTHERS = 6;

/** Number of rings of all proxies. */
const GLOBAL_RINGS = 4;

/**
 * Rings within each availability zone, which keep an isolated zone connected.
 */
const ZONE_RINGS = 2;

/** The proxies to which `self` sends heartbeats. @public */
export function selectNeighbours(
  self: ProxyLocation,
  others: readonly ProxyLocation[],
): readonly EntryVmId[] {
  if (others.length <= MAX_FULL_MESH_OTHERS) {
    return others.map(member => member.entryVm);
  }
  const chosen = new Set<EntryVmId>();
  const sameZone = others.filter(
    member => member.availabilityZone === self.availabilityZone,
  );
  for (let ring = 0; ring < ZONE_RINGS; ring++) {
    addNextOnRing(chosen, `zone/${ring}`, self, sameZone);
  }
  for (let ring = 0; ring < GLOBAL_RINGS; ring++) {
    addNextOnRing(chosen, `all/${ring}`, self, others);
  }
  return [...chosen];
}

/** The proxies among `members` that send heartbeats to `subject`. @public */
export function selectHeartbeatSenders(
  subject: ProxyLocation,
  members: readonly ProxyLocation[],
): readonly EntryVmId[] {
  const others = members.filter(member => member.entryVm !== subject.entryVm);
  if (others.length <= MAX_FULL_MESH_OTHERS) {
    return others.map(member => member.entryVm);
  }
  const chosen = new Set<EntryVmId>();
  const sameZone = others.filter(
    member => member.availabilityZone === subject.availabilityZone,
  );
  for (let ring = 0; ring < ZONE_RINGS; ring++) {
    addPreviousOnRing(chosen, `zone/${ring}`, subject, sameZone);
  }
  for (let ring = 0; ring < GLOBAL_RINGS; ring++) {
    addPreviousOnRing(chosen, `all/${ring}`, subject, others);
  }
  return [...chosen];
}

function addNextOnRing(
  chosen: Set<EntryVmId>,
  ring: string,
  self: ProxyLocation,
  others: readonly ProxyLocation[],
): void {
  addNearest(chosen, ring, self, others, distance => distance);
}

function addPreviousOnRing(
  chosen: Set<EntryVmId>,
  ring: string,
  self: ProxyLocation,
  others: readonly ProxyLocation[],
): void {
  addNearest(chosen, ring, self, others, distance => RING_SIZE - distance);
}

const RING_SIZE = 2 ** 32;

function addNearest(
  chosen: Set<EntryVmId>,
  ring: string,
  self: ProxyLocation,
  others: readonly ProxyLocation[],
  measure: (distance: number) => number,
): void {
  const ringHash = computeHash(ring);
  const start = computeScore(ringHash, computeHash(self.entryVm));
  let nearest: EntryVmId | null = null;
  let nearestDistance = Infinity;
  for (const {entryVm} of others) {
    const position = computeScore(ringHash, computeHash(entryVm));
    const distance = measure((position - start + RING_SIZE) % RING_SIZE);
    if (distance < nearestDistance) {
      nearest = entryVm;
      nearestDistance = distance;
    }
  }
  if (nearest !== null) {
    chosen.add(nearest);
  }
}
