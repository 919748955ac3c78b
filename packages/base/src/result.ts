/**
 * The result of an operation that can fail in normal operation.
 *
 * @public
 */
export type Result<T, E> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly error: E};

/**
 * Wraps a value as a success.
 *
 * @public
 */
export function success<T>(value: T): Result<T, never> {
  return {ok: true, value};
}

/**
 * Wraps an error as a failure.
 *
 * @public
 */
export function failure<E>(error: E): Result<never, E> {
  return {ok: false, error};
}
