import pg from 'pg';

/** Derives the outcome of a statement from the error of the driver. */

/** A failed statement, as a caller has to interpret it. @public */
export interface StatementFailure {
  /** `notRun` if it certainly was not executed, `unknown` otherwise. */
  readonly outcome: 'notRun' | 'unknown';
  readonly sqlState: string | null;
  readonly retryAfterMs: number;
}

const DEFAULT_RETRY_AFTER_MS = 20;
const MAX_RETRY_AFTER_MS = 250;

/** Error codes that occur before any statement has been sent. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'NOT_CONNECTED',
]);

/** Thrown when a statement was not sent because connecting failed. @public */
export class NotConnectedError extends Error {
  readonly code = 'NOT_CONNECTED';

  constructor(cause: unknown) {
    super('Could not connect to the proxy', {cause});
  }
}

/** Classifies an error of the driver. @public */
export function classifyFailure(error: unknown): StatementFailure {
  if (error instanceof pg.DatabaseError) {
    const hint = error.hint ?? '';
    const retryAfter = /retry_after_ms=(\d+)/.exec(hint)?.[1];
    return {
      outcome: isNotRun(error.code ?? '', hint) ? 'notRun' : 'unknown',
      sqlState: error.code ?? null,
      retryAfterMs: clampRetryDelay(
        retryAfter === undefined ? null : Number(retryAfter),
      ),
    };
  }
  return {
    outcome: NOT_CONNECTED_CODES.has(getErrorCode(error))
      ? 'notRun'
      : 'unknown',
    sqlState: null,
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  };
}

/**
 * A SQLSTATE other than a connection or shutdown error comes from the backend
 * server itself and means that the statement had no effect.
 */
function isNotRun(sqlState: string, hint: string): boolean {
  return hint.includes('outcome=not_run') || !/^(08|57P0)/.test(sqlState);
}

function getErrorCode(error: unknown): string {
  const code: unknown =
    typeof error === 'object' && error !== null && 'code' in error
      ? error.code
      : null;
  return typeof code === 'string' ? code : '';
}

function clampRetryDelay(retryAfterMs: number | null): number {
  const requestedMs = retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(1, requestedMs));
}
