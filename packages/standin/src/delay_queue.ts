import type {Clock, Timer} from '@filbertrun/base/clock.js';

interface DelayedAction {
  readonly dueMs: number;
  readonly run: () => void;
}

/**
 * Runs actions after a delay in the order in which they were added, even if a
 * later action has a shorter delay.
 *
 * @internal
 */
export class DelayQueue {
  private readonly actions: DelayedAction[] = [];
  private timer: Timer | null = null;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): DelayQueue {
    return new DelayQueue(clock);
  }

  /**
   * Adds an action. It runs immediately if it has no delay and the queue is
   * empty.
   */
  add(delayMs: number, run: () => void): void {
    if (delayMs <= 0 && this.actions.length === 0) {
      run();
      return;
    }
    this.actions.push({dueMs: this.clock.nowMs() + delayMs, run});
    this.startTimer();
  }

  dispose(): void {
    this.timer?.cancel();
    this.timer = null;
    this.actions.length = 0;
  }

  private startTimer(): void {
    const [first] = this.actions;
    if (first === undefined || this.timer !== null) {
      return;
    }
    const delayMs = Math.max(0, first.dueMs - this.clock.nowMs());
    this.timer = this.clock.startTimer(delayMs, () => {
      this.timer = null;
      this.runDue();
    });
  }

  private runDue(): void {
    const nowMs = this.clock.nowMs();
    while (this.actions[0] !== undefined && this.actions[0].dueMs <= nowMs) {
      this.actions.shift()?.run();
    }
    this.startTimer();
  }
}
