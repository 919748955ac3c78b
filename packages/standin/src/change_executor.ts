import {getRowKey, type Database, type RowKey, type Table} from './database.js';
import {EMPTY_ROW, findRows, getVisibleRow, projectRows} from './row_access.js';
import type {EvaluationContext} from './scope.js';
import {SQL_STATE, SqlError} from './sql_error.js';
import {convertValue, type Row} from './sql_value.js';
import type {StatementEffect} from './statement_effect.js';
import type {DeletePlan, InsertPlan, UpdatePlan} from './statement_plan.js';
import type {RowIntent, Transaction} from './transaction.js';

/**
 * Runs INSERT, UPDATE and DELETE. Each function runs synchronously, so a
 * statement sees one consistent state. It changes nothing itself: the
 * connection stages the returned intents once it holds the row locks.
 */

/** Runs an INSERT. @internal */
export function runInsert(
  plan: InsertPlan,
  transaction: Transaction | null,
  context: EvaluationContext,
): StatementEffect {
  const {table} = plan;
  const inserted = new Map<RowKey, Row>();
  const intents: RowIntent[] = [];
  for (const expressions of plan.rows) {
    const row = createRow(table, expressions, context);
    const key = getRowKey(table.definition, row);
    const isDuplicate =
      inserted.has(key) || getVisibleRow(table, key, transaction) !== null;
    if (!isDuplicate) {
      inserted.set(key, row);
      intents.push({
        kind: 'change',
        table: table.definition.name,
        key,
        after: row,
      });
      continue;
    }
    if (!plan.ignoresConflicts) {
      return createDuplicateEffect(table, key);
    }
    intents.push({kind: 'check', table: table.definition.name, key});
  }
  const rows = projectRows([...inserted.values()], plan.columns, context);
  return {
    intents,
    rows,
    isStreamed: false,
    error: null,
    affectedRows: inserted.size,
  };
}

/** Runs an UPDATE. @internal */
export function runUpdate(
  plan: UpdatePlan,
  transaction: Transaction | null,
  context: EvaluationContext,
): StatementEffect {
  const {table} = plan;
  const {name} = table.definition;
  const found = findRows(table, plan.filter, transaction, context);
  const updated: Row[] = [];
  const removals: RowIntent[] = [];
  const additions: RowIntent[] = [];
  for (const row of found) {
    const next = updateRow(plan, row, context);
    const key = getRowKey(table.definition, row);
    const nextKey = getRowKey(table.definition, next);
    if (nextKey !== key) {
      removals.push({kind: 'change', table: name, key, after: null});
    }
    additions.push({kind: 'change', table: name, key: nextKey, after: next});
    updated.push(next);
  }
  const removedKeys = new Set(removals.map(({key}) => key));
  const foundKeys = new Set(found.map(row => getRowKey(table.definition, row)));
  const addedKeys = new Set<RowKey>();
  for (const {key} of additions) {
    const isVisible = getVisibleRow(table, key, transaction) !== null;
    const isDuplicate =
      isVisible && !foundKeys.has(key) && !removedKeys.has(key);
    if (isDuplicate || addedKeys.has(key)) {
      return createDuplicateEffect(table, key);
    }
    addedKeys.add(key);
  }
  return {
    intents: [...removals, ...additions],
    rows: projectRows(updated, plan.columns, context),
    isStreamed: false,
    error: null,
    affectedRows: updated.length,
  };
}

/** Runs a DELETE. @internal */
export function runDelete(
  plan: DeletePlan,
  transaction: Transaction | null,
  context: EvaluationContext,
): StatementEffect {
  const {table} = plan;
  const found = findRows(table, plan.filter, transaction, context);
  const intents = found.map((row): RowIntent => ({
    kind: 'change',
    table: table.definition.name,
    key: getRowKey(table.definition, row),
    after: null,
  }));
  return {
    intents,
    rows: projectRows(found, plan.columns, context),
    isStreamed: false,
    error: null,
    affectedRows: found.length,
  };
}

/**
 * Reports a duplicate key. The check intent delays the error until no other
 * open transaction holds the key, since that one could still free it.
 */
function createDuplicateEffect(table: Table, key: RowKey): StatementEffect {
  const {name} = table.definition;
  return {
    intents: [{kind: 'check', table: name, key}],
    rows: [],
    isStreamed: false,
    error: SqlError.create(
      SQL_STATE.uniqueViolation,
      `duplicate key value violates unique constraint "${name}_pkey"`,
    ),
    affectedRows: 0,
  };
}

function createRow(
  table: Table,
  expressions: InsertPlan['rows'][number],
  context: EvaluationContext,
): Row {
  const row = table.definition.columns.map((column, index) => {
    const value = expressions[index]?.evaluate(EMPTY_ROW, context) ?? null;
    return convertValue(value, column.type);
  });
  checkNotNull(table, row);
  return row;
}

function updateRow(
  plan: UpdatePlan,
  row: Row,
  context: EvaluationContext,
): Row {
  const next = [...row];
  for (const {columnIndex, expression} of plan.assignments) {
    const column = plan.table.definition.columns[columnIndex];
    const value = expression.evaluate(row, context);
    next[columnIndex] = convertValue(value, column?.type ?? 'text');
  }
  checkNotNull(plan.table, next);
  return next;
}

function checkNotNull(table: Table, row: Row): void {
  for (const [index, column] of table.definition.columns.entries()) {
    if (column.isNotNull && row[index] === null) {
      throw SqlError.create(
        SQL_STATE.notNullViolation,
        `null value in column "${column.name}" of relation "${table.definition.name}" violates not-null constraint`,
      );
    }
  }
}

/** Throws if the table already exists. @internal */
export function checkTableDoesNotExist(database: Database, name: string): void {
  if (database.findTable(name) !== null) {
    throw SqlError.create(
      SQL_STATE.duplicateTable,
      `relation "${name}" already exists`,
    );
  }
}
