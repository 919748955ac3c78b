import {describe, expect, it} from 'vitest';
import {VirtualClock} from './virtual_clock.js';

describe('VirtualClock', () => {
  it('fires timers in order of their due time', () => {
    const clock = VirtualClock.create();
    const fired: string[] = [];
    clock.startTimer(20, () => fired.push('late'));
    clock.startTimer(10, () => fired.push('early'));
    clock.advance(30);
    expect(fired).toEqual(['early', 'late']);
  });

  it('fires timers with the same due time in the order of their start', () => {
    const clock = VirtualClock.create();
    const fired: string[] = [];
    clock.startTimer(10, () => fired.push('first'));
    clock.startTimer(10, () => fired.push('second'));
    clock.advance(10);
    expect(fired).toEqual(['first', 'second']);
  });

  it('does not fire a cancelled timer', () => {
    const clock = VirtualClock.create();
    const fired: string[] = [];
    clock.startTimer(10, () => fired.push('cancelled')).cancel();
    clock.advance(10);
    expect(fired).toEqual([]);
  });

  it('fires a timer that another timer starts within the same advance', () => {
    const clock = VirtualClock.create();
    const firedAtMs: number[] = [];
    clock.startTimer(10, () => {
      clock.startTimer(5, () => firedAtMs.push(clock.nowMs()));
    });
    clock.advance(20);
    expect(firedAtMs).toEqual([15]);
  });

  it('returns the delay to the next timer', () => {
    const clock = VirtualClock.create();
    expect(clock.getDelayToNextTimerMs()).toBeNull();
    clock.startTimer(7, () => {});
    clock.advance(3);
    expect(clock.getDelayToNextTimerMs()).toBe(4);
  });
});
