import {setTimeout as sleep} from 'node:timers/promises';
import type {RandomSource} from '@filbertrun/base/random_source.js';

/**
 * Open-loop load: requests arrive at random times with a given average rate,
 * regardless of whether earlier ones have completed. Latency is measured from
 * the arrival.
 */

/** Options of `runOpenLoop`. @public */
export interface OpenLoopOptions {
  readonly ratePerSecond: number;
  readonly durationMs: number;
  readonly random: RandomSource;
  /**
   * Handles a request that arrived at `arrivedAtMs`. Called without waiting for
   * earlier requests.
   */
  readonly handleArrival: (arrivedAtMs: number) => Promise<void>;
}

const MS_PER_SECOND = 1000;
const MAX_ARRIVALS_PER_TURN = 200;
const DRAIN_TIMEOUT_MS = 12_000;

/**
 * Runs a load, waits for the responses and returns the number of requests.
 *
 * @public
 */
export async function runOpenLoop(options: OpenLoopOptions): Promise<number> {
  const startMs = performance.now();
  const endMs = startMs + options.durationMs;
  const pending = new Set<Promise<void>>();
  let arrivalMs = startMs;
  let count = 0;
  while (arrivalMs < endMs) {
    const nowMs = performance.now();
    for (let turn = 0; turn < MAX_ARRIVALS_PER_TURN; turn++) {
      if (arrivalMs > nowMs || arrivalMs >= endMs) {
        break;
      }
      count++;
      const request = options.handleArrival(arrivalMs).finally(() => {
        pending.delete(request);
      });
      pending.add(request);
      arrivalMs += drawIntervalMs(options);
    }
    await sleep(Math.max(0, Math.min(arrivalMs - performance.now(), 1)));
  }
  await Promise.race([
    Promise.all(pending),
    sleep(DRAIN_TIMEOUT_MS, undefined, {ref: false}),
  ]);
  return count;
}

/** Draws the next interarrival time of a Poisson process. */
function drawIntervalMs(options: OpenLoopOptions): number {
  const uniform = 1 - options.random.nextFloat();
  return (-Math.log(uniform) * MS_PER_SECOND) / options.ratePerSecond;
}
