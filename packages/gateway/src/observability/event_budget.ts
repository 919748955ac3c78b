import type {Clock} from '@filbertrun/base/clock.js';
import type {EventClass} from './gateway_event.js';

/** Rate limit of the log lines of an event class. */
interface ClassBudget {
  readonly linesPerSecond: number;
  readonly burstLines: number;
}

/**
 * Budgets by event class. A `belief` event is a change of the process's view of
 * the cluster, see `EventClass`.
 */
const BUDGETS: Readonly<Record<EventClass, ClassBudget>> = {
  belief: {linesPerSecond: 50, burstLines: 400},
  failure: {linesPerSecond: 40, burstLines: 150},
  write: {linesPerSecond: 20, burstLines: 100},
  success: {linesPerSecond: 2, burstLines: 10},
};

const MS_PER_SECOND = 1_000;

/** Limits the log lines of each event class with a token bucket. @public */
export class EventBudget {
  private readonly tokens: Record<EventClass, number> = {
    belief: BUDGETS.belief.burstLines,
    failure: BUDGETS.failure.burstLines,
    write: BUDGETS.write.burstLines,
    success: BUDGETS.success.burstLines,
  };
  private refilledAtMs: number;

  private constructor(private readonly clock: Clock) {
    this.refilledAtMs = clock.nowMs();
  }

  static create(clock: Clock): EventBudget {
    return new EventBudget(clock);
  }

  /** Consumes one line of the budget; false if none is left. */
  tryConsume(eventClass: EventClass): boolean {
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
    for (const eventClass of [
      'belief',
      'failure',
      'write',
      'success',
    ] as const) {
      const {linesPerSecond, burstLines} = BUDGETS[eventClass];
      this.tokens[eventClass] = Math.min(
        burstLines,
        this.tokens[eventClass] + elapsedS * linesPerSecond,
      );
    }
  }
}
