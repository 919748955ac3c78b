import type {TableListing} from '@filbertrun/platform/platform_service.js';
import {
  ENTRY_VM_PREFIX,
  entryVmRecordSchema,
  parseRecord,
  type EntryVmRecord,
} from '../control/control_record.js';
import {getEraAgeMs} from '../control/era_age.js';
import {LEASE_DURATION_MS} from '../control/entry_vm_registration.js';
import type {LeaseHolder} from './release_collector.js';

/** What the holders of leases are found from. @public */
export interface LeaseHolderSources {
  /** The control table as it was just read. */
  readonly listing: TableListing;
  /** The own time after the listing was read. */
  readonly nowMs: number;
  /** Proxies that were registered before the store came back from a copy. */
  readonly remembered: readonly EntryVmRecord[];
}

/** The proxies that may hold a lease. @public */
export interface LeaseHolders {
  readonly known: readonly LeaseHolder[];
  /**
   * End of the leases of proxies that the store may have forgotten, on the own
   * clock; null once none can be left.
   */
  readonly forgottenUntilMs: number | null;
}

/**
 * Finds the proxies that may rely on what they have read of primaries, with the
 * ends of their leases on the own clock. After the store came back from a copy,
 * and for as long as a lease lasts, these are also proxies whose registration
 * or whose latest renewal it has lost.
 *
 * @public
 */
export function findLeaseHolders(sources: LeaseHolderSources): LeaseHolders {
  const {listing, nowMs, remembered} = sources;
  const forgottenForMs = findForgottenForMs(listing);
  const earliestEndMs =
    forgottenForMs === null ? Number.NEGATIVE_INFINITY : nowMs + forgottenForMs;
  const known: LeaseHolder[] = [];
  const listed = new Set<string>();
  for (const record of listRecords(listing)) {
    listed.add(record.incarnation);
    // The store's clock was read before now, so this end is not too early.
    const endMs = nowMs + (record.leaseEndStoreMs - listing.storeTimeMs);
    known.push(createHolder(record, Math.max(endMs, earliestEndMs), sources));
  }
  if (forgottenForMs === null) {
    return {known, forgottenUntilMs: null};
  }
  for (const record of remembered) {
    if (!listed.has(record.incarnation)) {
      known.push(createHolder(record, earliestEndMs, sources));
    }
  }
  return {known, forgottenUntilMs: earliestEndMs};
}

function listRecords(listing: TableListing): readonly EntryVmRecord[] {
  const records: EntryVmRecord[] = [];
  for (const [key, entry] of listing.entries) {
    const record = key.startsWith(ENTRY_VM_PREFIX)
      ? parseRecord(entryVmRecordSchema, entry.value)
      : null;
    if (record !== null) {
      records.push(record);
    }
  }
  return records;
}

function createHolder(
  record: EntryVmRecord,
  leaseEndMs: number,
  {listing, nowMs}: LeaseHolderSources,
): LeaseHolder {
  const leaseEndStoreMs = listing.storeTimeMs + (leaseEndMs - nowMs);
  return {record: {...record, leaseEndStoreMs}, leaseEndMs};
}

/** Time for which leases may be left that the store has forgotten; null if none. */
function findForgottenForMs(listing: TableListing): number | null {
  const forMs = LEASE_DURATION_MS - getEraAgeMs(listing);
  return forMs > 0 ? forMs : null;
}
