import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {WriteStallDetector} from './write_stall_detector.js';

describe('WriteStallDetector', () => {
  let clock: VirtualClock;
  let detector: WriteStallDetector;

  beforeEach(() => {
    clock = VirtualClock.create();
    detector = WriteStallDetector.create(clock);
    clock.advance(10_000);
  });

  it('admits writes while later writes are acknowledged', () => {
    const slow = detector.begin();
    clock.advance(400);
    detector.end(detector.begin(), true);
    clock.advance(400);
    expect(detector.shouldRefuse()).toBe(false);
    detector.end(slow, true);
  });

  it('refuses writes during a stall except for periodic probes', () => {
    detector.begin();
    clock.advance(500);
    const refused: boolean[] = [];
    for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += 100) {
      refused.push(detector.shouldRefuse());
      clock.advance(100);
    }
    expect(refused.filter(isRefused => !isRefused)).toHaveLength(2);
  });

  it('reports a stall only after a longer time than it refuses writes', () => {
    detector.begin();
    clock.advance(500);
    expect(detector.isStalled).toBe(false);
    clock.advance(300);
    expect(detector.isStalled).toBe(true);
  });

  it('keeps the stall when the stalled writes time out', () => {
    const first = detector.begin();
    clock.advance(1_000);
    detector.end(first, false);
    expect(detector.isStalled).toBe(true);
    const admitted: boolean[] = [];
    for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += 100) {
      admitted.push(!detector.shouldRefuse());
      clock.advance(100);
    }
    expect(admitted.filter(isAdmitted => isAdmitted)).toHaveLength(4);
    detector.end(detector.begin(), true);
    expect(detector.shouldRefuse()).toBe(false);
  });

  it('does not treat a quick rejection as a stall', () => {
    detector.end(detector.begin(), false);
    clock.advance(2_000);
    expect(detector.isStalled).toBe(false);
  });

  it('clears the stall when another instance becomes primary', () => {
    detector.begin();
    clock.advance(2_000);
    detector.reset();
    expect(detector.shouldRefuse()).toBe(false);
    expect(detector.isStalled).toBe(false);
  });
});
