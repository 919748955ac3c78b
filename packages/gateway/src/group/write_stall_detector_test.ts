import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {WriteStallDetector} from './write_stall_detector.js';

describe('WriteStallDetector', () => {
  let clock: VirtualClock;
  let writes: WriteStallDetector;

  beforeEach(() => {
    clock = VirtualClock.create();
    writes = WriteStallDetector.create(clock);
    clock.advance(10_000);
  });

  it('admits writes while later writes are acknowledged', () => {
    const slow = writes.begin();
    clock.advance(400);
    writes.end(writes.begin(), true);
    clock.advance(400);
    expect(writes.shouldRefuse()).toBe(false);
    writes.end(slow, true);
  });

  it('refuses writes during a stall except for periodic probes', () => {
    writes.begin();
    clock.advance(500);
    const refused: boolean[] = [];
    for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += 100) {
      refused.push(writes.shouldRefuse());
      clock.advance(100);
    }
    expect(refused.filter(isRefused => !isRefused)).toHaveLength(2);
  });

  it('reports a stall only after a longer time than it refuses writes', () => {
    writes.begin();
    clock.advance(500);
    expect(writes.isStalled).toBe(false);
    clock.advance(300);
    expect(writes.isStalled).toBe(true);
  });

  it('keeps the stall when the stalled writes time out', () => {
    const first = writes.begin();
    clock.advance(1_000);
    writes.end(first, false);
    expect(writes.isStalled).toBe(true);
    const passed: boolean[] = [];
    for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += 100) {
      passed.push(!writes.shouldRefuse());
      clock.advance(100);
    }
    expect(passed.filter(isPassed => isPassed)).toHaveLength(4);
    writes.end(writes.begin(), true);
    expect(writes.shouldRefuse()).toBe(false);
  });

  it('does not treat a quick rejection as a stall', () => {
    writes.end(writes.begin(), false);
    clock.advance(2_000);
    expect(writes.isStalled).toBe(false);
  });

  it('clears the stall when another instance becomes primary', () => {
    writes.begin();
    clock.advance(2_000);
    writes.reset();
    expect(writes.shouldRefuse()).toBe(false);
    expect(writes.isStalled).toBe(false);
  });
});
