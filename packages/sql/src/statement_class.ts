/**
 * Classification of SQL texts, by which the proxy routes and handles them.
 */

/** The class of an SQL text, which may contain several statements. @public */
export type StatementClass =
  /**
   * Provably read-only: no side effects, no locks, only allow-listed functions.
   */
  | {readonly kind: 'read'; readonly tables: readonly string[]}
  /** Any statement that is not provably read-only. */
  | {readonly kind: 'write'}
  | {
      readonly kind: 'transaction';
      readonly action: 'begin' | 'commit' | 'rollback' | 'savepoint';
      /** Whether BEGIN specifies READ ONLY. */
      readonly isReadOnly: boolean;
    }
  | {
      readonly kind: 'set';
      readonly parameter: string;
      readonly value: string | null;
      readonly isLocal: boolean;
    }
  | {readonly kind: 'show'; readonly parameter: string}
  | {readonly kind: 'reset'; readonly parameter: string | null}
  | {readonly kind: 'discard'}
  | {readonly kind: 'prepare'; readonly name: string}
  | {readonly kind: 'execute'; readonly name: string}
  | {readonly kind: 'deallocate'; readonly name: string | null}
  /** Uses a feature that transaction pooling does not support. */
  | {readonly kind: 'refused'; readonly feature: string}
  | {readonly kind: 'empty'}
  /** A text with several statements, in order. */
  | {readonly kind: 'multiple'; readonly statements: readonly StatementClass[]};

/** The class of a text and its idempotency key. @public */
export interface ClassifiedStatement {
  readonly statementClass: StatementClass;
  /** Idempotency key from a leading comment `request_key='…'`, or null. */
  readonly requestKey: string | null;
}

/** Classifies SQL texts. @public */
export interface StatementClassifier {
  classify(sql: string): ClassifiedStatement;
}
