import {performance} from 'node:perf_hooks';

/**
 * A pending timer.
 *
 * @public
 */
export interface Timer {
  /** Stops the timer. Stopping a timer that has fired does nothing. */
  cancel(): void;
}

/**
 * A source of monotonic time and timers. Decision code never reads the system
 * clock directly, so tests can run it on virtual time.
 *
 * @public
 */
export interface Clock {
  /** Monotonic time in milliseconds from an arbitrary origin. */
  nowMs(): number;
  /** Calls `callback` once, after `delayMs` milliseconds. */
  startTimer(delayMs: number, callback: () => void): Timer;
}

/**
 * A clock that uses the monotonic time and the timers of the process.
 *
 * @public
 */
export class SystemClock implements Clock {
  private constructor() {}

  static create(): SystemClock {
    return new SystemClock();
  }

  nowMs(): number {
    return performance.now();
  }

  startTimer(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delayMs);
    return {
      cancel: () => clearTimeout(handle),
    };
  }
}
