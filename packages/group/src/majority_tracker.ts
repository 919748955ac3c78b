import type {Clock, Timer} from '@filbertrun/base/clock.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {MajorityUnconfirmed} from './group_error.js';
import type {GroupRules} from './group_rules.js';

interface Waiter {
  readonly position: LogPosition;
  readonly timer: Timer;
  readonly settle: (result: Result<void, MajorityUnconfirmed>) => void;
}

/**
 * Tracks the position that a majority of the group holds, and the
 * acknowledgements that wait for it. When a new term starts, waiters of older
 * terms fail with `majorityUnconfirmed`.
 *
 * @internal
 */
export class MajorityTracker {
  private readonly waiters = new Set<Waiter>();
  private latest: LogPosition | null = null;
  private term = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly rules: GroupRules,
  ) {}

  static create(clock: Clock, rules: GroupRules): MajorityTracker {
    return new MajorityTracker(clock, rules);
  }

  /** Resolves once a majority holds `position`; fails at `deadlineMs`. */
  waitFor(
    position: LogPosition,
    deadlineMs: number,
  ): Promise<Result<void, MajorityUnconfirmed>> {
    if (!this.rules.mustWaitForMajority() || this.isConfirmed(position)) {
      return Promise.resolve(success(undefined));
    }
    if (position.term < this.term) {
      return Promise.resolve(createUnconfirmed('termChanged'));
    }
    return new Promise(resolve => {
      const waiter: Waiter = {
        position,
        timer: this.clock.startTimer(deadlineMs - this.clock.nowMs(), () =>
          waiter.settle(createUnconfirmed('deadline')),
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

  /** Handles a majority position that the primary reported. */
  handleMajority(position: LogPosition): void {
    this.latest = position;
    for (const waiter of [...this.waiters]) {
      if (this.rules.isHeldByMajority(position, waiter.position)) {
        waiter.settle(success(undefined));
      }
    }
  }

  /** Fails the waiters of older terms. */
  handleTerm(term: number): void {
    if (term <= this.term) {
      return;
    }
    this.term = term;
    for (const waiter of [...this.waiters]) {
      if (waiter.position.term < term) {
        waiter.settle(createUnconfirmed('termChanged'));
      }
    }
  }

  dispose(): void {
    for (const waiter of [...this.waiters]) {
      waiter.settle(createUnconfirmed('disposed'));
    }
  }

  private isConfirmed(position: LogPosition): boolean {
    return (
      this.latest !== null && this.rules.isHeldByMajority(this.latest, position)
    );
  }
}

function createUnconfirmed(
  reason: MajorityUnconfirmed['reason'],
): Result<void, MajorityUnconfirmed> {
  return failure({kind: 'majorityUnconfirmed', reason});
}
