import type {Clock, Timer} from '@filbertrun/base/clock.js';

/**
 * The clock of a process that can be paused, for tests: while it is, time
 * goes on, and what falls due runs when the process wakes.
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

  /** Runs what fell due during the pause, in its order. */
  resume(): void {
    this.isPaused = false;
    for (const callback of this.deferredCallbacks.splice(0)) {
      callback();
    }
  }
}
