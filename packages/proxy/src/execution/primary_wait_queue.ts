import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {StatementContext} from './statement_context.js';

/** Retry hint for a caller that was refused while no primary is known. */
const RETRY_AFTER_MS = 500;

/** Limits of the wait queue. @public */
export interface PrimaryWaitLimits {
  /** Maximum number of statements that wait at the same time. */
  readonly maxWaiting: number;
  /** Capacity of the retry budget: retries in a row without a refill. */
  readonly retryBurst: number;
  /** Retries that are added to the budget whenever a primary is known. */
  readonly retryRatio: number;
}

/**
 * Queues a limited number of statements while no primary is known, and limits
 * retries with a token budget so that they do not multiply the load of a
 * failing group.
 *
 * @public
 */
export class PrimaryWaitQueue {
  private waiting = 0;
  private retryTokens: number;

  private constructor(private readonly limits: PrimaryWaitLimits) {
    this.retryTokens = limits.retryBurst;
  }

  static create(limits: PrimaryWaitLimits): PrimaryWaitQueue {
    return new PrimaryWaitQueue(limits);
  }

  /** Number of statements that wait. */
  get length(): number {
    return this.waiting;
  }

  /** Takes one retry from the budget. Returns false if it is exhausted. */
  tryTakeRetry(): boolean {
    if (this.retryTokens < 1) {
      return false;
    }
    this.retryTokens--;
    return true;
  }

  /** Returns the primary; waits for one until the deadline of the statement. */
  async getPrimary(
    context: StatementContext,
  ): Promise<Result<BackendServerId, CallerError>> {
    const {state} = context.group;
    const known = state.getPrimary();
    if (known !== null) {
      const {retryBurst, retryRatio} = this.limits;
      this.retryTokens = Math.min(retryBurst, this.retryTokens + retryRatio);
      return success(known);
    }
    if (this.waiting >= this.limits.maxWaiting) {
      return failure({kind: 'overloaded', retryAfterMs: RETRY_AFTER_MS});
    }
    this.waiting++;
    const pending = state.waitForPrimary(context.deadlineMs);
    const found = await context.running.waitUnlessCancelled(
      pending.then(primary => ({primary})),
      () => {},
    );
    this.waiting--;
    if (found === null) {
      return failure({kind: 'cancelled'});
    }
    return found.primary === null
      ? failure({kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS})
      : success(found.primary);
  }
}
