import type {VirtualClock} from '@filbertrun/base/virtual_clock.js';

/** Microtask turns that let a chain of promises come to rest. */
const MICROTASK_TURNS = 40;

/** Longest step of virtual time between two rests. */
const STEP_MS = 5;

/** Lets promises that are ready run. @internal */
export async function settlePromises(): Promise<void> {
  for (let turn = 0; turn < MICROTASK_TURNS; turn++) {
    await Promise.resolve();
  }
}

/** Moves virtual time forward and lets promises run in between. @internal */
export async function advanceClock(
  clock: VirtualClock,
  durationMs: number,
): Promise<void> {
  await settlePromises();
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
    clock.advance(Math.min(STEP_MS, durationMs - elapsedMs));
    await settlePromises();
  }
}
