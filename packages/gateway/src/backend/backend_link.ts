import type {Result} from '@filbertrun/base/result.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {ConnectError} from '@filbertrun/pool/pool_types.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {
  CallerStatement,
  PreparedShape,
} from '../statement/caller_statement.js';
import type {BackendAnswer} from '../statement/statement_answer.js';

/**
 * One connection to a backend server, as the decisions see it. The protocol
 * behind it is the business of an adapter.
 */

/** What is sent to a backend server. @public */
export type BackendCommand =
  /** A statement of a caller, with its id and text unchanged. */
  | {
      readonly kind: 'callerStatement';
      readonly requestId: string;
      readonly statement: CallerStatement;
      /** Log position that the server must hold, or null for any. */
      readonly requiredPosition: LogPosition | null;
    }
  /** Ends a transaction that its caller has left. */
  | {readonly kind: 'rollback'}
  | {readonly kind: 'setValue'; readonly name: string; readonly value: string}
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly prepared: PreparedShape;
    }
  /** Clears session values and prepared names. */
  | {readonly kind: 'reset'};

/** Why no answer came. @public */
export type LinkError =
  /** The connection ended; the command may have been run. */
  | {readonly kind: 'connectionLost'; readonly reason: string}
  /** Nothing was sent, so nothing was run. */
  | {readonly kind: 'notSent'; readonly reason: string}
  /** The time given to the command passed; it may still be running. */
  | {readonly kind: 'timedOut'};

/** A connection to a backend server that answers one command at a time in order. @public */
export interface BackendLink {
  readonly backendServer: BackendServerEntry;
  readonly isOpen: boolean;
  /** Commands that were sent and not answered. */
  readonly pendingCount: number;
  /** Time since which an answer is owed without a byte received, or null. */
  getSilentSinceMs(): number | null;
  execute(
    command: BackendCommand,
    timeoutMs: number,
  ): Promise<Result<BackendAnswer, LinkError>>;
  /** Ends the connection; commands that wait fail with `connectionLost`. */
  close(reason: string): void;
}

/** Opens connections to backend servers. @public */
export interface BackendLinkConnector {
  connect(
    backendServer: BackendServerEntry,
    timeoutMs: number,
  ): Promise<
    Result<BackendLink, ConnectError | {readonly kind: 'wrongServer'}>
  >;
  /** Whether the server's machine accepts a TCP connection in time. */
  checkReachable(
    backendServer: BackendServerEntry,
    timeoutMs: number,
  ): Promise<ReachabilityResult>;
}

/** What a bare TCP connection attempt showed. @public */
export type ReachabilityResult = 'accepted' | 'refused' | 'silent';
