import type {EntryVmRecord} from '../control/control_record.js';

/** Creates the registration of an entry VM with default values. @internal */
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
    registeredSinceStoreMs: null,
    ...changes,
  };
}
