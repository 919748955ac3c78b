import {SeededRandom} from '@filbertrun/base/random_source.js';
import {describe, expect, it} from 'vitest';
import {chooseQueueWaitMs} from './choose_queue_wait.js';

/** Load of a primary with two slots that receives all reads of its group. */
const SLOTS = 2;
const MEAN_WORK_MS = 14;
const ARRIVALS_PER_S = 165;
const TARGET_MS = 200;
const TIMEOUT_MS = 800;
const DURATION_MS = 20_000;

/** Simulates the load and counts the statements answered within the target. */
function countInTime(getMaxWaitMs: () => number): number {
  const random = SeededRandom.create(7);
  const freeAtMs = new Array<number>(SLOTS).fill(0);
  let inTime = 0;
  let arrivalMs = 0;
  while (arrivalMs < DURATION_MS) {
    arrivalMs += -Math.log(1 - random.nextFloat()) * (1_000 / ARRIVALS_PER_S);
    const workMs = -Math.log(1 - random.nextFloat()) * MEAN_WORK_MS;
    const slot = freeAtMs.indexOf(Math.min(...freeAtMs));
    const startMs = Math.max(arrivalMs, freeAtMs[slot] ?? 0);
    if (startMs - arrivalMs > getMaxWaitMs()) {
      continue;
    }
    freeAtMs[slot] = startMs + workMs;
    if (startMs + workMs - arrivalMs <= TARGET_MS) {
      inTime++;
    }
  }
  return inTime;
}

describe('chooseQueueWaitMs', () => {
  it('allows a fraction of the objective, but no more than the time left', () => {
    expect(chooseQueueWaitMs({targetLatencyMs: 200, availableMs: 800})).toBe(
      120,
    );
    expect(chooseQueueWaitMs({targetLatencyMs: 200, availableMs: 30})).toBe(30);
    expect(chooseQueueWaitMs({targetLatencyMs: 200, availableMs: -5})).toBe(0);
  });

  it('answers more statements within the target under overload than waiting up to the timeout', () => {
    const bounded = countInTime(() =>
      chooseQueueWaitMs({targetLatencyMs: TARGET_MS, availableMs: TIMEOUT_MS}),
    );
    const unbounded = countInTime(() => TIMEOUT_MS / 2);
    expect(bounded).toBeGreaterThan(unbounded * 1.5);
  });
});
