import type {Clock, Timer} from '@filbertrun/base/clock.js';

/**
 * The clock of a simulated process that can be frozen: time goes on, but its
 * timers run only after it has been thawed.
 *
 * @internal
 */
export class FreezableClock implements Clock {
  private isFrozen = false;
  private readonly overdue: (() => void)[] = [];

  private constructor(private readonly inner: Clock) {}

  static create(inner: Clock): FreezableClock {
    return new FreezableClock(inner);
  }

  nowMs(): number {
    return this.inner.nowMs();
  }

  startTimer(delayMs: number, run: () => void): Timer {
    let isCancelled = false;
    const runUnlessCancelled = () => {
      if (!isCancelled) {
        run();
      }
    };
    const timer = this.inner.startTimer(delayMs, () => {
      if (this.isFrozen) {
        this.overdue.push(runUnlessCancelled);
      } else {
        runUnlessCancelled();
      }
    });
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }

  freeze(): void {
    this.isFrozen = true;
  }

  thaw(): void {
    this.isFrozen = false;
    for (const run of this.overdue.splice(0)) {
      run();
    }
  }
}
