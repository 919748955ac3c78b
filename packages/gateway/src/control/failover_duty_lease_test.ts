import {SeededRandom} from '@filbertrun/base/random_source.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {ClockWatch} from '../group/clock_watch.js';
import {RecordedEvents} from '../observability/gateway_events.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {FAILOVER_DUTY_KEY} from './control_record.js';
import {
  DUTY_HOLD_MS,
  DUTY_TAKEOVER_MS,
  FailoverDutyLease,
} from './failover_duty_lease.js';

/** Longest jitter before a takeover, with room for a step. */
const TAKEOVER_ROOM_MS = 600;

describe('FailoverDutyLease', () => {
  let clock: VirtualClock;
  let wallClock: FakeWallClock;
  let table: FakeControlTable;
  let mayTakeOver: boolean;

  beforeEach(() => {
    clock = VirtualClock.create();
    wallClock = FakeWallClock.create(clock);
    table = FakeControlTable.create(clock);
    mayTakeOver = true;
  });

  function create(entryVm: string, incarnation = 'one'): FailoverDutyLease {
    return FailoverDutyLease.create({
      entryVm,
      incarnation,
      table,
      clockWatch: ClockWatch.create(clock, wallClock),
      random: SeededRandom.create(1),
      events: RecordedEvents.create(),
      mayTakeOver: () => mayTakeOver,
    });
  }

  function observe(duty: FailoverDutyLease): void {
    const readAt = ClockWatch.create(clock, wallClock).read();
    duty.observe(table.entries.get(FAILOVER_DUTY_KEY) ?? null, {
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

  it('ends for a holder that can not renew before another may take over', async () => {
    const first = create('entry-1');
    await first.maintain();
    table.writeMode = 'unavailable';
    clock.advance(DUTY_HOLD_MS);
    expect(first.getFencingToken()).toBeNull();
    expect(DUTY_HOLD_MS).toBeLessThan(DUTY_TAKEOVER_MS);
  });

  it('is taken over with a higher token once its record stands still', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    await first.maintain();
    observe(second);
    clock.advance(DUTY_TAKEOVER_MS - 1);
    await second.maintain();
    expect(second.getFencingToken()).toBeNull();
    clock.advance(TAKEOVER_ROOM_MS);
    observe(second);
    await second.maintain();
    expect(second.getFencingToken()).toBe(2);
    observe(first);
    expect(first.getFencingToken()).toBeNull();
  });

  it('is not written by others while listings, however rare, show renewals', async () => {
    const first = create('entry-1');
    const others = ['entry-2', 'entry-3', 'entry-4'].map(name => create(name));
    await first.maintain();
    const listingIntervalMs = 3_000;
    for (let elapsedMs = 0; elapsedMs < 30_000; elapsedMs += 100) {
      const writesBefore = table.writeCount;
      await first.maintain();
      const ownWrites = table.writeCount - writesBefore;
      for (const other of others) {
        if (elapsedMs % listingIntervalMs === 0) {
          observe(other);
        }
        await other.maintain();
      }
      expect(table.writeCount - writesBefore).toBe(ownWrites);
      clock.advance(100);
    }
  });

  it('is taken over by the listing after the one that first showed a dead holder', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    await first.maintain();
    observe(second);
    clock.advance(DUTY_TAKEOVER_MS + TAKEOVER_ROOM_MS);
    await second.maintain();
    expect(second.getFencingToken()).toBeNull();
    observe(second);
    await second.maintain();
    expect(second.getFencingToken()).toBe(2);
  });

  it('is not taken over while its holder renews', async () => {
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

  it('is taken back at once by a restarted process of its holder, with a new token', async () => {
    await create('entry-1').maintain();
    const restarted = create('entry-1', 'two');
    observe(restarted);
    await restarted.maintain();
    expect(restarted.getFencingToken()).toBe(2);
  });

  it('is taken at once after its holder resigned or handed it over', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    const third = create('entry-3');
    await first.maintain();
    observe(second);
    const token = first.stopActing('test');
    second.receive(token ?? 0);
    await second.maintain();
    expect(second.getFencingToken()).toBe(2);
    await second.resign();
    observe(third);
    await third.maintain();
    expect(third.getFencingToken()).toBe(3);
  });

  it('is not acted on by a holder that was suspended', async () => {
    const first = create('entry-1');
    await first.maintain();
    wallClock.step(10_000);
    expect(first.getFencingToken()).toBeNull();
  });

  it('does not act on a write whose answer was lost', async () => {
    table.writeMode = 'doneWithoutAnswer';
    const first = create('entry-1');
    await first.maintain();
    expect(first.getFencingToken()).toBeNull();
  });

  it('is left alone for a while by the proxy that passed it on', async () => {
    const first = create('entry-1');
    await first.maintain();
    expect(first.passOn('elsewhere is better')).toBe(1);
    await first.maintain();
    expect(first.getFencingToken()).toBeNull();
    clock.advance(3_000);
    observe(first);
    await first.maintain();
    expect(first.getFencingToken()).toBe(2);
  });

  it('is taken at once by the proxy that it was passed to, also after a renewal', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    await first.maintain();
    observe(second);
    clock.advance(800);
    await first.maintain();
    second.receive(first.passOn('elsewhere is better') ?? 0);
    await second.maintain();
    await second.maintain();
    expect(second.getFencingToken()).toBe(2);
  });

  it('is taken over by none that leaves that to another proxy, unless it was passed to it', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    mayTakeOver = false;
    await second.maintain();
    expect(second.getFencingToken()).toBeNull();
    mayTakeOver = true;
    await first.maintain();
    mayTakeOver = false;
    observe(second);
    second.receive(first.passOn('elsewhere is better') ?? 0);
    await second.maintain();
    expect(second.getFencingToken()).toBe(2);
  });

  it('does not count an old listing as a sign that its holder stands still', async () => {
    const first = create('entry-1');
    const second = create('entry-2');
    await first.maintain();
    observe(second);
    const readAt = ClockWatch.create(clock, wallClock).read();
    clock.advance(DUTY_TAKEOVER_MS + TAKEOVER_ROOM_MS);
    second.observe(table.entries.get(FAILOVER_DUTY_KEY) ?? null, {
      readAt,
      era: 0,
      storeTimeMs: clock.nowMs(),
    });
    await second.maintain();
    expect(second.getFencingToken()).toBeNull();
  });
});
