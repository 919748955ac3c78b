import type {EntryVmRecord} from '../control/control_record.js';

/** Inputs of the choice of a zone reader. @public */
export interface ZoneReaderInputs {
  readonly entryVm: string;
  readonly availabilityZone: string;
  /** Registrations of all proxies, one per entry VM, including this one. */
  readonly entryVms: readonly EntryVmRecord[];
  /** Whether a proxy is currently excluded after a failure. */
  isBackedOff(record: EntryVmRecord): boolean;
}

/**
 * Returns the proxy that this one should get updates of the store from, or null
 * if it has to read the store itself. All proxies of a zone prefer the one with
 * the lowest entry VM name that is not backed off. If they disagree, several of
 * them read the store, which only costs additional calls.
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
    if (inputs.isBackedOff(record)) {
      continue;
    }
    if (best === null || record.entryVm < best.entryVm) {
      best = record;
    }
  }
  return best === null || best.entryVm === inputs.entryVm ? null : best;
}
