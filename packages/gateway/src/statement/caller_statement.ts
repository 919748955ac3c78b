/**
 * Statements of callers, classified as far as the proxy needs. The text is kept
 * with the class because it is forwarded unchanged.
 */

/** Whether a prepared statement reads or writes. @public */
export type StatementAccess = 'read' | 'write';

/**
 * Content of a prepared statement.
 *
 * @public
 */
export interface PreparedStatement {
  readonly access: StatementAccess;
  /** Definition that follows the access in the text; forwarded unchanged. */
  readonly definitionText: string;
}

/** A classified statement. @public */
export type CallerStatement =
  | {readonly kind: 'begin'; readonly isReadOnly: boolean}
  | {readonly kind: 'commit'}
  | {readonly kind: 'rollback'}
  | {readonly kind: 'read'; readonly text: string}
  | {readonly kind: 'write'; readonly text: string}
  | {readonly kind: 'setValue'; readonly name: string; readonly value: string}
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly prepared: PreparedStatement;
    }
  | {
      readonly kind: 'execute';
      readonly name: string;
      /** The text after the name. */
      readonly argumentText: string;
    }
  | {readonly kind: 'closePrepared'; readonly name: string}
  | {readonly kind: 'malformed'; readonly reason: string};

/** One statement of a caller with its request id. @public */
export interface StatementRequest {
  readonly requestId: string;
  readonly statement: CallerStatement;
  /** Monotonic time at which the statement was received. */
  readonly receivedAtMs: number;
}
