import type {ProxyMetrics} from '../proxy_metrics.js';
import type {WriteAcknowledger} from './acknowledgement.js';
import type {AnswerOutcome, AnswerRelay} from './answer_relay.js';
import {isNeverRejection} from './backend_rejection.js';
import type {ConnectionLease} from './database_group_access.js';
import {runExchange} from './exchange.js';
import {
  createFailure,
  type ExecutionResult,
  type StatementContext,
} from './statement_context.js';

/** Hint for a caller whose transaction was lost. */
const LOST_RETRY_AFTER_MS = 200;

/**
 * Runs the statements of an open transaction on the connection that it keeps.
 *
 * @public
 */
export class TransactionExecutor {
  private constructor(
    private readonly acknowledger: WriteAcknowledger,
    private readonly metrics: ProxyMetrics,
  ) {}

  static create(
    acknowledger: WriteAcknowledger,
    metrics: ProxyMetrics,
  ): TransactionExecutor {
    return new TransactionExecutor(acknowledger, metrics);
  }

  /**
   * Runs one request. After `failed` the transaction is over and its
   * connection given back.
   *
   * @param mayCommit Whether the request can commit.
   */
  async execute(
    context: StatementContext,
    lease: ConnectionLease,
    mayCommit: boolean,
  ): Promise<ExecutionResult> {
    this.metrics.countWrite();
    const {outcome, relay} = await runExchange(context, lease, {
      requiredPosition: null,
      hold: mayCommit ? 'fromCompletion' : 'none',
      isRejection: isNeverRejection,
      prove: position =>
        position === null
          ? Promise.resolve(true)
          : this.acknowledger.isHeldByMajority(context, position),
    });
    if (outcome.kind === 'complete' && relay !== null) {
      return this.finish(context, lease, outcome, relay, mayCommit);
    }
    lease.connection.markDoubtful();
    lease.release();
    if (outcome.kind === 'lost' && mayCommit) {
      return createFailure({kind: 'outcomeUnknown'});
    }
    return createFailure({
      kind: 'transactionLost',
      retryAfterMs: LOST_RETRY_AFTER_MS,
    });
  }

  private async finish(
    context: StatementContext,
    lease: ConnectionLease,
    outcome: AnswerOutcome & {readonly kind: 'complete'},
    relay: AnswerRelay,
    mayCommit: boolean,
  ): Promise<ExecutionResult> {
    const {status, position, error} = outcome;
    const isOpen = status !== 'idle';
    if (!isOpen) {
      lease.release();
    }
    const isCommitted = mayCommit && outcome.hasCompletedCommand;
    if (isCommitted && position !== null) {
      if (!(await this.acknowledger.isHeldByMajority(context, position))) {
        if (isOpen) {
          lease.connection.close('an unproven commit');
          lease.release();
        }
        return createFailure({kind: 'outcomeUnknown'});
      }
      this.acknowledger.acknowledge(context, position, relay);
    } else {
      relay.stopHolding();
    }
    return {
      kind: 'answered',
      status,
      lease: isOpen ? lease : null,
      hasError: error !== null,
    };
  }
}
