import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {FailureRate} from './failure_rate.js';

describe('FailureRate', () => {
  let clock: VirtualClock;
  let share: FailureRate;

  beforeEach(() => {
    clock = VirtualClock.create();
    share = FailureRate.create(clock);
  });

  function record(failures: number, successes: number): void {
    for (let index = 0; index < failures; index++) {
      share.record(true);
    }
    for (let index = 0; index < successes; index++) {
      share.record(false);
    }
  }

  it('reports a server as failing when most of its statements fail', () => {
    record(3, 1);
    expect(share.isFailing()).toBe(true);
  });

  it('does not report a server as failing for a rare failure', () => {
    record(1, 20);
    expect(share.isFailing()).toBe(false);
  });

  it('stops reporting a server as failing a few seconds after its last failure', () => {
    record(10, 0);
    clock.advance(2_000);
    expect(share.isFailing()).toBe(true);
    clock.advance(2_500);
    expect(share.isFailing()).toBe(false);
  });
});
