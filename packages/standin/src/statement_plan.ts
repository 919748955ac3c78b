import type {CompiledExpression} from './scope.js';
import type {Table, TableDefinition} from './database.js';
import type {SqlType} from './sql_value.js';
import type {UtilityStatement} from './utility_statement.js';

/**
 * Compiled statements.
 */

/** A column of a result. @internal */
export interface OutputColumn {
  readonly name: string;
  readonly type: SqlType;
  readonly expression: CompiledExpression;
}

/** Selects the rows of a table that a statement uses. @internal */
export interface RowFilter {
  readonly predicates: readonly CompiledExpression[];
  /** Primary key values if the filter fixes the whole key, or null. */
  readonly keyLookup: readonly CompiledExpression[] | null;
}

/** One key of an ORDER BY clause. @internal */
export interface SortKey {
  readonly expression: CompiledExpression;
  readonly isDescending: boolean;
}

/** Source of the rows of a SELECT. @internal */
export type SelectSource =
  | {readonly kind: 'none'}
  | {readonly kind: 'table'; readonly table: Table}
  | {
      readonly kind: 'series';
      readonly first: CompiledExpression;
      readonly last: CompiledExpression;
    };

/** A SELECT. @internal */
export interface SelectPlan {
  readonly kind: 'select';
  readonly source: SelectSource;
  readonly columns: readonly OutputColumn[];
  readonly filter: RowFilter;
  /** Whether the columns are computed from the number of rows only. */
  readonly isCount: boolean;
  readonly sortKeys: readonly SortKey[];
  readonly limit: CompiledExpression | null;
  readonly offset: CompiledExpression | null;
  readonly isLocking: boolean;
  /** Argument of pg_sleep in seconds, or null. */
  readonly sleep: CompiledExpression | null;
}

/** An INSERT with VALUES. @internal */
export interface InsertPlan {
  readonly kind: 'insert';
  readonly table: Table;
  /** One expression for each column of the table. */
  readonly rows: readonly (readonly CompiledExpression[])[];
  readonly ignoresConflicts: boolean;
  readonly columns: readonly OutputColumn[];
}

/** An assignment of an UPDATE. @internal */
export interface Assignment {
  readonly columnIndex: number;
  readonly expression: CompiledExpression;
}

/** An UPDATE. @internal */
export interface UpdatePlan {
  readonly kind: 'update';
  readonly table: Table;
  readonly filter: RowFilter;
  readonly assignments: readonly Assignment[];
  readonly columns: readonly OutputColumn[];
}

/** A DELETE. @internal */
export interface DeletePlan {
  readonly kind: 'delete';
  readonly table: Table;
  readonly filter: RowFilter;
  readonly columns: readonly OutputColumn[];
}

/** A CREATE TABLE. @internal */
export interface CreateTablePlan {
  readonly kind: 'createTable';
  readonly definition: TableDefinition;
  readonly ifNotExists: boolean;
  readonly columns: readonly OutputColumn[];
}

/** A call of a replication function of the group. @internal */
export interface GroupCallPlan {
  readonly kind: 'groupCall';
  readonly functionName: string;
  readonly arguments: readonly CompiledExpression[];
  readonly columns: readonly OutputColumn[];
}

/** A utility statement, which controls the session or transaction. @internal */
export interface UtilityPlan {
  readonly kind: 'utility';
  readonly statement: UtilityStatement;
  readonly columns: readonly OutputColumn[];
}

/** A text without a statement. @internal */
export interface EmptyPlan {
  readonly kind: 'empty';
  readonly columns: readonly OutputColumn[];
}

/** A compiled statement without its parameter types. @internal */
export type PlanBody =
  | SelectPlan
  | InsertPlan
  | UpdatePlan
  | DeletePlan
  | CreateTablePlan
  | GroupCallPlan
  | UtilityPlan
  | EmptyPlan;

/** A compiled statement that can be run with parameters. @internal */
export interface StatementPlan {
  readonly body: PlanBody;
  readonly parameterTypes: readonly SqlType[];
}
