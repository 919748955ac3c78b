import type {Clock, Timer} from '@filbertrun/base/clock.js';

interface DeferredCallback {
  isCancelled: boolean;
  readonly callback: () => void;
}

/**
 * The clock of one party of a simulated cluster. It runs at its own rate and
 * offset, and defers timer callbacks while the party is paused.
 *
 * @public
 */
export class PartyClock implements Clock {
  private isPaused = false;
  private deferred: DeferredCallback[] = [];

  private constructor(
    private readonly base: Clock,
    private readonly rate: number,
    private readonly offsetMs: number,
  ) {}

  static create(base: Clock, rate = 1, offsetMs = 0): PartyClock {
    return new PartyClock(base, rate, offsetMs);
  }

  nowMs(): number {
    return this.base.nowMs() * this.rate + this.offsetMs;
  }

  /** Converts a duration of this clock to one of the base clock. */
  toBaseMs(durationMs: number): number {
    return durationMs / this.rate;
  }

  startTimer(delayMs: number, callback: () => void): Timer {
    const entry: DeferredCallback = {isCancelled: false, callback};
    const timer = this.base.startTimer(this.toBaseMs(delayMs), () =>
      this.fire(entry),
    );
    return {
      cancel: () => {
        entry.isCancelled = true;
        timer.cancel();
      },
    };
  }

  pause(): void {
    this.isPaused = true;
  }

  /** Runs the callbacks that became due during the pause, in order. */
  resume(): void {
    this.isPaused = false;
    while (this.deferred.length > 0 && !this.isPaused) {
      const entries = this.deferred;
      this.deferred = [];
      for (const entry of entries) {
        this.fire(entry);
      }
    }
  }

  private fire(entry: DeferredCallback): void {
    if (entry.isCancelled) {
      return;
    }
    if (this.isPaused) {
      this.deferred.push(entry);
      return;
    }
    entry.callback();
  }
}
