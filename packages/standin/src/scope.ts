import {SQL_STATE, SqlError} from './sql_error.js';
import type {Row, SqlType, SqlValue} from './sql_value.js';

/**
 * What the expressions of a statement may name, and their compiled form.
 */

/** What an expression can refer to besides the row. @internal */
export interface EvaluationContext {
  readonly parameters: readonly SqlValue[];
  /** Process identifier that the connection reported at its start. */
  readonly processId: number;
}

/** A compiled expression. @internal */
export interface CompiledExpression {
  /** Null for a literal or parameter whose type nothing states. */
  readonly type: SqlType | null;
  /** Column name that an answer gives the value. */
  readonly name: string;
  evaluate(row: Row, context: EvaluationContext): SqlValue;
}

/** A column that an expression may name. @internal */
export interface ScopeColumn {
  readonly name: string;
  readonly type: SqlType;
}

/** What the expressions of a statement may name. @internal */
export class Scope {
  /** Types of `$1`, `$2`, …; null where nothing has stated one yet. */
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

  noteParameter(index: number, type: SqlType | null): void {
    while (this.parameterTypes.length <= index) {
      this.parameterTypes.push(null);
    }
    this.parameterTypes[index] ??= type;
  }
}
