import type {Clock} from '@filbertrun/base/clock.js';
import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {Result} from '@filbertrun/base/result.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {ProxyMetrics} from '../proxy_metrics.js';
import type {WriteAcknowledger} from './acknowledgement.js';
import type {
  ResponseOutcome,
  ResponseRelay,
  BufferMode,
} from './response_relay.js';
import {isInstanceRejection} from './backend_rejection.js';
import type {ConnectionLease} from './database_group_access.js';
import {runExchange, type ExchangeResult, type NotSent} from './exchange.js';
import type {PrimaryWaitQueue} from './primary_wait_queue.js';
import {
  createFailure,
  type ExecutionResult,
  type StatementContext,
} from './statement_context.js';

/**
 * Pause before a rejected statement is retried, so that a change of primary can
 * become known to this proxy.
 */
const RETRY_PAUSE_MS = 20;

/** Retry hint for a caller whose statement found no primary. */
const UNAVAILABLE_RETRY_AFTER_MS = 500;

/** Why a statement is sent to the primary. @public */
export type PrimaryPurpose =
  | {
      readonly kind: 'write';
      /** Whether the statement may commit. */
      readonly mayCommit: boolean;
    }
  /** A read on the primary whose response must cover a log position. */
  | {readonly kind: 'read'; readonly requiredPosition: LogPosition}
  /** As `read`; the primary must also be confirmed to be current. */
  | {readonly kind: 'strictRead'; readonly requiredPosition: LogPosition};

/** Result of an attempt on the primary. */
type Attempt =
  | {readonly kind: 'ended'; readonly result: ExecutionResult}
  /** The statement had no effect and may be retried. */
  | {readonly kind: 'retryable'};

/** Dependencies of the executor. @public */
export interface PrimaryExecutorOptions {
  readonly clock: Clock;
  readonly acknowledger: WriteAcknowledger;
  readonly waitQueue: PrimaryWaitQueue;
  readonly metrics: ProxyMetrics;
}

/**
 * Runs statements outside a transaction on the primary. A statement is retried
 * only if it is known to have had no effect.
 *
 * @public
 */
export class PrimaryExecutor {
  private constructor(private readonly options: PrimaryExecutorOptions) {}

  static create(options: PrimaryExecutorOptions): PrimaryExecutor {
    return new PrimaryExecutor(options);
  }

  async execute(
    context: StatementContext,
    purpose: PrimaryPurpose,
  ): Promise<ExecutionResult> {
    const {clock, metrics, waitQueue} = this.options;
    for (let isFirst = true; ; isFirst = false) {
      if (!isFirst && !(await this.waitBeforeRetry(context))) {
        return createUnavailable();
      }
      const primary = await waitQueue.getPrimary(context);
      if (!primary.ok) {
        return createFailure(primary.error);
      }
      const startMs = clock.nowMs();
      const lease = await context.running.waitUnlessCancelled(
        context.group.acquire(primary.value, context),
        abandoned => releaseAbandoned(abandoned),
      );
      metrics.recordQueueTime(clock.nowMs() - startMs);
      if (lease === null) {
        return createFailure({kind: 'cancelled'});
      }
      if (!lease.ok) {
        if (lease.error.kind === 'unavailable') {
          continue;
        }
        // After a failed attempt the cause is the lack of a primary, not load.
        return isFirst ? createFailure(lease.error) : createUnavailable();
      }
      const attempt = await this.attempt(context, purpose, lease.value);
      if (attempt.kind === 'ended') {
        return attempt.result;
      }
      context.group.state.reportConnectionLoss(primary.value);
    }
  }

  private async attempt(
    context: StatementContext,
    purpose: PrimaryPurpose,
    lease: ConnectionLease,
  ): Promise<Attempt> {
    const end =
      purpose.kind === 'strictRead'
        ? await this.runStrictRead(context, purpose, lease)
        : await this.run(context, purpose, lease);
    const {outcome, relay} = end;
    if (outcome.kind === 'complete' && relay !== null) {
      return this.finish(context, purpose, lease, outcome, relay);
    }
    lease.release();
    return handleIncomplete(outcome, purpose);
  }

  private run(
    context: StatementContext,
    purpose: PrimaryPurpose,
    lease: ConnectionLease,
  ): Promise<ExchangeResult> {
    const {acknowledger} = this.options;
    return runExchange(context, lease, {
      requiredPosition:
        purpose.kind === 'write' ? null : purpose.requiredPosition,
      bufferMode: getBufferMode(purpose),
      isRejection: isInstanceRejection,
      confirm: position =>
        position === null
          ? Promise.resolve(true)
          : acknowledger.waitForMajority(context, position),
    });
  }

  /**
   * Runs a read whose response is buffered until the primary is confirmed to be
   * current. The confirmation starts after the read has been sent.
   */
  private async runStrictRead(
    context: StatementContext,
    purpose: PrimaryPurpose & {readonly kind: 'strictRead'},
    lease: ConnectionLease,
  ): Promise<ExchangeResult> {
    let isPrimaryConfirmed: Promise<boolean> = Promise.resolve(false);
    const end = await runExchange(context, lease, {
      requiredPosition: purpose.requiredPosition,
      bufferMode: 'all',
      isRejection: isInstanceRejection,
      confirm: () => isPrimaryConfirmed,
      handleSent: () => {
        isPrimaryConfirmed = confirmPrimary(context, lease);
      },
    });
    if (end.outcome.kind !== 'complete' || (await isPrimaryConfirmed)) {
      return end;
    }
    return {outcome: {kind: 'notCovered'}, relay: null};
  }

  private async finish(
    context: StatementContext,
    purpose: PrimaryPurpose,
    lease: ConnectionLease,
    outcome: ResponseOutcome & {readonly kind: 'complete'},
    relay: ResponseRelay,
  ): Promise<Attempt> {
    const {status, position, error} = outcome;
    const isTransactionOpen = status !== 'idle';
    if (!isTransactionOpen) {
      lease.release();
    }
    const isCommitted =
      purpose.kind === 'write' &&
      purpose.mayCommit &&
      outcome.hasCompletedCommand;
    if (isCommitted && position !== null) {
      const {acknowledger} = this.options;
      if (!(await acknowledger.waitForMajority(context, position))) {
        if (isTransactionOpen) {
          lease.connection.close('a commit was not confirmed by a majority');
          lease.release();
        }
        return ended(createFailure({kind: 'outcomeUnknown'}));
      }
      acknowledger.acknowledge(context, position, relay);
    } else {
      relay.stopBuffering();
    }
    return ended({
      kind: 'answered',
      status,
      lease: isTransactionOpen ? lease : null,
      hasError: error !== null,
    });
  }

  /**
   * Waits before an attempt that is known to have had no effect is retried.
   * Returns false if no retry is allowed.
   */
  private async waitBeforeRetry(context: StatementContext): Promise<boolean> {
    const {clock, waitQueue} = this.options;
    if (!waitQueue.tryTakeRetry() || context.running.isWithdrawn) {
      return false;
    }
    if (clock.nowMs() + RETRY_PAUSE_MS >= context.deadlineMs) {
      return false;
    }
    await sleep(clock, RETRY_PAUSE_MS);
    return true;
  }
}

/**
 * For a statement that may commit, the response is buffered from the first
 * completed command, until a majority holds the commit.
 */
function getBufferMode(purpose: PrimaryPurpose): BufferMode {
  return purpose.kind === 'write' && purpose.mayCommit
    ? 'fromCompletion'
    : 'none';
}

/** Confirms that the instance of the connection is still the primary. */
async function confirmPrimary(
  context: StatementContext,
  lease: ConnectionLease,
): Promise<boolean> {
  const {state} = context.group;
  const {backendServer} = lease.connection;
  if (state.getPrimary() !== backendServer) {
    return false;
  }
  const confirmation = await state.confirmTerm();
  return confirmation.ok && state.getPrimary() === backendServer;
}

function handleIncomplete(
  outcome: ResponseOutcome | NotSent,
  purpose: PrimaryPurpose,
): Attempt {
  switch (outcome.kind) {
    case 'rejected':
    case 'notCovered':
    case 'notDispatched':
      return {kind: 'retryable'};
    case 'withdrawn':
      return ended(createFailure({kind: 'cancelled'}));
    case 'parametersRefused':
      return ended(
        createFailure({
          kind: 'invalidParameter',
          reason: outcome.error.message,
        }),
      );
    case 'lost':
      return handleLost(outcome, purpose);
    case 'complete':
      throw new Error('A complete response is not a failure.');
    default:
      return exhaustiveSwitchError(outcome);
  }
}

function handleLost(
  outcome: ResponseOutcome & {readonly kind: 'lost'},
  purpose: PrimaryPurpose,
): Attempt {
  if (purpose.kind === 'write' && purpose.mayCommit) {
    return ended(createFailure({kind: 'outcomeUnknown'}));
  }
  // Without a commit the statement had no effect. It can be retried unless
  // a part of the response was sent to the caller.
  return outcome.wasRelayed ? ended(createUnavailable()) : {kind: 'retryable'};
}

function ended(result: ExecutionResult): Attempt {
  return {kind: 'ended', result};
}

function createUnavailable(): ExecutionResult {
  return createFailure({
    kind: 'unavailable',
    retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS,
  });
}

/**
 * Releases a connection that became available after its statement was
 * cancelled.
 *
 * @internal
 */
export function releaseAbandoned(
  lease: Result<ConnectionLease, CallerError>,
): void {
  if (lease.ok) {
    lease.value.release();
  }
}
