import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {FAILOVER_LEADER_KEY} from './control_record.js';
import {getNextToken} from './fencing_token.js';
import {
  EntryVmRegistration,
  type EntryVmIdentity,
} from './entry_vm_registration.js';

function identify(entryVm: string, incarnation = 'one'): EntryVmIdentity {
  return {
    entryVm,
    incarnation,
    availabilityZone: 'zone-a',
    peerHost: '127.0.0.1',
    peerPort: 1,
  };
}

describe('EntryVmRegistration', () => {
  let clock: VirtualClock;
  let detector: ClockJumpDetector;
  let table: FakeControlTable;
  let followers: Map<string, string>;
  let isFollowing: boolean;

  beforeEach(() => {
    clock = VirtualClock.create();
    detector = ClockJumpDetector.create(clock, FakeWallClock.create(clock));
    table = FakeControlTable.create(clock);
    followers = new Map();
    isFollowing = false;
  });

  function create(self = identify('entry-1')): EntryVmRegistration {
    return EntryVmRegistration.create({
      self,
      table,
      clockJumpDetector: detector,
      isFirstStart: false,
      contactWindowMs: 2_500,
      getFollowers: () => followers,
      isFollowing: () => isFollowing,
    });
  }

  async function readLease(registration: EntryVmRegistration): Promise<number> {
    const readAt = detector.read();
    const listing = await table.listEntries();
    if (!listing.ok) {
      throw new Error('The fake table returned an error.');
    }
    registration.applyListing(listing.value, readAt);
    return registration.getLeaseDurationMs(listing.value);
  }

  it('grants no lease before its record is written', async () => {
    const registration = create();
    expect(await readLease(registration)).toBe(0);
  });

  it('grants a lease until the end stated in its record', async () => {
    const registration = create();
    await readLease(registration);
    expect(await registration.maintain()).toBe(true);
    const leaseMs = await readLease(registration);
    expect(leaseMs).toBeGreaterThan(5_000);
    clock.advance(1_000);
    expect(await readLease(registration)).toBe(leaseMs - 1_000);
  });

  /**
   * Writes the leader record in the current store era, as a new leader does.
   */
  function acquireLeadership(): void {
    table.seed(FAILOVER_LEADER_KEY, {
      holder: 'entry-9',
      incarnation: 'one',
      fencingToken: getNextToken(table.era, null),
      renewalCount: 1,
      eraSinceStoreMs: clock.nowMs(),
    });
  }

  it('store restored: a process started after the restore grants no lease until lost records are rewritten', async () => {
    table.restore(clock.nowMs());
    const registration = create();
    await readLease(registration);
    await registration.maintain();
    expect(await readLease(registration)).toBe(0);
    acquireLeadership();
    clock.advance(1_400);
    expect(await readLease(registration)).toBe(0);
    clock.advance(200);
    expect(await readLease(registration)).toBeGreaterThan(0);
  });

  it('store restored: a process started before the restore registers again and continues', async () => {
    const registration = create();
    await readLease(registration);
    await registration.maintain();
    expect(await readLease(registration)).toBeGreaterThan(0);
    // The backup was taken before the registration.
    table.restore(clock.nowMs() - 1);
    expect(await readLease(registration)).toBe(0);
    expect(await registration.maintain()).toBe(true);
    expect(await readLease(registration)).toBeGreaterThan(0);
  });

  it('store restored: proxies registered before the restore are remembered', async () => {
    const other = create(identify('entry-2', 'two'));
    await readLease(other);
    await other.maintain();
    const registration = create();
    await readLease(registration);
    table.restore(clock.nowMs() - 1);
    await readLease(registration);
    expect(registration.getOtherEntryVms()).toEqual([]);
    expect(
      registration
        .getEntryVmsBeforeRestore()
        .map(({incarnation}) => incarnation),
    ).toEqual(['two']);
  });

  it('grants no lease on the record of a previous process', async () => {
    const before = create();
    await readLease(before);
    await before.maintain();
    const after = create(identify('entry-1', 'two'));
    expect(await readLease(after)).toBe(0);
    await after.maintain();
    expect(await readLease(after)).toBeGreaterThan(0);
    expect(await readLease(before)).toBe(0);
  });

  it('distinguishes a previous process that crashed from one that deregistered', async () => {
    const before = create();
    await readLease(before);
    await before.maintain();
    const after = create(identify('entry-1', 'two'));
    await readLease(after);
    expect(after.hasPredecessor).toBe(true);
    expect(before.hasPredecessor).toBe(false);

    await after.maintain();
    await after.deregister();
    const third = create(identify('entry-1', 'three'));
    await readLease(third);
    expect(third.hasPredecessor).toBe(false);
  });

  it('grants no lease after its record was removed', async () => {
    const registration = create();
    await readLease(registration);
    await registration.maintain();
    table.entries.clear();
    expect(await readLease(registration)).toBe(0);
  });

  it('limits the rate of writes while the store is unavailable', async () => {
    const registration = create();
    await readLease(registration);
    table.writeMode = 'unavailable';
    for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += 100) {
      await registration.maintain();
      clock.advance(100);
    }
    expect(table.writeCount).toBeLessThanOrEqual(5);
  });

  it('removes the record of an entry VM whose lease expired long ago', async () => {
    const expired = create(identify('entry-2'));
    await readLease(expired);
    await expired.maintain();
    const registration = create();
    clock.advance(60_000);
    await readLease(registration);
    await registration.removeExpired();
    await readLease(registration);
    expect(registration.getEntryVm('entry-2')).toBeNull();
  });

  it('renews the leases of its followers and its own in one write', async () => {
    const follower = create(identify('entry-2'));
    await readLease(follower);
    await follower.maintain();
    const reader = create();
    await readLease(reader);
    await reader.maintain();
    followers.set('entry-2', 'one');
    clock.advance(5_000);
    table.writeCount = 0;
    await readLease(reader);
    expect(await reader.maintain()).toBe(true);
    expect(table.writeCount).toBe(1);
    expect(await readLease(follower)).toBe(await readLease(reader));
  });

  it('does not renew the lease of another process of a follower', async () => {
    const follower = create(identify('entry-2', 'two'));
    await readLease(follower);
    await follower.maintain();
    const reader = create();
    await readLease(reader);
    await reader.maintain();
    followers.set('entry-2', 'one');
    clock.advance(5_000);
    await readLease(reader);
    await reader.maintain();
    expect(await readLease(follower)).toBeLessThan(await readLease(reader));
  });

  it('skips a follower that has deregistered and renews the others', async () => {
    const follower = create(identify('entry-2'));
    await readLease(follower);
    await follower.maintain();
    const reader = create();
    await readLease(reader);
    await reader.maintain();
    followers.set('entry-2', 'one');
    clock.advance(5_000);
    await readLease(reader);
    await follower.deregister();
    expect(await reader.maintain()).toBe(false);
    expect(await reader.maintain()).toBe(true);
    await readLease(reader);
    expect(reader.getEntryVm('entry-2')).toBeNull();
  });

  it('waits longer before it renews its lease while a zone reader renews it', async () => {
    const registration = create();
    await readLease(registration);
    await registration.maintain();
    isFollowing = true;
    clock.advance(6_000);
    await readLease(registration);
    expect(await registration.maintain()).toBe(false);
    clock.advance(1_000);
    await readLease(registration);
    expect(await registration.maintain()).toBe(true);
  });

  it('uses no later lease end than the listing shows', async () => {
    const registration = create();
    await readLease(registration);
    await registration.maintain();
    const readAt = detector.read();
    const before = await table.listEntries();
    clock.advance(5_000);
    await registration.maintain();
    if (!before.ok) {
      throw new Error('The fake table returned an error.');
    }
    registration.applyListing(before.value, readAt);
    expect(registration.getLeaseDurationMs(before.value)).toBe(12_000);
    // The older listing does not overwrite the newer record of this proxy.
    expect(await registration.maintain()).toBe(false);
  });
});
