import type {
  Expr,
  FromCall,
  OrderByStatement,
  SelectFromStatement,
} from 'pgsql-ast-parser';
import type {Database} from './database.js';
import {compileExpression} from './expression.js';
import {Scope} from './scope.js';
import {compileGroupFunctionCall, isGroupFunction} from './group_functions.js';
import {SQL_STATE, SqlError, createNotSupportedError} from './sql_error.js';
import {
  compileFilter,
  compileOutputColumns,
  createPlan,
  getNamedTable,
  rejectClauses,
} from './clause_compiler.js';
import type {
  OutputColumn,
  SelectPlan,
  SelectSource,
  SortKey,
  StatementPlan,
} from './statement_plan.js';

/** Name of the column that holds the number of rows for count(*). */
const COUNT_COLUMN = 'count';

const UNSUPPORTED_CLAUSES = ['distinct', 'groupBy', 'having', 'skip'];

interface ResolvedSource {
  readonly source: SelectSource;
  readonly scope: Scope;
}

/** Compiles a SELECT. @internal */
export function compileSelect(
  statement: SelectFromStatement,
  database: Database,
): StatementPlan {
  rejectClauses(statement, UNSUPPORTED_CLAUSES);
  const from = statement.from?.[0];
  if (from?.type === 'call' && isGroupFunction(from.function.name)) {
    return compileGroupFunctionCall(from);
  }
  const {source, scope} = resolveSource(statement, database);
  const sleep = findSleep(statement);
  if (sleep !== null) {
    return compileSleep(sleep, scope);
  }
  const isCount = statement.columns?.some(({expr}) => hasCount(expr)) ?? false;
  const columns = isCount
    ? compileCountColumns(statement, scope)
    : compileOutputColumns(statement.columns, scope);
  const table = source.kind === 'table' ? source.table : null;
  const body: SelectPlan = {
    kind: 'select',
    source,
    columns,
    filter: compileFilter(statement.where, scope, table),
    isCount,
    sortKeys: isCount ? [] : compileOrder(statement, columns, scope, source),
    limit: compileRowCount(statement.limit?.limit, scope),
    offset: compileRowCount(statement.limit?.offset, scope),
    isLocking: statement.for !== undefined && statement.for !== null,
    sleep: null,
  };
  return createPlan(body, scope);
}

function resolveSource(
  statement: SelectFromStatement,
  database: Database,
): ResolvedSource {
  const from = statement.from ?? [];
  const [first] = from;
  if (first === undefined) {
    return {source: {kind: 'none'}, scope: Scope.create(null, [])};
  }
  if (from.length > 1) {
    throw createNotSupportedError('A join');
  }
  rejectClauses(first, ['join', 'lateral', 'withOrdinality']);
  if (first.type === 'call') {
    return resolveSeries(first);
  }
  if (first.type !== 'table') {
    throw createNotSupportedError('A subquery');
  }
  const table = getNamedTable(first.name, database);
  const {name, columns} = table.definition;
  const scope = Scope.create(first.name.alias ?? name, columns);
  return {source: {kind: 'table', table}, scope};
}

function resolveSeries(from: FromCall): ResolvedSource {
  const [first, last, step] = from.args;
  const isSeries = from.function.name === 'generate_series';
  if (!isSeries || !first || !last || step !== undefined) {
    throw createNotSupportedError(`The function ${from.function.name} in FROM`);
  }
  const argumentScope = Scope.create(null, []);
  const compiledFirst = compileExpression(first, argumentScope, 'int8');
  const compiledLast = compileExpression(last, argumentScope, 'int8');
  const isInt8 = compiledFirst.type === 'int8' || compiledLast.type === 'int8';
  const name = from.alias?.columns?.[0]?.name ?? from.alias?.name;
  const scope = Scope.create(from.alias?.name ?? 'generate_series', [
    {name: name ?? 'generate_series', type: isInt8 ? 'int8' : 'int4'},
  ]);
  for (const [index, type] of argumentScope.parameterTypes.entries()) {
    scope.recordParameter(index, type);
  }
  return {
    source: {kind: 'series', first: compiledFirst, last: compiledLast},
    scope,
  };
}

function findSleep(statement: SelectFromStatement): Expr | null {
  const expression = statement.columns?.[0]?.expr;
  if (expression?.type !== 'call' || expression.function.name !== 'pg_sleep') {
    return null;
  }
  const isAlone = statement.columns?.length === 1;
  const hasSource = (statement.from?.length ?? 0) > 0;
  const [seconds] = expression.args;
  if (!isAlone || hasSource || seconds === undefined) {
    throw createNotSupportedError('pg_sleep together with other expressions');
  }
  return seconds;
}

function compileSleep(seconds: Expr, scope: Scope): StatementPlan {
  const sleep = compileExpression(seconds, scope, 'float8');
  const expression = {
    type: 'void',
    name: 'pg_sleep',
    evaluate: () => '',
  } as const;
  const body: SelectPlan = {
    kind: 'select',
    source: {kind: 'none'},
    columns: [{name: 'pg_sleep', type: 'void', expression}],
    filter: {predicates: [], keyLookup: null},
    isCount: false,
    sortKeys: [],
    limit: null,
    offset: null,
    isLocking: false,
    sleep,
  };
  return createPlan(body, scope);
}

function hasCount(expression: Expr): boolean {
  if (expression.type === 'cast') {
    return hasCount(expression.operand);
  }
  return (
    expression.type === 'call' && expression.function.name === COUNT_COLUMN
  );
}

/** Compiles columns over a row that holds only the number of rows. */
function compileCountColumns(
  statement: SelectFromStatement,
  scope: Scope,
): readonly OutputColumn[] {
  const countScope = Scope.create(null, [{name: COUNT_COLUMN, type: 'int8'}]);
  const selected = (statement.columns ?? []).map(column => {
    if (!hasCount(column.expr)) {
      throw SqlError.create(
        SQL_STATE.groupingError,
        'a column must be count(*) when another one is',
      );
    }
    return {...column, expr: replaceCount(column.expr)};
  });
  rejectClauses(statement, ['for', 'orderBy']);
  const columns = compileOutputColumns(selected, countScope);
  for (const [index, type] of countScope.parameterTypes.entries()) {
    scope.recordParameter(index, type);
  }
  return columns;
}

function replaceCount(expression: Expr): Expr {
  if (expression.type === 'cast') {
    return {...expression, operand: replaceCount(expression.operand)};
  }
  if (expression.type === 'call') {
    const [argument] = expression.args;
    if (argument?.type === 'ref' && argument.name === '*') {
      return {type: 'ref', name: COUNT_COLUMN};
    }
  }
  throw createNotSupportedError('count of an expression');
}

function compileOrder(
  statement: SelectFromStatement,
  columns: readonly OutputColumn[],
  scope: Scope,
  source: SelectSource,
): readonly SortKey[] {
  const sortKeys = (statement.orderBy ?? []).map(order =>
    compileSortKey(order, columns, scope),
  );
  if (source.kind !== 'series') {
    return sortKeys;
  }
  for (const [index, {isDescending}] of sortKeys.entries()) {
    const by = statement.orderBy?.[index]?.by;
    // A series is already in the ascending order of its column.
    if (isDescending || by?.type !== 'ref' || columns.length !== 1) {
      throw createNotSupportedError('Sorting generate_series');
    }
  }
  return [];
}

function compileSortKey(
  order: OrderByStatement,
  columns: readonly OutputColumn[],
  scope: Scope,
): SortKey {
  const {by} = order;
  const isDescending = order.order === 'DESC';
  rejectClauses(order, ['nulls']);
  if (by.type === 'integer') {
    const column = columns[by.value - 1];
    if (column === undefined) {
      throw SqlError.create(
        SQL_STATE.undefinedColumn,
        `ORDER BY position ${by.value} is not in select list`,
      );
    }
    return {expression: column.expression, isDescending};
  }
  const named =
    by.type === 'ref' && by.table === undefined
      ? columns.find(column => column.name === by.name)
      : undefined;
  const expression = named?.expression ?? compileExpression(by, scope);
  return {expression, isDescending};
}

function compileRowCount(bound: Expr | null | undefined, scope: Scope) {
  if (bound === null || bound === undefined) {
    return null;
  }
  return compileExpression(bound, scope, 'int8');
}
