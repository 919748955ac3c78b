import {SeededRandom} from '@filbertrun/base/random_source.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {FAILOVER_LEADER_KEY} from './control_record.js';
import {
  LEADERSHIP_LEASE_MS,
  LEADERSHIP_TAKEOVER_MS,
  FailoverLeaderLease,
} from './failover_leader_lease.js';

/** Longer than the maximum jitter of a takeover. */
const TAKEOVER_MARGIN_MS = 600;

describe('FailoverLeaderLease', () => {
  let clock: VirtualClock;
  let wallClock: FakeWallClock;
  let table: FakeControlTable;
  let mayAcquire: boolean;

  beforeEach(() => {
    clock = VirtualClock.create();
    wallClock = FakeWallClock.create(clock);
    table = FakeControlTable.create(clock);
    mayAcquire = true;
  });

  function create(entryVm: string, incarnation = 'one'): FailoverLeaderLease {
    return FailoverLeaderLease.create({
      entryVm,
      incarnation,
      table,
      clockJumpDetector: ClockJumpDetector.create(clock, wallClock),
      random: SeededRandom.create(1),
      events: InMemoryEventRecorder.create(),
      mayAcquire: () => mayAcquire,
    });
  }

  function observe(lease: FailoverLeaderLease): void {
    const readAt = ClockJumpDetector.create(clock, wallClock).read();
    lease.applyListedRecord(table.entries.get(FAILOVER_LEADER_KEY) ?? null, {
      readAt,
      era: 0,
      storeTimeMs: clock.nowMs(),
    });
  }

  it('is held by one proxy', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    await first.maintain();
    await second.maintain();
    expect(first.getFencingToken()).toBe(1);
    expect(second.getFencingToken()).toBeNull();
    expect(second.holder).toBe('entry-1');
  });

  it('ends for a leader that cannot renew before another proxy may take over', async () => {
    const first = create('entry-1');
    await first.maintain();
    table.writeMode = 'unavailable';
    clock.advance(LEADERSHIP_LEASE_MS);
    expect(first.getFencingToken()).toBeNull();
    expect(LEADERSHIP_LEASE_MS).toBeLessThan(LEADERSHIP_TAKEOVER_MS);
  });

  it('is acquired with a higher token once its record is no longer renewed', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    await first.maintain();
    observe(second);
    clock.advance(LEADERSHIP_TAKEOVER_MS - 1);
    await second.maintain();
    expect(second.getFencingToken()).toBeNull();
    clock.advance(TAKEOVER_MARGIN_MS);
    observe(second);
    await second.maintain();
    expect(second.getFencingToken()).toBe(2);
    observe(first);
    expect(first.getFencingToken()).toBeNull();
  });

  it('is not written by other proxies while listings, even infrequent ones, show renewals', async () => {
    const first = create('entry-1');
    const others = ['entry-2', 'entry-3', 'entry-4'].map(name => create(name));
    await first.maintain();
    const listingIntervalMs = 3_000;
    for (let elapsedMs = 0; elapsedMs < 30_000; elapsedMs += 100) {
      const writesBefore = table.writeCount;
      await first.maintain();
      const leaderWrites = table.writeCount - writesBefore;
      for (const other of others) {
        if (elapsedMs % listingIntervalMs === 0) {
          observe(other);
        }
        await other.maintain();
      }
      expect(table.writeCount - writesBefore).toBe(leaderWrites);
      clock.advance(100);
    }
  });

  it('is acquired after a second listing shows the unchanged record of a dead leader', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    await first.maintain();
    observe(second);
    clock.advance(LEADERSHIP_TAKEOVER_MS + TAKEOVER_MARGIN_MS);
    await second.maintain();
    expect(second.getFencingToken()).toBeNull();
    observe(second);
    await second.maintain();
    expect(second.getFencingToken()).toBe(2);
  });

  it('is not acquired by another proxy while the leader renews', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 100) {
      await first.maintain();
      observe(second);
      await second.maintain();
      clock.advance(100);
    }
    expect(first.getFencingToken()).toBe(1);
  });

  it('is acquired immediately, with a new token, by a restarted process of the leader', async () => {
    await create('entry-1').maintain();
    const restarted = create('entry-1', 'two');
    observe(restarted);
    await restarted.maintain();
    expect(restarted.getFencingToken()).toBe(2);
  });

  it('is acquired immediately after the leader released or transferred it', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    const third = create('entry-3');
    await first.maintain();
    observe(second);
    const token = first.stopActing('test');
    second.acceptTransfer(token ?? 0);
    await second.maintain();
    expect(second.getFencingToken()).toBe(2);
    await second.stepDown();
    observe(third);
    await third.maintain();
    expect(third.getFencingToken()).toBe(3);
  });

  it('is not acted on by a leader that was suspended', async () => {
    const first = create('entry-1');
    await first.maintain();
    wallClock.step(10_000);
    expect(first.getFencingToken()).toBeNull();
  });

  it('is not held after a write whose response was lost', async () => {
    table.writeMode = 'doneWithoutAnswer';
    const first = create('entry-1');
    await first.maintain();
    expect(first.getFencingToken()).toBeNull();
  });

  it('is not acquired for a while by the proxy that transferred it', async () => {
    const first = create('entry-1');
    await first.maintain();
    expect(first.beginTransfer('another zone has fewer primaries')).toBe(1);
    await first.maintain();
    expect(first.getFencingToken()).toBeNull();
    clock.advance(3_000);
    observe(first);
    await first.maintain();
    expect(first.getFencingToken()).toBe(2);
  });

  it('is acquired immediately by the successor, also if it missed a renewal', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    await first.maintain();
    observe(second);
    clock.advance(800);
    await first.maintain();
    second.acceptTransfer(
      first.beginTransfer('another zone has fewer primaries') ?? 0,
    );
    await second.maintain();
    await second.maintain();
    expect(second.getFencingToken()).toBe(2);
  });

  it('is acquired by a proxy that may not acquire it otherwise only if it was transferred to it', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    mayAcquire = false;
    await second.maintain();
    expect(second.getFencingToken()).toBeNull();
    mayAcquire = true;
    await first.maintain();
    mayAcquire = false;
    observe(second);
    second.acceptTransfer(
      first.beginTransfer('another zone has fewer primaries') ?? 0,
    );
    await second.maintain();
    expect(second.getFencingToken()).toBe(2);
  });

  it('is not acquired because of an old listing that shows the unchanged record', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    await first.maintain();
    observe(second);
    const readAt = ClockJumpDetector.create(clock, wallClock).read();
    clock.advance(LEADERSHIP_TAKEOVER_MS + TAKEOVER_MARGIN_MS);
    second.applyListedRecord(table.entries.get(FAILOVER_LEADER_KEY) ?? null, {
      readAt,
      era: 0,
      storeTimeMs: clock.nowMs(),
    });
    await second.maintain();
    expect(second.getFencingToken()).toBeNull();
  });
});
