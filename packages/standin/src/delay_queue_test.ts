import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {describe, expect, it} from 'vitest';
import {DelayQueue} from './delay_queue.js';

describe('DelayQueue', () => {
  it('keeps the order when a later action has a shorter delay', () => {
    const clock = VirtualClock.create();
    const queue = DelayQueue.create(clock);
    const ran: string[] = [];
    queue.add(10, () => ran.push('first'));
    queue.add(0, () => ran.push('second'));
    expect(ran).toEqual([]);
    clock.advance(10);
    expect(ran).toEqual(['first', 'second']);
  });

  it('runs an action without delay immediately when the queue is empty', () => {
    const queue = DelayQueue.create(VirtualClock.create());
    let hasRun = false;
    queue.add(0, () => (hasRun = true));
    expect(hasRun).toBe(true);
  });
});
