import pg from 'pg';

/** What an error says of the statement that it answers. */

/** A failed statement as the caller must take it. @public */
export interface FailedStatement {
  /** Whether it was certainly not run, or may have been. */
  readonly outcome: 'notRun' | 'unknown';
  readonly sqlState: string | null;
  readonly retryAfterMs: number;
}

const DEFAULT_RETRY_AFTER_MS = 20;
const MAX_RETRY_AFTER_MS = 250;

/** Errors of the socket that come before any statement was sent. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'NOT_CONNECTED',
]);

/** Thrown when a statement could not be sent for want of a connection. @public */
export class NotConnectedError extends Error {
  readonly code = 'NOT_CONNECTED';

  constructor(cause: unknown) {
    super('No connection to the proxy', {cause});
  }
}

/** Reads an error of the driver. @public */
export function readFailure(error: unknown): FailedStatement {
  if (error instanceof pg.DatabaseError) {
    const hint = error.hint ?? '';
    const retryAfter = /retry_after_ms=(\d+)/.exec(hint)?.[1];
    return {
      outcome: isNotRun(error.code ?? '', hint) ? 'notRun' : 'unknown',
      sqlState: error.code ?? null,
      retryAfterMs: clampRetry(
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

/** An error of the backend server itself means that the statement failed whole. */
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

function clampRetry(retryAfterMs: number | null): number {
  const wantedMs = retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(1, wantedMs));
}
