import type {ProxyMetrics} from '../proxy_metrics.js';
import type {WriteAcknowledger} from './acknowledgement.js';
import type {ResponseOutcome, ResponseRelay} from './response_relay.js';
import {neverRejection} from './backend_rejection.js';
import type {ConnectionLease} from './database_group_access.js';
import {runExchange} from './exchange.js';
import {
  createFailure,
  type ExecutionResult,
  type StatementContext,
} from './statement_context.js';

/** Retry hint for a caller whose transaction was lost. */
const LOST_RETRY_AFTER_MS = 200;

/**
 * Runs the statements of an open transaction on its connection.
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
   * Runs one request. After `failed` the transaction has ended and its
   * connection has been released.
   *
   * @param mayCommit Whether the request may commit.
   */
  async execute(
    context: StatementContext,
    lease: ConnectionLease,
    mayCommit: boolean,
  ): Promise<ExecutionResult> {
    this.metrics.countWrite();
    const {outcome, relay} = await runExchange(context, lease, {
      requiredPosition: null,
      bufferMode: mayCommit ? 'fromCompletion' : 'none',
      isRejection: neverRejection,
      confirm: position =>
        position === null
          ? Promise.resolve(true)
          : this.acknowledger.waitForMajority(context, position),
    });
    if (outcome.kind === 'complete' && relay !== null) {
      return this.finish(context, lease, outcome, relay, mayCommit);
    }
    lease.connection.markDirty();
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
    outcome: ResponseOutcome & {readonly kind: 'complete'},
    relay: ResponseRelay,
    mayCommit: boolean,
  ): Promise<ExecutionResult> {
    const {status, position, error} = outcome;
    const isTransactionOpen = status !== 'idle';
    if (!isTransactionOpen) {
      lease.release();
    }
    const isCommitted = mayCommit && outcome.hasCompletedCommand;
    if (isCommitted && position !== null) {
      if (!(await this.acknowledger.waitForMajority(context, position))) {
        if (isTransactionOpen) {
          lease.connection.close('a commit was not confirmed by a majority');
          lease.release();
        }
        return createFailure({kind: 'outcomeUnknown'});
      }
      this.acknowledger.acknowledge(context, position, relay);
    } else {
      relay.stopBuffering();
    }
    return {
      kind: 'answered',
      status,
      lease: isTransactionOpen ? lease : null,
      hasError: error !== null,
    };
  }
}
