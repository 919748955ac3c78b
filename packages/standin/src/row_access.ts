import type {RowKey, Table} from './database.js';
import type {EvaluationContext} from './scope.js';
import type {Row, SqlValue} from './sql_value.js';
import type {OutputColumn, RowFilter} from './statement_plan.js';
import type {Transaction} from './transaction.js';

/**
 * Finds rows as a transaction sees them: the committed rows, overlaid with its
 * own changes.
 */

/** Row for expressions that refer to no column. @internal */
export const EMPTY_ROW: Row = [];

/** Returns the row with a key as a transaction sees it, or null. @internal */
export function getVisibleRow(
  table: Table,
  key: RowKey,
  transaction: Transaction | null,
): Row | null {
  const staged = transaction?.getOverlay(table.definition.name)?.get(key);
  return staged === undefined ? (table.rows.get(key) ?? null) : staged;
}

/** Returns the rows visible to a transaction that match a filter. @internal */
export function findRows(
  table: Table,
  filter: RowFilter,
  transaction: Transaction | null,
  context: EvaluationContext,
): readonly Row[] {
  if (filter.keyLookup !== null) {
    const row = findRowByKey(table, filter, transaction, context);
    return row !== null && matchesAll(filter, row, context) ? [row] : [];
  }
  const overlay = transaction?.getOverlay(table.definition.name) ?? null;
  const found: Row[] = [];
  for (const [key, row] of table.rows) {
    const isStaged = overlay?.has(key) ?? false;
    if (!isStaged && matchesAll(filter, row, context)) {
      found.push(row);
    }
  }
  for (const row of overlay?.values() ?? []) {
    if (row !== null && matchesAll(filter, row, context)) {
      found.push(row);
    }
  }
  return found;
}

function findRowByKey(
  table: Table,
  filter: RowFilter,
  transaction: Transaction | null,
  context: EvaluationContext,
): Row | null {
  const values: SqlValue[] = [];
  for (const expression of filter.keyLookup ?? []) {
    values.push(expression.evaluate(EMPTY_ROW, context));
  }
  const [singleValue] = values;
  const key =
    values.length === 1 && singleValue !== undefined
      ? singleValue
      : JSON.stringify(values);
  return getVisibleRow(table, key, transaction);
}

/** Whether a row matches every predicate of a filter. @internal */
export function matchesAll(
  filter: RowFilter,
  row: Row,
  context: EvaluationContext,
): boolean {
  for (const predicate of filter.predicates) {
    if (predicate.evaluate(row, context) !== true) {
      return false;
    }
  }
  return true;
}

/** Computes the output columns for each row. @internal */
export function projectRows(
  rows: readonly Row[],
  columns: readonly OutputColumn[],
  context: EvaluationContext,
): readonly Row[] {
  if (columns.length === 0) {
    return [];
  }
  return rows.map(row => projectRow(row, columns, context));
}

/** Computes the output columns for one row. @internal */
export function projectRow(
  row: Row,
  columns: readonly OutputColumn[],
  context: EvaluationContext,
): Row {
  return columns.map(column => column.expression.evaluate(row, context));
}
