import type {Clock, Timer} from '@filbertrun/base/clock.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import type {NoPrimary} from './group_error.js';

interface Waiter {
  readonly timer: Timer;
  readonly settle: (result: Result<BackendServer, NoPrimary>) => void;
}

/**
 * Requests that wait for a primary during a change.
 *
 * @internal
 */
export class PrimaryWaiters {
  private readonly waiters = new Set<Waiter>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PrimaryWaiters {
    return new PrimaryWaiters(clock);
  }

  wait(deadlineMs: number): Promise<Result<BackendServer, NoPrimary>> {
    return new Promise(resolve => {
      const waiter: Waiter = {
        timer: this.clock.startTimer(deadlineMs - this.clock.nowMs(), () =>
          waiter.settle(failure({kind: 'noPrimary'})),
        ),
        settle: result => {
          waiter.timer.cancel();
          this.waiters.delete(waiter);
          resolve(result);
        },
      };
      this.waiters.add(waiter);
    });
  }

  resolveAll(primary: BackendServer): void {
    for (const waiter of [...this.waiters]) {
      waiter.settle(success(primary));
    }
  }

  dispose(): void {
    for (const waiter of [...this.waiters]) {
      waiter.settle(failure({kind: 'noPrimary'}));
    }
  }
}
