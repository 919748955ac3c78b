import type {EntryVmRecord} from '../control/control_record.js';

/** The registration of an entry VM, with values that suit most tests. @internal */
export function createEntryVmRecord(
  entryVm: string,
  availabilityZone = 'zone-a',
  changes: Partial<EntryVmRecord> = {},
): EntryVmRecord {
  return {
    entryVm,
    availabilityZone,
    peerHost: '127.0.0.1',
    peerPort: 1,
    incarnation: 'one',
    leaseEndStoreMs: 0,
    contactWindowMs: null,
    ...changes,
  };
}
