import type {Clock} from '@filbertrun/base/clock.js';

/** Limits of a retry budget. @public */
export interface RetryBudgetLimits {
  /** Retries added to the budget per request. */
  readonly retryRatio: number;
  /** Retries added per second, independent of the number of requests. */
  readonly minRetriesPerSecond: number;
  /** Largest number of retries that can accumulate. */
  readonly maxTokens: number;
}

/**
 * Default limits: retries add at most a tenth to the load, apart from the
 * minimum rate.
 *
 * @public
 */
export const DEFAULT_RETRY_BUDGET_LIMITS: RetryBudgetLimits = {
  retryRatio: 0.1,
  minRetriesPerSecond: 2,
  maxTokens: 20,
};

const MS_PER_SECOND = 1000;

/**
 * Token bucket that limits retries to a fraction of the requests, so that
 * retries cannot multiply the load during a failure.
 *
 * @public
 */
export class RetryBudget {
  private tokens: number;
  private refilledAtMs: number;

  private constructor(
    private readonly clock: Clock,
    private readonly limits: RetryBudgetLimits,
  ) {
    this.tokens = limits.maxTokens;
    this.refilledAtMs = clock.nowMs();
  }

  static create(
    clock: Clock,
    limits: RetryBudgetLimits = DEFAULT_RETRY_BUDGET_LIMITS,
  ): RetryBudget {
    return new RetryBudget(clock, limits);
  }

  /** Records a request that is not a retry. */
  recordRequest(): void {
    this.addTokens(this.limits.retryRatio);
  }

  /** Takes one retry from the budget. Returns false if none is left. */
  tryTakeRetry(): boolean {
    const nowMs = this.clock.nowMs();
    const elapsedMs = nowMs - this.refilledAtMs;
    this.refilledAtMs = nowMs;
    this.addTokens(
      (elapsedMs / MS_PER_SECOND) * this.limits.minRetriesPerSecond,
    );
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private addTokens(count: number): void {
    this.tokens = Math.min(this.limits.maxTokens, this.tokens + count);
  }
}
