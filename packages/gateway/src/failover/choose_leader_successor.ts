import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {EntryVmRecord} from '../control/control_record.js';

/** Proxies per availability zone that are offered leadership concurrently. */
const MAX_OFFERS_PER_ZONE = 2;

/**
 * Returns the proxies to which a failover leader that has lost the store offers
 * leadership: some in each availability zone, since it does not know which of
 * them reach the store.
 *
 * @public
 */
export function chooseTakeoverCandidates(
  otherEntryVms: readonly EntryVmRecord[],
): readonly EntryVmRecord[] {
  const counts = new Map<AvailabilityZone, number>();
  const candidates: EntryVmRecord[] = [];
  for (const record of otherEntryVms) {
    const count = counts.get(record.availabilityZone) ?? 0;
    if (count < MAX_OFFERS_PER_ZONE) {
      counts.set(record.availabilityZone, count + 1);
      candidates.push(record);
    }
  }
  return candidates;
}

/** Inputs of the choice of a successor. @public */
export interface LeaderSuccessorInputs {
  readonly localZone: AvailabilityZone;
  /** Availability zone of the primary of each database group. */
  readonly primaryZones: readonly AvailabilityZone[];
  readonly otherEntryVms: readonly EntryVmRecord[];
}

/**
 * Returns the proxies to which failover leadership should be transferred, best
 * first; none if no zone has fewer primaries than the local one. An isolated
 * zone loses its primaries and its proxies together, so the leader belongs in
 * the zone with the fewest primaries: it then survives the loss of any other
 * zone.
 *
 * @public
 */
export function chooseLeaderSuccessors(
  inputs: LeaderSuccessorInputs,
): readonly EntryVmRecord[] {
  const {localZone, primaryZones, otherEntryVms} = inputs;
  const countPrimaries = (zone: AvailabilityZone) =>
    primaryZones.filter(primaryZone => primaryZone === zone).length;
  const localCount = countPrimaries(localZone);
  return otherEntryVms
    .map(record => ({
      record,
      count: countPrimaries(record.availabilityZone),
    }))
    .filter(({count}) => count < localCount)
    .sort(
      (left, right) =>
        left.count - right.count ||
        left.record.entryVm.localeCompare(right.record.entryVm),
    )
    .map(({record}) => record);
}
