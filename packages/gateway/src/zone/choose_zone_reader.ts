import type {EntryVmRecord} from '../control/control_record.js';

/** What decides who reads the store for an availability zone. @public */
export interface ZoneReaderInputs {
  readonly entryVm: string;
  readonly availabilityZone: string;
  /** Registered proxies, this one included. */
  readonly entryVms: readonly EntryVmRecord[];
  /** Whether a proxy is passed over for now. */
  isPassedOver(record: EntryVmRecord): boolean;
}

/**
 * The proxy that this one should get its news from, or null when it has to read
 * the store itself. All proxies of a zone prefer the same one; where they
 * disagree, more of them read the store, which costs calls and nothing else.
 *
 * @public
 */
export function chooseZoneReader(
  inputs: ZoneReaderInputs,
): EntryVmRecord | null {
  let best: EntryVmRecord | null = null;
  for (const record of inputs.entryVms) {
    if (record.availabilityZone !== inputs.availabilityZone) {
      continue;
    }
    if (inputs.isPassedOver(record)) {
      continue;
    }
    if (best === null || record.entryVm < best.entryVm) {
      best = record;
    }
  }
  return best === null || best.entryVm === inputs.entryVm ? null : best;
}
