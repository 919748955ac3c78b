import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {BackendErrorFields} from '@filbertrun/wire/backend_message_reader.js';
import {
  ResponseRelay,
  type ResponseOutcome,
  type BufferMode,
} from './response_relay.js';
import {applyParameters} from './connection_preparation.js';
import type {ConnectionLease} from './database_group_access.js';
import type {StatementContext} from './statement_context.js';

/**
 * Maximum size of the buffered part of a response while `confirm` is pending (a
 * commit that a majority must hold, or a primary that must be current). Beyond
 * it, reading is paused until `confirm` has succeeded.
 */
const BUFFER_LIMIT_BYTES = 256 * 1024;

/** Options for running a request on a connection. @public */
export interface ExchangeOptions {
  /** Log position that the response must cover, or null. */
  readonly requiredPosition: LogPosition | null;
  readonly bufferMode: BufferMode;
  /**
   * Whether an error is withheld from the caller because the statement had no
   * effect and another instance may run it.
   */
  readonly isRejection: (error: BackendErrorFields) => boolean;
  /**
   * Whether an error is withheld from the caller until the required position is
   * confirmed.
   */
  readonly hidesErrorsBeforeCheck?: boolean;
  /**
   * Called with the last reported position when the buffer is full. Resolves
   * with whether the buffered part may be sent.
   */
  readonly confirm: (position: LogPosition | null) => Promise<boolean>;
  /** Called when the request has been sent. */
  readonly handleSent?: () => void;
}

/**
 * How an exchange ended, with the relay that still buffers the unsent part of
 * the response.
 *
 * @public
 */
export interface ExchangeResult {
  readonly outcome: ResponseOutcome | NotSent;
  readonly relay: ResponseRelay | null;
}

/** The request was not sent. @public */
export type NotSent =
  /** The statement was cancelled before it was sent. */
  | {readonly kind: 'withdrawn'}
  /** The connection was lost before the request was sent. */
  | {readonly kind: 'notDispatched'}
  /** The backend server refused the run-time parameters of the session. */
  | {readonly kind: 'parametersRefused'; readonly error: BackendErrorFields};

/**
 * Runs an exchange: sends the request of a statement on a leased connection and
 * relays the response up to ReadyForQuery.
 *
 * @public
 */
export async function runExchange(
  context: StatementContext,
  lease: ConnectionLease,
  options: ExchangeOptions,
): Promise<ExchangeResult> {
  const {connection} = lease;
  const {session, running, output} = context;
  if (connection.appliedParameters !== session.parameters) {
    const applied = await applyParameters(connection, session.parameters);
    if (!applied.ok) {
      return createNotSent(
        applied.error === null
          ? {kind: 'notDispatched'}
          : {kind: 'parametersRefused', error: applied.error},
      );
    }
  }
  if (!connection.isOpen()) {
    return createNotSent({kind: 'notDispatched'});
  }
  if (!running.attach(connection)) {
    return createNotSent({kind: 'withdrawn'});
  }
  const {chunks, plan} = context.request.build(connection);
  const relay = ResponseRelay.create({
    connection,
    output,
    plan,
    requiredPosition: options.requiredPosition,
    bufferMode: options.bufferMode,
    bufferLimitBytes: BUFFER_LIMIT_BYTES,
    isRejection: options.isRejection,
    hidesErrorsBeforeCheck: options.hidesErrorsBeforeCheck ?? false,
    handleBufferLimit: limited =>
      void confirmAndRelease(limited, lease, options),
  });
  connection.start(chunks, relay);
  options.handleSent?.();
  const outcome = await relay.ended;
  running.detach();
  if (outcome.kind === 'complete') {
    const {status, error} = outcome;
    context.handleComplete(connection, {status, hasError: error !== null});
  }
  return {outcome, relay};
}

async function confirmAndRelease(
  relay: ResponseRelay,
  lease: ConnectionLease,
  options: ExchangeOptions,
): Promise<void> {
  const isConfirmed = await options.confirm(relay.position);
  if (!isConfirmed) {
    lease.connection.close('the buffered response could not be confirmed');
    return;
  }
  if (options.bufferMode === 'all') {
    relay.stopBuffering();
  } else {
    relay.releaseBuffered();
  }
}

function createNotSent(outcome: NotSent): ExchangeResult {
  return {outcome, relay: null};
}
