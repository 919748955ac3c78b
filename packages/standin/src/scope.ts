import {SQL_STATE, SqlError} from './sql_error.js';
import type {Row, SqlType, SqlValue} from './sql_value.js';

/**
 * Name resolution for the expressions of a statement, and their compiled form.
 */

/** Values other than the row that an expression can refer to. @internal */
export interface EvaluationContext {
  readonly parameters: readonly SqlValue[];
  /** Process identifier from the connection's BackendKeyData. */
  readonly processId: number;
}

/** A compiled expression. @internal */
export interface CompiledExpression {
  /** Null for a literal or parameter whose type is not known. */
  readonly type: SqlType | null;
  /** Default name of the output column. */
  readonly name: string;
  evaluate(row: Row, context: EvaluationContext): SqlValue;
}

/** A column that an expression can refer to. @internal */
export interface ScopeColumn {
  readonly name: string;
  readonly type: SqlType;
}

/** Columns and parameters that expressions can refer to. @internal */
export class Scope {
  /** Types of `$1`, `$2`, …; null where none has been inferred yet. */
  readonly parameterTypes: (SqlType | null)[] = [];

  private constructor(
    readonly relation: string | null,
    readonly columns: readonly ScopeColumn[],
  ) {}

  static create(
    relation: string | null,
    columns: readonly ScopeColumn[],
  ): Scope {
    return new Scope(relation, columns);
  }

  getColumnIndex(name: string, relation: string | null): number {
    const isOtherRelation = relation !== null && relation !== this.relation;
    const index = this.columns.findIndex(column => column.name === name);
    if (index === -1 || isOtherRelation) {
      throw SqlError.create(
        SQL_STATE.undefinedColumn,
        `column "${name}" does not exist`,
      );
    }
    return index;
  }

  /** Records a parameter and its type; the first known type is kept. */
  recordParameter(index: number, type: SqlType | null): void {
    while (this.parameterTypes.length <= index) {
      this.parameterTypes.push(null);
    }
    this.parameterTypes[index] ??= type;
  }
}
