import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {EntryVmRecord} from '../control/control_record.js';

/** Proxies of one availability zone that are asked to take the duty at once. */
const MAX_HEIRS_PER_ZONE = 2;

/**
 * Proxies that a holder which has lost the store offers the duty: some of each
 * availability zone, since it does not know who reaches the store.
 *
 * @public
 */
export function chooseDutyHeirs(
  otherEntryVms: readonly EntryVmRecord[],
): readonly EntryVmRecord[] {
  const counts = new Map<AvailabilityZone, number>();
  const heirs: EntryVmRecord[] = [];
  for (const record of otherEntryVms) {
    const count = counts.get(record.availabilityZone) ?? 0;
    if (count < MAX_HEIRS_PER_ZONE) {
      counts.set(record.availabilityZone, count + 1);
      heirs.push(record);
    }
  }
  return heirs;
}

/** What decides where the failover duty is best held. @public */
export interface DutySuccessorInputs {
  readonly ownZone: AvailabilityZone;
  /** Availability zone of the primary of each database group. */
  readonly primaryZones: readonly AvailabilityZone[];
  readonly otherEntryVms: readonly EntryVmRecord[];
}

/**
 * Proxies to which the failover duty is better passed on, best first; none
 * while the holder's own zone is as good as any. A zone that is cut off takes
 * its primaries and its proxies with it, so the duty belongs where the fewest
 * primaries are: the loss of any other zone then leaves its holder at work.
 *
 * @public
 */
export function chooseDutySuccessors(
  inputs: DutySuccessorInputs,
): readonly EntryVmRecord[] {
  const {ownZone, primaryZones, otherEntryVms} = inputs;
  const countPrimaries = (zone: AvailabilityZone) =>
    primaryZones.filter(primaryZone => primaryZone === zone).length;
  const ownCount = countPrimaries(ownZone);
  return otherEntryVms
    .map(record => ({
      record,
      count: countPrimaries(record.availabilityZone),
    }))
    .filter(({count}) => count < ownCount)
    .sort(
      (left, right) =>
        left.count - right.count ||
        left.record.entryVm.localeCompare(right.record.entryVm),
    )
    .map(({record}) => record);
}
