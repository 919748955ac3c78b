/**
 * Errors of connections to backend servers.
 */

/** Reason why connecting to a backend server failed. @public */
export type BackendConnectError =
  | {readonly kind: 'unreachable'; readonly reason: string}
  | {readonly kind: 'timedOut'}
  /** The instance has reached its connection limit (SQLSTATE 53300). */
  | {readonly kind: 'tooManyConnections'}
  | {
      readonly kind: 'refused';
      readonly sqlState: string;
      readonly message: string;
    }
  | {readonly kind: 'protocolViolation'; readonly reason: string};

/** Describes a connect error for the log. @public */
export function describeConnectError(error: BackendConnectError): string {
  switch (error.kind) {
    case 'unreachable':
      return error.reason;
    case 'timedOut':
      return 'timed out';
    case 'tooManyConnections':
      return 'too many connections';
    case 'refused':
      return `${error.sqlState}: ${error.message}`;
    case 'protocolViolation':
      return error.reason;
  }
}
