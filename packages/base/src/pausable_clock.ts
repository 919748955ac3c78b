import type {Clock, Timer} from './clock.js';

/**
 * Clock of a test process that can be paused. Time continues during a pause,
 * and timers that expire meanwhile run when the process resumes.
 *
 * @internal
 */
export class PausableClock implements Clock {
  private isPaused = false;
  private readonly deferredCallbacks: (() => void)[] = [];

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PausableClock {
    return new PausableClock(clock);
  }

  nowMs(): number {
    return this.clock.nowMs();
  }

  startTimer(delayMs: number, callback: () => void): Timer {
    let isCancelled = false;
    const run = () => {
      if (!isCancelled) {
        callback();
      }
    };
    const timer = this.clock.startTimer(delayMs, () => {
      if (this.isPaused) {
        this.deferredCallbacks.push(run);
        return;
      }
      run();
    });
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }

  pause(): void {
    this.isPaused = true;
  }

  /** Runs the timers that expired during the pause, in order of expiry. */
  resume(): void {
    this.isPaused = false;
    for (const callback of this.deferredCallbacks.splice(0)) {
      callback();
    }
  }
}
