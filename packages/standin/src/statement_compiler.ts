import type {
  DeleteStatement,
  Expr,
  InsertStatement,
  SelectFromStatement,
  Statement,
  UpdateStatement,
} from 'pgsql-ast-parser';
import {
  compileFilter,
  compileOutputColumns,
  createPlan,
  getNamedTable,
  rejectClauses,
} from './clause_compiler.js';
import {compileCreateTable} from './create_table_compiler.js';
import type {Database, Table} from './database.js';
import {compileExpression} from './expression.js';
import {Scope, type CompiledExpression} from './scope.js';
import {compileSelect} from './select_compiler.js';
import {SQL_STATE, SqlError, createNotSupportedError} from './sql_error.js';
import type {PlanBody, StatementPlan} from './statement_plan.js';
import type {SqlType} from './sql_value.js';

/**
 * Compiles parsed SQL statements against the tables of an instance.
 */

/** Compiles one statement. @internal */
export function compileStatement(
  statement: Statement,
  database: Database,
): StatementPlan {
  switch (statement.type) {
    case 'select':
      return compileSelect(statement as SelectFromStatement, database);
    case 'insert':
      return compileInsert(statement, database);
    case 'update':
      return compileUpdate(statement, database);
    case 'delete':
      return compileDelete(statement, database);
    case 'create table':
      return createPlan(compileCreateTable(statement), Scope.create(null, []));
    default:
      throw createNotSupportedError(`The statement "${statement.type}"`);
  }
}

function createTableScope(table: Table, alias: string | undefined): Scope {
  const {name, columns} = table.definition;
  return Scope.create(alias ?? name, columns);
}

function compileInsert(
  statement: InsertStatement,
  database: Database,
): StatementPlan {
  rejectClauses(statement, ['overriding']);
  const table = getNamedTable(statement.into, database);
  const scope = createTableScope(table, statement.into.alias);
  if (statement.insert.type !== 'values') {
    throw createNotSupportedError('INSERT without VALUES');
  }
  const conflict = statement.onConflict;
  if (conflict !== undefined && conflict !== null) {
    if (conflict.do !== 'do nothing') {
      throw createNotSupportedError('ON CONFLICT DO UPDATE');
    }
  }
  const targets = getInsertTargets(statement, table);
  const rows = statement.insert.values.map(values =>
    compileInsertRow(values, targets, table, scope),
  );
  const body: PlanBody = {
    kind: 'insert',
    table,
    rows,
    ignoresConflicts: conflict !== undefined && conflict !== null,
    columns: compileOutputColumns(statement.returning, scope),
  };
  return createPlan(body, scope);
}

function getInsertTargets(
  statement: InsertStatement,
  table: Table,
): readonly number[] {
  const {columns} = table.definition;
  if (statement.columns === undefined || statement.columns === null) {
    return columns.map((_, index) => index);
  }
  const scope = createTableScope(table, undefined);
  return statement.columns.map(({name}) => scope.getColumnIndex(name, null));
}

function compileInsertRow(
  values: readonly Expr[],
  targets: readonly number[],
  table: Table,
  scope: Scope,
): readonly CompiledExpression[] {
  if (values.length > targets.length) {
    throw SqlError.create(
      SQL_STATE.syntaxError,
      'INSERT has more expressions than target columns',
    );
  }
  const row: CompiledExpression[] = table.definition.columns.map(column => ({
    type: column.type,
    name: column.name,
    evaluate: () => column.defaultValue,
  }));
  for (const [position, value] of values.entries()) {
    const index = targets[position] ?? 0;
    if (value.type === 'default') {
      continue;
    }
    const type = table.definition.columns[index]?.type ?? 'text';
    row[index] = compileExpression(value, scope, type);
  }
  return row;
}

function compileUpdate(
  statement: UpdateStatement,
  database: Database,
): StatementPlan {
  rejectClauses(statement, ['from']);
  const table = getNamedTable(statement.table, database);
  const scope = createTableScope(table, statement.table.alias);
  const assignments = statement.sets.map(({column, value}) => {
    const columnIndex = scope.getColumnIndex(column.name, null);
    const type: SqlType = scope.columns[columnIndex]?.type ?? 'text';
    return {columnIndex, expression: compileExpression(value, scope, type)};
  });
  const body: PlanBody = {
    kind: 'update',
    table,
    filter: compileFilter(statement.where, scope, table),
    assignments,
    columns: compileOutputColumns(statement.returning, scope),
  };
  return createPlan(body, scope);
}

function compileDelete(
  statement: DeleteStatement,
  database: Database,
): StatementPlan {
  const table = getNamedTable(statement.from, database);
  const scope = createTableScope(table, undefined);
  const body: PlanBody = {
    kind: 'delete',
    table,
    filter: compileFilter(statement.where, scope, table),
    columns: compileOutputColumns(statement.returning, scope),
  };
  return createPlan(body, scope);
}
