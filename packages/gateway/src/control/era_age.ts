import type {TableListing} from '@filbertrun/platform/platform_service.js';
import {getEra} from '@filbertrun/platform/store_revision.js';
import {
  FAILOVER_LEADER_KEY,
  failoverLeaderSchema,
  parseRecord,
} from './control_record.js';
import {getTokenEra} from './fencing_token.js';

/**
 * Returns the age of the current store era, which begins with a restore of the
 * store from a backup. The time of the restore is not known, so the age is
 * counted on the store's clock from when failover leadership was first acquired
 * in the era: 0 if it has not been acquired yet, infinite if the store was never
 * restored.
 *
 * @public
 */
export function getEraAgeMs(listing: TableListing): number {
  const era = getEra(listing.revision);
  if (era === 0) {
    return Number.POSITIVE_INFINITY;
  }
  const entry = listing.entries.get(FAILOVER_LEADER_KEY);
  const record =
    entry === undefined ? null : parseRecord(failoverLeaderSchema, entry.value);
  if (record === null || getTokenEra(record.fencingToken) < era) {
    return 0;
  }
  return listing.storeTimeMs - record.eraSinceStoreMs;
}
