import type {TableListing} from '@filbertrun/platform/platform_service.js';
import {createRevision} from '@filbertrun/platform/store_revision.js';
import {describe, expect, it} from 'vitest';
import {FAILOVER_LEADER_KEY} from '../control/control_record.js';
import {LEASE_DURATION_MS} from '../control/entry_vm_registration.js';
import {getNextToken} from '../control/fencing_token.js';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import {findLeaseHolders} from './find_lease_holders.js';

const NOW_MS = 500_000;
const STORE_TIME_MS = 9_000_000;

/** A listing with one proxy whose lease expires in 3 s. */
function createListing(
  era: number,
  leadership: {readonly era: number; readonly sinceMs: number} | null,
): TableListing {
  const revision = createRevision({era, change: 50}) ?? -1;
  const record = {
    ...createEntryVmRecord('entry-1'),
    leaseEndStoreMs: STORE_TIME_MS + 3_000,
  };
  const entries = new Map([
    ['entryVm/entry-1', {value: JSON.stringify(record), revision}],
  ]);
  if (leadership !== null) {
    const value = JSON.stringify({
      holder: 'entry-1',
      incarnation: 'one',
      fencingToken: getNextToken(leadership.era, null),
      renewalCount: 1,
      eraSinceStoreMs: leadership.sinceMs,
    });
    entries.set(FAILOVER_LEADER_KEY, {value, revision});
  }
  return {entries, revision, storeTimeMs: STORE_TIME_MS};
}

describe('findLeaseHolders', () => {
  it('uses the listed expiry of each lease', () => {
    const holders = findLeaseHolders({
      listing: createListing(0, null),
      nowMs: NOW_MS,
      previouslyRegistered: [],
    });
    expect(holders.unlistedUntilMs).toBeNull();
    expect(holders.known.map(({leaseEndMs}) => leaseEndMs)).toEqual([
      NOW_MS + 3_000,
    ]);
  });

  it('store restored: waits for leases that the restored store may have lost', () => {
    const holders = findLeaseHolders({
      listing: createListing(1, {era: 1, sinceMs: STORE_TIME_MS - 2_000}),
      nowMs: NOW_MS,
      previouslyRegistered: [],
    });
    const endMs = NOW_MS + LEASE_DURATION_MS - 2_000;
    expect(holders.unlistedUntilMs).toBe(endMs);
    expect(holders.known[0]?.leaseEndMs).toBe(endMs);
  });

  it('store restored: counts the full lease duration from now until the failover leadership is acquired in the new era', () => {
    for (const leadership of [null, {era: 0, sinceMs: 0}]) {
      const holders = findLeaseHolders({
        listing: createListing(1, leadership),
        nowMs: NOW_MS,
        previouslyRegistered: [],
      });
      expect(holders.unlistedUntilMs).toBe(NOW_MS + LEASE_DURATION_MS);
    }
  });

  it('store restored: includes proxies that were known before and are no longer listed', () => {
    const unlisted = {
      ...createEntryVmRecord('entry-2'),
      incarnation: 'two',
    };
    const holders = findLeaseHolders({
      listing: createListing(1, {era: 1, sinceMs: STORE_TIME_MS}),
      nowMs: NOW_MS,
      previouslyRegistered: [createEntryVmRecord('entry-1'), unlisted],
    });
    expect(holders.known.map(({record}) => record.entryVm)).toEqual([
      'entry-1',
      'entry-2',
    ]);
  });

  it('store restored: stops waiting once every lease from before the restore has expired', () => {
    const sinceMs = STORE_TIME_MS - LEASE_DURATION_MS;
    const holders = findLeaseHolders({
      listing: createListing(1, {era: 1, sinceMs}),
      nowMs: NOW_MS,
      previouslyRegistered: [],
    });
    expect(holders.unlistedUntilMs).toBeNull();
  });
});
