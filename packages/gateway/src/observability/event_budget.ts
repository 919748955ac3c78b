import type {Clock} from '@filbertrun/base/clock.js';
import type {EventClass} from './gateway_event.js';

/** Lines a second and lines at once that a class of events may take. */
interface ClassBudget {
  readonly linesPerSecond: number;
  readonly burstLines: number;
}

const BUDGETS: Readonly<Record<EventClass, ClassBudget>> = {
  belief: {linesPerSecond: 50, burstLines: 400},
  failure: {linesPerSecond: 40, burstLines: 150},
  success: {linesPerSecond: 2, burstLines: 10},
};

const MS_PER_SECOND = 1_000;

/** Bounds the log lines of each class by a token bucket. @public */
export class EventBudget {
  private readonly tokens: Record<EventClass, number> = {
    belief: BUDGETS.belief.burstLines,
    failure: BUDGETS.failure.burstLines,
    success: BUDGETS.success.burstLines,
  };
  private refilledAtMs: number;

  private constructor(private readonly clock: Clock) {
    this.refilledAtMs = clock.nowMs();
  }

  static create(clock: Clock): EventBudget {
    return new EventBudget(clock);
  }

  /** Takes a line of the class; false when the budget is used up. */
  tryTake(eventClass: EventClass): boolean {
    this.refill();
    if (this.tokens[eventClass] < 1) {
      return false;
    }
    this.tokens[eventClass]--;
    return true;
  }

  private refill(): void {
    const nowMs = this.clock.nowMs();
    const elapsedS = (nowMs - this.refilledAtMs) / MS_PER_SECOND;
    this.refilledAtMs = nowMs;
    for (const eventClass of ['belief', 'failure', 'success'] as const) {
      const {linesPerSecond, burstLines} = BUDGETS[eventClass];
      this.tokens[eventClass] = Math.min(
        burstLines,
        this.tokens[eventClass] + elapsedS * linesPerSecond,
      );
    }
  }
}
