import type {Clock} from '@filbertrun/base/clock.js';
import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import {pause} from '@filbertrun/base/pause.js';
import type {Result} from '@filbertrun/base/result.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {ProxyMetrics} from '../proxy_metrics.js';
import type {WriteAcknowledger} from './acknowledgement.js';
import type {AnswerOutcome, AnswerRelay, HoldMode} from './answer_relay.js';
import {isInstanceRejection} from './backend_rejection.js';
import type {ConnectionLease} from './database_group_access.js';
import {runExchange, type ExchangeEnd, type NotSent} from './exchange.js';
import type {PrimaryWaitQueue} from './primary_wait_queue.js';
import {
  createFailure,
  type ExecutionResult,
  type StatementContext,
} from './statement_context.js';

/** Pause before a rejected statement is tried again, while the change of primary spreads. */
const RETRY_PAUSE_MS = 20;

/** Hint for a caller whose statement was not run for want of a primary. */
const UNAVAILABLE_RETRY_AFTER_MS = 500;

/** Why a statement is sent to the primary. @public */
export type PrimaryPurpose =
  | {
      readonly kind: 'write';
      /** Whether the statement can commit by itself. */
      readonly mayCommit: boolean;
    }
  /** A read that no replica may answer; the primary must cover the floor. */
  | {readonly kind: 'read'; readonly requiredPosition: LogPosition}
  /** A read that only a primary may answer that is proven to be current. */
  | {readonly kind: 'strictRead'; readonly requiredPosition: LogPosition};

/** What a try on the primary gave. */
type Attempt =
  | {readonly kind: 'ended'; readonly result: ExecutionResult}
  /** Nothing took effect; another try may be made. */
  | {readonly kind: 'repeatable'};

/** Collaborators of the executor. @public */
export interface PrimaryExecutorOptions {
  readonly clock: Clock;
  readonly acknowledger: WriteAcknowledger;
  readonly waitQueue: PrimaryWaitQueue;
  readonly metrics: ProxyMetrics;
}

/**
 * Runs statements outside a transaction on the primary. A statement is tried
 * again only when it is known that it was not run.
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
      if (!isFirst && !(await this.mayRepeat(context))) {
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
        // After a failed try the want of a primary is the cause, not the load.
        return isFirst ? createFailure(lease.error) : createUnavailable();
      }
      const attempt = await this.attempt(context, purpose, lease.value);
      if (attempt.kind === 'ended') {
        return attempt.result;
      }
      context.group.view.reportConnectionLoss(primary.value);
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
  ): Promise<ExchangeEnd> {
    const {acknowledger} = this.options;
    return runExchange(context, lease, {
      requiredPosition:
        purpose.kind === 'write' ? null : purpose.requiredPosition,
      hold: getHoldMode(purpose),
      isRejection: isInstanceRejection,
      prove: position =>
        position === null
          ? Promise.resolve(true)
          : acknowledger.isHeldByMajority(context, position),
    });
  }

  /** Runs a read whose answer waits for a proof begun after the read was sent. */
  private async runStrictRead(
    context: StatementContext,
    purpose: PrimaryPurpose & {readonly kind: 'strictRead'},
    lease: ConnectionLease,
  ): Promise<ExchangeEnd> {
    let proof: Promise<boolean> = Promise.resolve(false);
    const end = await runExchange(context, lease, {
      requiredPosition: purpose.requiredPosition,
      hold: 'all',
      isRejection: isInstanceRejection,
      prove: () => proof,
      handleSent: () => {
        proof = confirmPrimary(context, lease);
      },
    });
    if (end.outcome.kind !== 'complete' || (await proof)) {
      return end;
    }
    return {outcome: {kind: 'notCovered'}, relay: null};
  }

  private async finish(
    context: StatementContext,
    purpose: PrimaryPurpose,
    lease: ConnectionLease,
    outcome: AnswerOutcome & {readonly kind: 'complete'},
    relay: AnswerRelay,
  ): Promise<Attempt> {
    const {status, position, error} = outcome;
    const isOpen = status !== 'idle';
    if (!isOpen) {
      lease.release();
    }
    const isCommitted =
      purpose.kind === 'write' &&
      purpose.mayCommit &&
      outcome.hasCompletedCommand;
    if (isCommitted && position !== null) {
      const {acknowledger} = this.options;
      if (!(await acknowledger.isHeldByMajority(context, position))) {
        if (isOpen) {
          lease.connection.close('an unproven commit');
          lease.release();
        }
        return ended(createFailure({kind: 'outcomeUnknown'}));
      }
      acknowledger.acknowledge(context, position, relay);
    } else {
      relay.stopHolding();
    }
    return ended({
      kind: 'answered',
      status,
      lease: isOpen ? lease : null,
      hasError: error !== null,
    });
  }

  /** Whether another try may follow one that is known to have had no effect. */
  private async mayRepeat(context: StatementContext): Promise<boolean> {
    const {clock, waitQueue} = this.options;
    if (!waitQueue.mayRetry() || context.running.isWithdrawn) {
      return false;
    }
    if (clock.nowMs() + RETRY_PAUSE_MS >= context.deadlineMs) {
      return false;
    }
    await pause(clock, RETRY_PAUSE_MS);
    return true;
  }
}

function getHoldMode(purpose: PrimaryPurpose): HoldMode {
  return purpose.kind === 'write' && purpose.mayCommit
    ? 'fromCompletion'
    : 'none';
}

/** Whether the instance that answers is proven to be the primary still. */
async function confirmPrimary(
  context: StatementContext,
  lease: ConnectionLease,
): Promise<boolean> {
  const {view} = context.group;
  const {backendServer} = lease.connection;
  if (view.getPrimary() !== backendServer) {
    return false;
  }
  const confirmation = await view.confirmTerm();
  return confirmation.ok && view.getPrimary() === backendServer;
}

function handleIncomplete(
  outcome: AnswerOutcome | NotSent,
  purpose: PrimaryPurpose,
): Attempt {
  switch (outcome.kind) {
    case 'rejected':
    case 'notCovered':
    case 'notDispatched':
      return {kind: 'repeatable'};
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
      throw new Error('A complete answer has no failure.');
    default:
      return exhaustiveSwitchError(outcome);
  }
}

function handleLost(
  outcome: AnswerOutcome & {readonly kind: 'lost'},
  purpose: PrimaryPurpose,
): Attempt {
  if (purpose.kind === 'write' && purpose.mayCommit) {
    return ended(createFailure({kind: 'outcomeUnknown'}));
  }
  // Without a commit nothing of it is kept; only a shown answer cannot be repeated.
  return outcome.wasRelayed ? ended(createUnavailable()) : {kind: 'repeatable'};
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

/** Gives back a connection that came after its statement was cancelled. @internal */
export function releaseAbandoned(
  lease: Result<ConnectionLease, CallerError>,
): void {
  if (lease.ok) {
    lease.value.release();
  }
}
