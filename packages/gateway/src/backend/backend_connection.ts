import type {Result} from '@filbertrun/base/result.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {
  ConnectError,
  ConnectionIdentity,
} from '@filbertrun/pool/pool_types.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {
  CallerStatement,
  PreparedStatement,
} from '../statement/caller_statement.js';
import type {BackendAnswer} from '../statement/statement_answer.js';

/**
 * Protocol-independent interface of a connection to a backend server. An
 * adapter implements the wire protocol.
 */

/** Command sent to a backend server. @public */
export type BackendCommand =
  /** A caller's statement, sent with its request id and text unchanged. */
  | {
      readonly kind: 'callerStatement';
      readonly requestId: string;
      readonly statement: CallerStatement;
      /** Log position that the server must hold, or null for any. */
      readonly requiredPosition: LogPosition | null;
    }
  /** Rolls back a transaction that its caller has abandoned. */
  | {readonly kind: 'rollback'}
  | {readonly kind: 'setValue'; readonly name: string; readonly value: string}
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly prepared: PreparedStatement;
    }
  /** Clears session values and prepared statements. */
  | {readonly kind: 'reset'};

/** Reason why a command received no response. @public */
export type BackendConnectionError =
  /** The connection was closed; the command may have been run. */
  | {readonly kind: 'connectionLost'; readonly reason: string}
  /** Nothing was sent, so nothing was run. */
  | {readonly kind: 'notSent'; readonly reason: string}
  /** The command timed out; it may still be running. */
  | {readonly kind: 'timedOut'};

/**
 * Connection to a backend server, which answers commands one at a time and in
 * order.
 *
 * @public
 */
export interface BackendConnection {
  readonly backendServer: BackendServerEntry;
  readonly isOpen: boolean;
  /** Number of commands that were sent and have no response yet. */
  readonly pendingCount: number;
  /**
   * Duration of the TCP connect, which is one round trip of the network; null or
   * absent if it was not measured, such as in a connection without a network.
   */
  readonly connectTimeMs?: number | null;
  /**
   * Time since which a response is pending without any byte received; null if
   * no response is pending.
   */
  getUnresponsiveSinceMs(): number | null;
  execute(
    command: BackendCommand,
    timeoutMs: number,
  ): Promise<Result<BackendAnswer, BackendConnectionError>>;
  /** Closes the connection; pending commands fail with `connectionLost`. */
  close(reason: string): void;
}

/** Opens connections to backend servers. @public */
export interface BackendConnector {
  /** Opens a connection under an identity, which it keeps until it is closed. */
  connect(
    backendServer: BackendServerEntry,
    identity: ConnectionIdentity,
    timeoutMs: number,
  ): Promise<
    Result<BackendConnection, ConnectError | {readonly kind: 'wrongServer'}>
  >;
  /** Checks whether the server accepts a TCP connection within the timeout. */
  checkReachable(
    backendServer: BackendServerEntry,
    timeoutMs: number,
  ): Promise<ReachabilityResult>;
}

/**
 * Result of a TCP connection attempt without a handshake: `silent` if it timed
 * out, `refused` if it failed earlier.
 *
 * @public
 */
export type ReachabilityResult = 'accepted' | 'refused' | 'silent';
