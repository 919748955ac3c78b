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

/** Inputs of the search for lease holders. @public */
export interface LeaseHolderInputs {
  /** Listing of the control table that was read just now. */
  readonly listing: TableListing;
  /** Local time after the listing was read. */
  readonly nowMs: number;
  /** Proxies that were registered before the store was restored. */
  readonly previouslyRegistered: readonly EntryVmRecord[];
}

/** The proxies that may hold a lease. @public */
export interface LeaseHolders {
  readonly known: readonly LeaseHolder[];
  /**
   * Time on the local clock at which the leases of proxies that a restored
   * store no longer lists have expired; null if there can be none.
   */
  readonly unlistedUntilMs: number | null;
}

/**
 * Finds the proxies that may rely on primary records they have read, with the
 * expiry of their leases on the local clock. For one lease duration after the
 * store was restored from a backup, this includes proxies whose registration or
 * latest renewal the restored store has lost.
 *
 * @public
 */
export function findLeaseHolders(inputs: LeaseHolderInputs): LeaseHolders {
  const {listing, nowMs, previouslyRegistered} = inputs;
  const unlistedRemainingMs = findUnlistedRemainingMs(listing);
  const unlistedEndMs =
    unlistedRemainingMs === null
      ? Number.NEGATIVE_INFINITY
      : nowMs + unlistedRemainingMs;
  const known: LeaseHolder[] = [];
  const listed = new Set<string>();
  for (const record of listRecords(listing)) {
    listed.add(record.incarnation);
    // The store's clock was read before `nowMs`, so this is not too early.
    const endMs = nowMs + (record.leaseEndStoreMs - listing.storeTimeMs);
    known.push(createHolder(record, Math.max(endMs, unlistedEndMs), inputs));
  }
  if (unlistedRemainingMs === null) {
    return {known, unlistedUntilMs: null};
  }
  for (const record of previouslyRegistered) {
    if (!listed.has(record.incarnation)) {
      known.push(createHolder(record, unlistedEndMs, inputs));
    }
  }
  return {known, unlistedUntilMs: unlistedEndMs};
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
  {listing, nowMs}: LeaseHolderInputs,
): LeaseHolder {
  const leaseEndStoreMs = listing.storeTimeMs + (leaseEndMs - nowMs);
  return {record: {...record, leaseEndStoreMs}, leaseEndMs};
}

/** Time for which unlisted leases may still be valid; null if none can be. */
function findUnlistedRemainingMs(listing: TableListing): number | null {
  const remainingMs = LEASE_DURATION_MS - getEraAgeMs(listing);
  return remainingMs > 0 ? remainingMs : null;
}
