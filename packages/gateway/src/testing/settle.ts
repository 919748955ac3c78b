import type {VirtualClock} from '@filbertrun/base/virtual_clock.js';

/** Microtask turns to await so that chains of promises settle. */
const MICROTASK_TURNS = 40;

/** Maximum step of virtual time before pending promises run. */
const STEP_MS = 5;

/** Runs the continuations of resolved promises. @internal */
export async function settlePromises(): Promise<void> {
  for (let turn = 0; turn < MICROTASK_TURNS; turn++) {
    await Promise.resolve();
  }
}

/** Advances virtual time in steps and runs promises in between. @internal */
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
