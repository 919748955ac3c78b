/**
 * Statements of callers, as far as the proxy has to understand them. The text
 * is kept beside the class, because it is sent on unchanged.
 */

/** Whether a prepared statement reads or writes. @public */
export type StatementAccess = 'read' | 'write';

/** What a prepared statement runs: its access and the shape of its text. @public */
export interface PreparedShape {
  readonly access: StatementAccess;
  readonly shape: string;
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
      readonly prepared: PreparedShape;
    }
  | {
      readonly kind: 'execute';
      readonly name: string;
      /** What follows the name in the text. */
      readonly argumentText: string;
    }
  | {readonly kind: 'closePrepared'; readonly name: string}
  | {readonly kind: 'malformed'; readonly reason: string};

/** One statement of a caller with its request id. @public */
export interface StatementRequest {
  readonly requestId: string;
  readonly statement: CallerStatement;
  /** Monotonic time at which the statement was read. */
  readonly receivedAtMs: number;
}
