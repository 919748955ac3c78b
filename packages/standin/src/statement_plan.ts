import type {CompiledExpression} from './scope.js';
import type {Table, TableDefinition} from './database.js';
import type {SqlType} from './sql_value.js';
import type {UtilityStatement} from './utility_statement.js';

/**
 * Statements in the form in which they are run.
 */

/** A column of an answer. @internal */
export interface OutputColumn {
  readonly name: string;
  readonly type: SqlType;
  readonly expression: CompiledExpression;
}

/** Which rows of a table a statement touches. @internal */
export interface RowFilter {
  readonly predicates: readonly CompiledExpression[];
  /** Expressions for the whole primary key when the filter states it. */
  readonly keyLookup: readonly CompiledExpression[] | null;
}

/** How an answer is ordered. @internal */
export interface SortKey {
  readonly expression: CompiledExpression;
  readonly isDescending: boolean;
}

/** Where a SELECT takes its rows. @internal */
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
  /** Whether the columns are computed once over the number of rows. */
  readonly isCount: boolean;
  readonly sortKeys: readonly SortKey[];
  readonly limit: CompiledExpression | null;
  readonly offset: CompiledExpression | null;
  readonly isLocking: boolean;
  /** Seconds to wait before the answer. */
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

/** A call of the replication interface. @internal */
export interface GroupCallPlan {
  readonly kind: 'groupCall';
  readonly functionName: string;
  readonly arguments: readonly CompiledExpression[];
  readonly columns: readonly OutputColumn[];
}

/** A statement that controls a session or a transaction. @internal */
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

/** The body of a plan. @internal */
export type PlanBody =
  | SelectPlan
  | InsertPlan
  | UpdatePlan
  | DeletePlan
  | CreateTablePlan
  | GroupCallPlan
  | UtilityPlan
  | EmptyPlan;

/** A statement ready to run. @internal */
export interface StatementPlan {
  readonly body: PlanBody;
  readonly parameterTypes: readonly SqlType[];
}
