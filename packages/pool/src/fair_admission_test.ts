import {describe, expect, it} from 'vitest';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {PoolLoad} from './expected_wait.js';
import {
  chooseRetryAfterMs,
  isExpectedInTime,
  ReviewSchedule,
  reviewQueue,
} from './fair_admission.js';
import {FairQueue} from './fair_queue.js';
import type {QueuedEntry} from './request_queue.js';

const LOAD: PoolLoad = {
  slots: 2,
  reservedSlots: 0,
  activeLeases: 2,
  nextReleaseMs: 20,
  meanWorkMs: 20,
  maxConnections: 20,
  suspendedLeases: 0,
  holdMs: 200,
  handshakeMs: 12,
  ownHandshakeMs: 12,
  connectIntervalMs: 10,
  connectDelayMs: 0,
  connectedIdentities: new Set(['a', 'b']),
};

function createEntry(changes: Partial<QueuedEntry> = {}): QueuedEntry {
  return {
    priority: 'normal',
    identity: 'a',
    deadlineMs: 100,
    workMs: 20,
    isReplaceable: false,
    ...changes,
  };
}

describe('reviewQueue', () => {
  it('finds entries that become late behind more urgent ones', () => {
    const queue = FairQueue.create<QueuedEntry>();
    const lookup = createEntry({priority: 'lookup'});
    queue.add(lookup);
    expect(reviewQueue(queue, LOAD, 0)).toEqual({late: [], minSlackMs: 90});
    for (let index = 0; index < 10; index++) {
      queue.add(createEntry({priority: 'booking', deadlineMs: 1000}));
    }
    const {late} = reviewQueue(queue, LOAD, 0);
    expect(late).toEqual([{entry: lookup, waitMs: 110}]);
  });

  it('does not count late entries for those behind them', () => {
    const queue = FairQueue.create<QueuedEntry>();
    const late = createEntry({deadlineMs: 5, workMs: 500});
    const inTime = createEntry();
    queue.add(late);
    queue.add(inTime);
    const review = reviewQueue(queue, LOAD, 0);
    expect(review.late.map(({entry}) => entry)).toEqual([late]);
    expect(review.minSlackMs).toBe(90);
  });

  it('finds entries that become late because slots are lost', () => {
    const queue = FairQueue.create<QueuedEntry>();
    for (let index = 0; index < 8; index++) {
      queue.add(createEntry());
    }
    expect(reviewQueue(queue, LOAD, 0).late).toHaveLength(0);
    const fewerSlots = {...LOAD, slots: 1};
    expect(reviewQueue(queue, fewerSlots, 0).late).toHaveLength(3);
  });
});

describe('isExpectedInTime', () => {
  it('rejects a request that would be sent at or after its deadline', () => {
    expect(isExpectedInTime(99, 100)).toBe(true);
    expect(isExpectedInTime(100, 100)).toBe(false);
    expect(isExpectedInTime(0, 0)).toBe(false);
  });
});

describe('chooseRetryAfterMs', () => {
  it('spreads the retries of requests rejected at the same time', () => {
    const random = SeededRandom.create(3);
    const delays = Array.from({length: 200}, () =>
      chooseRetryAfterMs(100, random),
    );
    expect(Math.min(...delays)).toBeGreaterThanOrEqual(50);
    expect(Math.max(...delays)).toBeLessThan(150);
    for (let from = 50; from < 150; from += 10) {
      const inRange = delays.filter(
        delay => delay >= from && delay < from + 10,
      );
      expect(inRange.length).toBeLessThan(40);
    }
  });

  it('bounds the delay of a request that has no slot to wait for', () => {
    const random = SeededRandom.create(3);
    expect(chooseRetryAfterMs(Infinity, random)).toBeLessThan(2000);
    expect(chooseRetryAfterMs(0, random)).toBeGreaterThan(0);
  });
});

describe('ReviewSchedule', () => {
  function create(): {
    clock: VirtualClock;
    schedule: ReviewSchedule;
    times: number[];
  } {
    const clock = VirtualClock.create();
    const times: number[] = [];
    const schedule = ReviewSchedule.create(clock, () => {
      times.push(clock.nowMs());
    });
    return {clock, schedule, times};
  }

  it('reviews when the least slack is used up', () => {
    const {clock, schedule, times} = create();
    schedule.plan(15, 2);
    clock.advance(50);
    expect(times).toEqual([15]);
  });

  it('is due at once when slots are lost', () => {
    const {schedule} = create();
    schedule.plan(15, 2);
    expect(schedule.isDue(2)).toBe(false);
    expect(schedule.isDue(1)).toBe(true);
  });

  it('is due once new work ahead has used up the slack', () => {
    const {schedule} = create();
    schedule.plan(15, 2);
    schedule.addEntry(createEntry({deadlineMs: 1000}), 0, 2);
    expect(schedule.isDue(2)).toBe(false);
    schedule.addEntry(createEntry({deadlineMs: 1000}), 0, 2);
    expect(schedule.isDue(2)).toBe(true);
  });

  it('does not run while the queue is empty', () => {
    const {clock, schedule, times} = create();
    schedule.plan(Infinity, 2);
    clock.advance(1000);
    expect(times).toEqual([]);
    expect(clock.getDelayToNextTimerMs()).toBeNull();
  });
});
