import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {ClockWatch} from '../group/clock_watch.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {FAILOVER_DUTY_KEY} from './control_record.js';
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
  let watch: ClockWatch;
  let table: FakeControlTable;
  let followers: Map<string, string>;
  let isFollowing: boolean;

  beforeEach(() => {
    clock = VirtualClock.create();
    watch = ClockWatch.create(clock, FakeWallClock.create(clock));
    table = FakeControlTable.create(clock);
    followers = new Map();
    isFollowing = false;
  });

  function create(self = identify('entry-1')): EntryVmRegistration {
    return EntryVmRegistration.create({
      self,
      table,
      clockWatch: watch,
      contactWindowMs: 2_500,
      getFollowers: () => followers,
      isFollowing: () => isFollowing,
    });
  }

  async function readLease(registration: EntryVmRegistration): Promise<number> {
    const readAt = watch.read();
    const listing = await table.listEntries();
    if (!listing.ok) {
      throw new Error('The fake table does not answer.');
    }
    registration.observe(listing.value, readAt);
    return registration.getLeaseDurationMs(listing.value);
  }

  it('gives no lease before its record stands', async () => {
    const registration = create();
    expect(await readLease(registration)).toBe(0);
  });

  it('gives a lease up to the end that its record states', async () => {
    const registration = create();
    await readLease(registration);
    expect(await registration.maintain()).toBe(true);
    const leaseMs = await readLease(registration);
    expect(leaseMs).toBeGreaterThan(5_000);
    clock.advance(1_000);
    expect(await readLease(registration)).toBe(leaseMs - 1_000);
  });

  /** Claims the duty in the era of the store, as its holder does. */
  function claimDuty(): void {
    table.seed(FAILOVER_DUTY_KEY, {
      holder: 'entry-9',
      incarnation: 'one',
      fencingToken: getNextToken(table.era, null),
      renewalCount: 1,
      eraSinceStoreMs: clock.nowMs(),
    });
  }

  it('store restored: a process that started since gives no lease until records are written again', async () => {
    table.restore(clock.nowMs());
    const registration = create();
    await readLease(registration);
    await registration.maintain();
    expect(await readLease(registration)).toBe(0);
    claimDuty();
    clock.advance(1_400);
    expect(await readLease(registration)).toBe(0);
    clock.advance(200);
    expect(await readLease(registration)).toBeGreaterThan(0);
  });

  it('store restored: a process that was there before goes on, and registers anew', async () => {
    const registration = create();
    await readLease(registration);
    await registration.maintain();
    expect(await readLease(registration)).toBeGreaterThan(0);
    // The copy is from before the registration.
    table.restore(clock.nowMs() - 1);
    expect(await readLease(registration)).toBe(0);
    expect(await registration.maintain()).toBe(true);
    expect(await readLease(registration)).toBeGreaterThan(0);
  });

  it('store restored: whoever was registered before is remembered', async () => {
    const other = create(identify('entry-2', 'two'));
    await readLease(other);
    await other.maintain();
    const registration = create();
    await readLease(registration);
    table.restore(clock.nowMs() - 1);
    await readLease(registration);
    expect(registration.getOtherEntryVms()).toEqual([]);
    expect(
      registration.getRemembered().map(({incarnation}) => incarnation),
    ).toEqual(['two']);
  });

  it('gives no lease on the record of an earlier process', async () => {
    const before = create();
    await readLease(before);
    await before.maintain();
    const after = create(identify('entry-1', 'two'));
    expect(await readLease(after)).toBe(0);
    await after.maintain();
    expect(await readLease(after)).toBeGreaterThan(0);
    expect(await readLease(before)).toBe(0);
  });

  it('tells an earlier process that ended without a word from one that left', async () => {
    const before = create();
    await readLease(before);
    await before.maintain();
    const after = create(identify('entry-1', 'two'));
    await readLease(after);
    expect(after.hasPredecessor).toBe(true);
    expect(before.hasPredecessor).toBe(false);

    await after.maintain();
    await after.leave();
    const third = create(identify('entry-1', 'three'));
    await readLease(third);
    expect(third.hasPredecessor).toBe(false);
  });

  it('gives no lease when its record was removed', async () => {
    const registration = create();
    await readLease(registration);
    await registration.maintain();
    table.entries.clear();
    expect(await readLease(registration)).toBe(0);
  });

  it('asks the store seldom while it fails', async () => {
    const registration = create();
    await readLease(registration);
    table.writeMode = 'unavailable';
    for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += 100) {
      await registration.maintain();
      clock.advance(100);
    }
    expect(table.writeCount).toBeLessThanOrEqual(5);
  });

  it('removes the record of an entry VM that is long gone', async () => {
    const gone = create(identify('entry-2'));
    await readLease(gone);
    await gone.maintain();
    const registration = create();
    clock.advance(60_000);
    await readLease(registration);
    await registration.removeGone();
    await readLease(registration);
    expect(registration.getEntryVm('entry-2')).toBeNull();
  });

  it('extends the leases of its followers with its own, in one write', async () => {
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

  it('extends no lease of another process of a follower', async () => {
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

  it('leaves a follower out that has removed its record, and extends the others', async () => {
    const follower = create(identify('entry-2'));
    await readLease(follower);
    await follower.maintain();
    const reader = create();
    await readLease(reader);
    await reader.maintain();
    followers.set('entry-2', 'one');
    clock.advance(5_000);
    await readLease(reader);
    await follower.leave();
    expect(await reader.maintain()).toBe(false);
    expect(await reader.maintain()).toBe(true);
    await readLease(reader);
    expect(reader.getEntryVm('entry-2')).toBeNull();
  });

  it('waits longer for its reader than for itself before it renews', async () => {
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

  it('relies on no later end of its lease than a listing shows', async () => {
    const registration = create();
    await readLease(registration);
    await registration.maintain();
    const readAt = watch.read();
    const before = await table.listEntries();
    clock.advance(5_000);
    await registration.maintain();
    if (!before.ok) {
      throw new Error('The fake table does not answer.');
    }
    registration.observe(before.value, readAt);
    expect(registration.getLeaseDurationMs(before.value)).toBe(12_000);
    // The own renewal is not forgotten over the older listing.
    expect(await registration.maintain()).toBe(false);
  });
});
