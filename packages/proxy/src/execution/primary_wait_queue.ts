import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {StatementContext} from './statement_context.js';

/** Hint for a caller that was refused while a primary is being chosen. */
const RETRY_AFTER_MS = 500;

/** Bounds of what waits for a primary. @public */
export interface PrimaryWaitLimits {
  /** Statements that may wait on this proxy at once. */
  readonly maxWaiting: number;
  /** Retries allowed in a row before new ones need fresh successes. */
  readonly retryBurst: number;
  /** Retries that each first try adds. */
  readonly retryRatio: number;
}

/**
 * Holds statements while no primary is known, within a bound, and rations
 * retries so that they never multiply the load of a failing group.
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

  /** Statements that wait now. */
  get length(): number {
    return this.waiting;
  }

  /** Takes one retry from the budget; false when it is spent. */
  mayRetry(): boolean {
    if (this.retryTokens < 1) {
      return false;
    }
    this.retryTokens--;
    return true;
  }

  /** Gives the primary, waiting for one until the statement's deadline. */
  async getPrimary(
    context: StatementContext,
  ): Promise<Result<BackendServerId, CallerError>> {
    const {view} = context.group;
    const known = view.getPrimary();
    if (known !== null) {
      const {retryBurst, retryRatio} = this.limits;
      this.retryTokens = Math.min(retryBurst, this.retryTokens + retryRatio);
      return success(known);
    }
    if (this.waiting >= this.limits.maxWaiting) {
      return failure({kind: 'overloaded', retryAfterMs: RETRY_AFTER_MS});
    }
    this.waiting++;
    const pending = view.waitForPrimary(context.deadlineMs);
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
