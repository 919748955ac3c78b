import type {Clock} from './clock.js';

/** Resolves after `delayMs` milliseconds of `clock`. @public */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise(resolve => {
    clock.startTimer(delayMs, resolve);
  });
}
