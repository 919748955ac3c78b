import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {RoundTripTracker} from './round_trip_tracker.js';

describe('RoundTripTracker', () => {
  let clock: VirtualClock;
  let tracker: RoundTripTracker;

  beforeEach(() => {
    clock = VirtualClock.create();
    tracker = RoundTripTracker.create(clock);
  });

  it('is unknown before the first sample', () => {
    expect(tracker.value).toBeNull();
  });

  // Guards against a server that counts as distant because the event loop was
  // busy during one connect.
  it('is the minimum of the recent samples', () => {
    for (const roundTripMs of [1.8, 45, 2.1]) {
      tracker.record(roundTripMs);
    }
    expect(tracker.value).toBe(1.8);
  });

  it('forgets a minimum that is no longer recent', () => {
    tracker.record(1);
    clock.advance(50_000);
    tracker.record(30);
    clock.advance(20_000);
    expect(tracker.value).toBe(30);
    clock.advance(100_000);
    expect(tracker.value).toBe(30);
  });

  // Guards against the former, shorter path as the minimum after a return.
  it('measures again after a restart and keeps the estimate until then', () => {
    tracker.record(1);
    tracker.restart();
    expect(tracker.value).toBe(1);
    tracker.record(60);
    expect(tracker.value).toBe(60);
  });

  it('ignores values that are no times', () => {
    tracker.record(Number.NaN);
    tracker.record(-1);
    expect(tracker.value).toBeNull();
  });
});
