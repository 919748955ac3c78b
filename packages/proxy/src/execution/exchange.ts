import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {BackendErrorFields} from '@filbertrun/wire/backend_message_reader.js';
import {
  AnswerRelay,
  type AnswerOutcome,
  type HoldMode,
} from './answer_relay.js';
import {applyParameters} from './connection_preparation.js';
import type {ConnectionLease} from './database_group_access.js';
import type {StatementContext} from './statement_context.js';

/** Bytes of an answer that may wait for a proof; beyond, the proof comes first. */
const HOLD_LIMIT_BYTES = 256 * 1024;

/** How to run a request on a connection. @public */
export interface ExchangeOptions {
  readonly requiredPosition: LogPosition | null;
  readonly hold: HoldMode;
  readonly isRejection: (error: BackendErrorFields) => boolean;
  /** Whether an error without the required position is kept from the caller. */
  readonly hidesUnprovenErrors?: boolean;
  /** Proves what the held part waits for, so that reading can go on. */
  readonly prove: (position: LogPosition | null) => Promise<boolean>;
  /** Called when the request has been sent. */
  readonly handleSent?: () => void;
}

/** How an exchange ended, with the relay that holds the unreleased part. @public */
export interface ExchangeEnd {
  readonly outcome: AnswerOutcome | NotSent;
  readonly relay: AnswerRelay | null;
}

/** The request was not sent. @public */
export type NotSent =
  | {readonly kind: 'withdrawn'}
  /** The connection was lost before. */
  | {readonly kind: 'notDispatched'}
  /** The session's run-time parameters were refused. */
  | {readonly kind: 'parametersRefused'; readonly error: BackendErrorFields};

/** Runs the request of a statement on a leased connection. @public */
export async function runExchange(
  context: StatementContext,
  lease: ConnectionLease,
  options: ExchangeOptions,
): Promise<ExchangeEnd> {
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
  const relay = AnswerRelay.create({
    connection,
    output,
    plan,
    requiredPosition: options.requiredPosition,
    hold: options.hold,
    holdLimitBytes: HOLD_LIMIT_BYTES,
    isRejection: options.isRejection,
    hidesUnprovenErrors: options.hidesUnprovenErrors ?? false,
    handleHoldLimit: limited => void proveAndRelease(limited, lease, options),
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

async function proveAndRelease(
  relay: AnswerRelay,
  lease: ConnectionLease,
  options: ExchangeOptions,
): Promise<void> {
  const isProven = await options.prove(relay.position);
  if (!isProven) {
    lease.connection.close('the held answer could not be proven');
    return;
  }
  if (options.hold === 'all') {
    relay.stopHolding();
  } else {
    relay.releaseHeld();
  }
}

function createNotSent(outcome: NotSent): ExchangeEnd {
  return {outcome, relay: null};
}
