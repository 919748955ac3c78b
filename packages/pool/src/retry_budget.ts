import type {Clock} from '@filbertrun/base/clock.js';

/** Limits of a retry budget. @public */
export interface RetryBudgetLimits {
  /** Retries allowed for each request. */
  readonly retryRatio: number;
  /** Retries allowed regardless of the requests. */
  readonly minRetriesPerSecond: number;
  /** Retries that can be saved up. */
  readonly maxTokens: number;
}

/** Limits that add at most a tenth to the load. @public */
export const DEFAULT_RETRY_BUDGET_LIMITS: RetryBudgetLimits = {
  retryRatio: 0.1,
  minRetriesPerSecond: 2,
  maxTokens: 20,
};

const MS_PER_SECOND = 1000;

/**
 * A token bucket that bounds retries to a share of the requests, so that
 * retries cannot multiply the load of a failure.
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

  /** Records a request that is no retry. */
  recordRequest(): void {
    this.addTokens(this.limits.retryRatio);
  }

  /** Takes one retry from the budget; false when none is left. */
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
