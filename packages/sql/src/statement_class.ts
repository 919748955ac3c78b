/**
 * What the proxy needs to know of a statement before it runs it.
 */

/** The class of one SQL text, which can hold several statements. @public */
export type StatementClass =
  /** A plain read: no side effect, no lock, only known functions. */
  | {readonly kind: 'read'; readonly tables: readonly string[]}
  /** Anything that is not provably a plain read. */
  | {readonly kind: 'write'}
  | {
      readonly kind: 'transaction';
      readonly action: 'begin' | 'commit' | 'rollback' | 'savepoint';
      /** Whether BEGIN states READ ONLY. */
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
  /** What transaction pooling cannot give. */
  | {readonly kind: 'refused'; readonly feature: string}
  | {readonly kind: 'empty'}
  /** Several statements in one text, in order. */
  | {readonly kind: 'multiple'; readonly statements: readonly StatementClass[]};

/** A classified text. @public */
export interface ClassifiedStatement {
  readonly statementClass: StatementClass;
  /** Idempotency key of a leading comment of the form `request_key='…'`, or null. */
  readonly requestKey: string | null;
}

/** Classifies SQL texts. @public */
export interface StatementClassifier {
  classify(sql: string): ClassifiedStatement;
}
