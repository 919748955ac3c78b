import type {CallerError} from '@filbertrun/model/outcome.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import {
  getRemainingMs,
  type StatementContext,
} from '../session/gateway_context.js';
import type {
  Operation,
  OperationExecutor,
  OperationResult,
} from '../session/operation_executor.js';
import {createErrorReply, SERVER_UNAVAILABLE} from '../session/refusal.js';
import {
  recordOutcomeUnknown,
  recordRefused,
} from '../session/statement_events.js';
import type {
  ForwardClientStream,
  ForwardError,
  ForwardExchange,
  ForwardResult,
} from './forward_client_stream.js';
import {computeReplyTimeoutMs} from './compute_reply_timeout.js';
import {describeForwardError} from './describe_forward_error.js';
import {
  toForwardable,
  type ForwardableStatement,
  type ForwardedOperation,
} from './forward_message.js';
import type {ForwardStreams} from './forward_streams.js';
import {ForwardedTransaction} from './forwarded_transaction.js';
import type {Holder, HolderDirectory} from './holder_directory.js';

/** Options of an {@link OperationForwarder}. @public */
export interface OperationForwarderOptions {
  /** Name of this proxy's entry VM. */
  readonly entryVm: string;
  readonly events: GatewayEventRecorder;
  readonly holders: HolderDirectory;
  readonly streams: ForwardStreams;
  /** Runs operations on this proxy's own connections. */
  readonly local: OperationExecutor;
}

/** Number of holders that one operation is sent to. */
const MAX_HOLDERS = 3;

/**
 * Time that one operation waits for connections to holders. A proxy that is cut
 * off from its zone would wait for one connection timeout for each holder.
 */
const MAX_CONNECT_WAIT_MS = 400;

/** A holder and the open stream to it. */
interface Target {
  readonly holder: Holder;
  readonly stream: ForwardClientStream;
}

/** Outcome of one attempt at a holder. */
type AttemptResult =
  | {readonly kind: 'answered'; readonly result: OperationResult}
  /** Nothing was run, or the operation may be run again. */
  | {readonly kind: 'tryNext'}
  | {readonly kind: 'outcomeUnknown'; readonly reason: string};

/**
 * Sends the operations of groups with shared access to the holder of the group
 * in this availability zone. An operation is sent to another holder only if it
 * was not run, or if it is a read or a `begin`, which keep nothing.
 *
 * @public
 */
export class OperationForwarder implements OperationExecutor {
  private constructor(private readonly options: OperationForwarderOptions) {}

  static create(options: OperationForwarderOptions): OperationForwarder {
    return new OperationForwarder(options);
  }

  async execute(
    context: StatementContext,
    operation: Operation,
  ): Promise<OperationResult> {
    const {local, holders, entryVm, streams} = this.options;
    const statement = toForwardable(operation.statement);
    if (!context.group.hasSharedAccess || statement === null) {
      return local.execute(context, operation);
    }
    const {clock} = context.gateway;
    let attempts = 0;
    let connectWaitMs = 0;
    for (const holder of holders.rank(context.group.databaseGroup)) {
      const isOver =
        attempts >= MAX_HOLDERS || connectWaitMs >= MAX_CONNECT_WAIT_MS;
      if (holder.entryVm === entryVm || isOver) {
        break;
      }
      const startedAtMs = clock.nowMs();
      const stream = await streams.get(holder);
      connectWaitMs += clock.nowMs() - startedAtMs;
      if (stream === null) {
        continue;
      }
      if (context.signal?.aborted === true) {
        recordRefused(context, {kind: 'cancelled'}, 'the caller has left');
        return createErrorResult({kind: 'cancelled'});
      }
      if (getRemainingMs(context) <= 0) {
        recordRefused(context, SERVER_UNAVAILABLE, 'no holder answered');
        return createErrorResult(SERVER_UNAVAILABLE);
      }
      attempts++;
      const message = createMessage(context, operation, statement);
      const attempt = await this.attempt(context, message, {holder, stream});
      if (attempt.kind === 'answered') {
        return attempt.result;
      }
      if (attempt.kind === 'outcomeUnknown') {
        recordOutcomeUnknown(context, holder.entryVm, attempt.reason);
        return createErrorResult({kind: 'outcomeUnknown'});
      }
    }
    return local.execute(context, operation);
  }

  private async attempt(
    context: StatementContext,
    message: ForwardedOperation,
    target: Target,
  ): Promise<AttemptResult> {
    const {holder, stream} = target;
    const {events, streams} = this.options;
    const {requestId, group} = context;
    const exchange = stream.sendOperation(
      message,
      computeReplyTimeoutMs(context),
    );
    events.record({
      kind: 'statementForwarded',
      requestId,
      databaseGroup: group.databaseGroup,
      holder: holder.entryVm,
    });
    const result = await this.awaitResult(context, stream, exchange);
    if (!result.ok) {
      this.handleError(context, message, target, {
        exchangeId: exchange.exchangeId,
        error: result.error,
      });
      return this.classifyError(context, message, result.error);
    }
    streams.recordAnswer(holder);
    if (result.value.wasSent) {
      context.permit.markSent();
    }
    const {reply, committedPosition} = result.value;
    const transaction =
      message.statement.kind === 'begin' && reply.transactionState !== 'idle'
        ? ForwardedTransaction.create({
            stream,
            transactionId: exchange.exchangeId,
            holder: holder.entryVm,
            beginContext: context,
          })
        : null;
    return {kind: 'answered', result: {reply, committedPosition, transaction}};
  }

  /** Waits for the result of an exchange until the caller leaves. */
  private async awaitResult(
    {signal}: StatementContext,
    stream: ForwardClientStream,
    {exchangeId, result}: ForwardExchange,
  ): Promise<ForwardResult> {
    const cancel = () => stream.cancel(exchangeId);
    signal?.addEventListener('abort', cancel);
    try {
      return await result;
    } finally {
      signal?.removeEventListener('abort', cancel);
    }
  }

  /** Reports that a holder gave no reply and ends what it may have begun. */
  private handleError(
    {requestId, group}: StatementContext,
    {statement}: ForwardedOperation,
    {holder, stream}: Target,
    {
      exchangeId,
      error,
    }: {readonly exchangeId: number; readonly error: ForwardError},
  ): void {
    const {events, streams} = this.options;
    events.record({
      kind: 'forwardingFailed',
      requestId,
      databaseGroup: group.databaseGroup,
      holder: holder.entryVm,
      reason: describeForwardError(error),
    });
    if (error.kind === 'declined') {
      streams.avoid(holder);
    }
    const isGivenUp = error.kind === 'timedOut' || error.kind === 'cancelled';
    if (isGivenUp && statement.kind === 'begin') {
      // The holder ignores the cancel of an exchange that it has answered.
      stream.abandon(exchangeId);
    }
  }

  private classifyError(
    context: StatementContext,
    {isWrite}: ForwardedOperation,
    error: ForwardError,
  ): AttemptResult {
    switch (error.kind) {
      case 'notSent':
      case 'declined':
        return {kind: 'tryNext'};
      case 'connectionLost':
      case 'timedOut':
        // The holder may have sent the statement to a backend server.
        context.permit.markSent();
        return isWrite || error.kind === 'timedOut'
          ? {kind: 'outcomeUnknown', reason: `holder: ${error.kind}`}
          : {kind: 'tryNext'};
      case 'cancelled':
        context.permit.markSent();
        return isWrite
          ? {kind: 'outcomeUnknown', reason: 'the caller has left'}
          : {
              kind: 'answered',
              result: createErrorResult({kind: 'cancelled'}),
            };
    }
  }
}

/** Creates the message that carries an operation to a holder. */
function createMessage(
  context: StatementContext,
  {isWrite, session, sessionFloor, idleTimeoutMs}: Operation,
  statement: ForwardableStatement,
): ForwardedOperation {
  return {
    requestId: context.requestId,
    statement,
    isWrite,
    values: [...session.values],
    prepared: session.prepared,
    remainingMs: Math.max(0, getRemainingMs(context)),
    route: context.route,
    identity: context.customer === null ? null : context.identity,
    customerName: context.customer?.name ?? null,
    configurationVersion: context.configurationVersion,
    sessionFloor,
    idleTimeoutMs,
  };
}

function createErrorResult(error: CallerError): OperationResult {
  const reply = createErrorReply(error, 'idle');
  return {reply, transaction: null, committedPosition: null};
}
