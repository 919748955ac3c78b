import {SeededRandom} from '@filbertrun/base/random_source.js';
import {describe, expect, it} from 'vitest';
import {chooseQueueWaitMs} from './choose_queue_wait.js';

/** A primary with two slots that gets the reads of its whole group. */
const SLOTS = 2;
const MEAN_WORK_MS = 14;
const ARRIVALS_PER_S = 165;
const TARGET_MS = 200;
const TIMEOUT_MS = 800;
const DURATION_MS = 20_000;

/** Replays the load and counts the statements that are answered in time. */
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
  it('allows a part of the objective, and never more than is left', () => {
    expect(chooseQueueWaitMs({targetLatencyMs: 200, availableMs: 800})).toBe(
      120,
    );
    expect(chooseQueueWaitMs({targetLatencyMs: 200, availableMs: 30})).toBe(30);
    expect(chooseQueueWaitMs({targetLatencyMs: 200, availableMs: -5})).toBe(0);
  });

  it('answers more in time under overload than waiting up to the timeout', () => {
    const bounded = countInTime(() =>
      chooseQueueWaitMs({targetLatencyMs: TARGET_MS, availableMs: TIMEOUT_MS}),
    );
    const unbounded = countInTime(() => TIMEOUT_MS / 2);
    expect(bounded).toBeGreaterThan(unbounded * 1.5);
  });
});
