import type {TableListing} from '@filbertrun/platform/platform_service.js';
import {
  ENTRY_VM_PREFIX,
  entryVmRecordSchema,
  parseRecord,
} from '../control/control_record.js';
import type {LeaseHolder} from './release_collector.js';

/**
 * The proxies that a listing of the control table names, with the ends of their
 * leases converted from the store's clock to the own one. `nowMs` is the own
 * time after the listing was read.
 *
 * @public
 */
export function findLeaseHolders(
  listing: TableListing,
  nowMs: number,
): readonly LeaseHolder[] {
  const holders: LeaseHolder[] = [];
  for (const [key, entry] of listing.entries) {
    const record = key.startsWith(ENTRY_VM_PREFIX)
      ? parseRecord(entryVmRecordSchema, entry.value)
      : null;
    if (record !== null) {
      // The store's clock was read before now, so this end is not too early.
      const leaseEndMs = nowMs + (record.leaseEndStoreMs - listing.storeTimeMs);
      holders.push({record, leaseEndMs});
    }
  }
  return holders;
}
