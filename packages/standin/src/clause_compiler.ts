import type {Expr, SelectedColumn} from 'pgsql-ast-parser';
import type {Database, Table} from './database.js';
import {
  compileExpression,
  compileOperands,
  splitConjunction,
} from './expression.js';
import {Scope, type CompiledExpression} from './scope.js';
import {SQL_STATE, SqlError, createNotSupportedError} from './sql_error.js';
import type {
  Assignment,
  OutputColumn,
  PlanBody,
  RowFilter,
  StatementPlan,
} from './statement_plan.js';

/**
 * Compiles clauses that several kinds of statements share.
 */

/** Creates a plan with the parameter types inferred in its scope. @internal */
export function createPlan(body: PlanBody, scope: Scope): StatementPlan {
  const parameterTypes = scope.parameterTypes.map(type => type ?? 'text');
  return {body, parameterTypes};
}

/** Throws if a statement has one of the given clauses. @internal */
export function rejectClauses(
  statement: object,
  clauseNames: readonly string[],
): void {
  const clauses = statement as Readonly<Record<string, unknown>>;
  for (const name of clauseNames) {
    if (clauses[name] !== undefined && clauses[name] !== null) {
      throw createNotSupportedError(`The clause "${name}"`);
    }
  }
}

/** Looks up the table that a statement names. @internal */
export function getNamedTable(
  name: {readonly name: string; readonly schema?: string},
  database: Database,
): Table {
  if (name.schema !== undefined && name.schema !== 'public') {
    throw SqlError.create(
      SQL_STATE.undefinedTable,
      `relation "${name.schema}.${name.name}" does not exist`,
    );
  }
  return database.getTable(name.name);
}

/**
 * Compiles a WHERE clause. If it compares every column of the primary key with
 * a literal or a parameter, the filter gets a key lookup.
 *
 * @internal
 */
export function compileFilter(
  where: Expr | null | undefined,
  scope: Scope,
  table: Table | null,
): RowFilter {
  if (where === null || where === undefined) {
    return {predicates: [], keyLookup: null};
  }
  const predicates: CompiledExpression[] = [];
  const equalities = new Map<number, CompiledExpression>();
  for (const part of splitConjunction(where)) {
    const predicate = compileExpression(part, scope);
    if (predicate.type !== 'bool') {
      throw createNotSupportedError('A condition that is not a comparison');
    }
    predicates.push(predicate);
    const equality = findColumnEquality(part, scope);
    if (equality !== null) {
      equalities.set(equality.columnIndex, equality.expression);
    }
  }
  const keyLookup = table === null ? null : findKeyLookup(table, equalities);
  return {predicates, keyLookup};
}

function findColumnEquality(part: Expr, scope: Scope): Assignment | null {
  if (part.type !== 'binary' || part.op !== '=' || part.left.type !== 'ref') {
    return null;
  }
  const isConstant =
    part.right.type === 'parameter' ||
    part.right.type === 'integer' ||
    part.right.type === 'string';
  if (!isConstant) {
    return null;
  }
  const relation = part.left.table?.name ?? null;
  const columnIndex = scope.getColumnIndex(part.left.name, relation);
  const [, expression] = compileOperands(part, scope);
  return {columnIndex, expression};
}

function findKeyLookup(
  table: Table,
  equalities: ReadonlyMap<number, CompiledExpression>,
): readonly CompiledExpression[] | null {
  const lookup: CompiledExpression[] = [];
  for (const index of table.definition.primaryKey) {
    const expression = equalities.get(index);
    if (expression === undefined) {
      return null;
    }
    lookup.push(expression);
  }
  return lookup;
}

/** Compiles the columns of a result. @internal */
export function compileOutputColumns(
  selected: readonly SelectedColumn[] | null | undefined,
  scope: Scope,
): readonly OutputColumn[] {
  const columns: OutputColumn[] = [];
  for (const {expr, alias} of selected ?? []) {
    if (expr.type === 'ref' && expr.name === '*') {
      columns.push(...expandStar(scope));
      continue;
    }
    const expression = compileExpression(expr, scope);
    columns.push({
      name: alias?.name ?? expression.name,
      type: expression.type ?? 'text',
      expression,
    });
  }
  return columns;
}

function expandStar(scope: Scope): readonly OutputColumn[] {
  return scope.columns.map(column => ({
    name: column.name,
    type: column.type,
    expression: compileExpression({type: 'ref', name: column.name}, scope),
  }));
}
