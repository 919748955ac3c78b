import type {TableListing} from '@filbertrun/platform/platform_service.js';
import {parseRecord} from '../control/control_record.js';
import type {GroupRuntime} from './group_runtime.js';
import type {LeaseGrant} from './primary_lease.js';
import {
  getPrimaryRecordKey,
  PRIMARY_RECORD_PREFIX,
  primaryRecordSchema,
} from './primary_record.js';

/**
 * Applies the primary records in a listing of the control table to their groups
 * and notifies the groups that have no record.
 *
 * @public
 */
export function applyRecords(
  listing: TableListing,
  grant: LeaseGrant,
  groups: ReadonlyMap<string, GroupRuntime>,
): void {
  for (const [key, {value, revision}] of listing.entries) {
    const record = key.startsWith(PRIMARY_RECORD_PREFIX)
      ? parseRecord(primaryRecordSchema, value)
      : null;
    if (record !== null) {
      groups
        .get(record.databaseGroup)
        ?.applyRecord({record, revision}, grant, 'control table');
    }
  }
  for (const [databaseGroup, group] of groups) {
    if (!listing.entries.has(getPrimaryRecordKey(databaseGroup))) {
      group.handleMissingRecord(listing.revision);
    }
  }
}
