import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';

/**
 * The errors that the proxy itself reports to callers, each with its SQLSTATE
 * and whether the statement was executed. Errors from a backend server are
 * relayed unchanged and are not listed here.
 */

/** Whether a statement that failed took effect. @public */
export type StatementOutcome = 'notRun' | 'unknown';

/** An error that the proxy reports to a caller. @public */
export type CallerError =
  | {readonly kind: 'overloaded'; readonly retryAfterMs: number}
  | {readonly kind: 'unavailable'; readonly retryAfterMs: number}
  | {readonly kind: 'shuttingDown'; readonly retryAfterMs: number}
  | {readonly kind: 'outcomeUnknown'}
  /** The connection of an open transaction was lost, which rolled it back. */
  | {readonly kind: 'transactionLost'; readonly retryAfterMs: number}
  /** A statement in a transaction that an earlier error aborted. */
  | {readonly kind: 'transactionFailed'}
  | {readonly kind: 'unknownStatement'; readonly name: string}
  | {readonly kind: 'notSupported'; readonly feature: string}
  | {readonly kind: 'invalidToken'; readonly reason: string}
  | {readonly kind: 'invalidParameter'; readonly reason: string}
  | {readonly kind: 'invalidAuthorization'; readonly reason: string}
  /** No customer holds the caller's API key. */
  | {readonly kind: 'accessDenied'}
  /** The customer has reached the limit on its operations. */
  | {readonly kind: 'limitExceeded'; readonly retryAfterMs: number}
  | {readonly kind: 'unknownDatabase'; readonly databaseGroup: string}
  | {readonly kind: 'protocolViolation'; readonly reason: string}
  | {readonly kind: 'requestKeyReused'}
  | {readonly kind: 'cancelled'};

/** The fields of a caller error on the wire. @public */
export interface CallerErrorReport {
  readonly severity: 'ERROR' | 'FATAL';
  readonly sqlState: string;
  readonly message: string;
  /** Holds `outcome=…` and, when a retry can succeed, `retry_after_ms=…`. */
  readonly hint: string;
  readonly outcome: StatementOutcome;
}

/** Returns the wire fields of a caller error. @public */
export function describeCallerError(error: CallerError): CallerErrorReport {
  switch (error.kind) {
    case 'overloaded':
      return createReport(
        'ERROR',
        '53300',
        'The proxy is overloaded.',
        error.retryAfterMs,
      );
    case 'unavailable':
      return createReport(
        'ERROR',
        '57P03',
        'No backend server can take the statement now.',
        error.retryAfterMs,
      );
    case 'shuttingDown':
      return createReport(
        'FATAL',
        '57P01',
        'The proxy is shutting down.',
        error.retryAfterMs,
      );
    case 'outcomeUnknown':
      return {
        severity: 'ERROR',
        sqlState: '08007',
        message: 'The outcome of the statement is unknown.',
        hint: 'outcome=unknown',
        outcome: 'unknown',
      };
    case 'transactionLost':
      return createReport(
        'ERROR',
        '40001',
        'The transaction was rolled back because its backend server was lost.',
        error.retryAfterMs,
      );
    case 'transactionFailed':
      return createReport(
        'ERROR',
        '25P02',
        'The transaction has failed; statements are ignored until it ends.',
        null,
      );
    case 'unknownStatement':
      return createReport(
        'ERROR',
        '26000',
        `Prepared statement "${error.name}" does not exist.`,
        null,
      );
    case 'notSupported':
      return createReport(
        'ERROR',
        '0A000',
        `Not supported through the proxy: ${error.feature}.`,
        null,
      );
    case 'invalidToken':
      return createReport(
        'ERROR',
        '22023',
        `Invalid session token: ${error.reason}.`,
        null,
      );
    case 'invalidParameter':
      return createReport(
        'ERROR',
        '22023',
        `Invalid parameter: ${error.reason}.`,
        null,
      );
    case 'invalidAuthorization':
      return createReport('FATAL', '28P01', error.reason, null);
    case 'accessDenied':
      return createReport(
        'ERROR',
        '28000',
        'The API key is unknown or was withdrawn.',
        null,
      );
    case 'limitExceeded':
      return createReport(
        'ERROR',
        '53400',
        'The customer has reached the limit on its operations.',
        error.retryAfterMs,
      );
    case 'unknownDatabase':
      return createReport(
        'FATAL',
        '3D000',
        `Database group "${error.databaseGroup}" does not exist.`,
        null,
      );
    case 'protocolViolation':
      return createReport(
        'FATAL',
        '08P01',
        `Protocol violation: ${error.reason}.`,
        null,
      );
    case 'requestKeyReused':
      return createReport(
        'ERROR',
        '22023',
        'The request key was used with another statement.',
        null,
      );
    case 'cancelled':
      return createReport(
        'ERROR',
        '57014',
        'The statement was cancelled before it was run.',
        null,
      );
    default:
      return exhaustiveSwitchError(error);
  }
}

function createReport(
  severity: 'ERROR' | 'FATAL',
  sqlState: string,
  message: string,
  retryAfterMs: number | null,
): CallerErrorReport {
  const hint =
    retryAfterMs === null
      ? 'outcome=not_run'
      : `outcome=not_run retry_after_ms=${Math.ceil(retryAfterMs)}`;
  return {severity, sqlState, message, hint, outcome: 'notRun'};
}

/**
 * Whether the proxy or a system behind it is at fault, not the caller. Such
 * errors count against the availability objective.
 *
 * @public
 */
export function isServiceFault(error: CallerError): boolean {
  switch (error.kind) {
    case 'overloaded':
    case 'unavailable':
    case 'shuttingDown':
    case 'outcomeUnknown':
      return true;
    default:
      return false;
  }
}
