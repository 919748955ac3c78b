import {getRowKey, type Table} from './database.js';
import {
  EMPTY_ROW,
  findRows,
  matchesAll,
  projectRows,
  projectRow,
} from './row_access.js';
import type {EvaluationContext} from './scope.js';
import {SQL_STATE, SqlError} from './sql_error.js';
import {compareValues, type Row, type SqlValue} from './sql_value.js';
import type {StatementEffect} from './statement_effect.js';
import type {SelectPlan} from './statement_plan.js';
import type {RowIntent, Transaction} from './transaction.js';

/**
 * Runs SELECT. Only generate_series is streamed: its rows are computed lazily.
 */

/** Limit of a statement without LIMIT. */
const UNLIMITED = Number.MAX_SAFE_INTEGER;

/** Runs a SELECT. @internal */
export function runSelect(
  plan: SelectPlan,
  transaction: Transaction | null,
  context: EvaluationContext,
): StatementEffect {
  if (plan.source.kind === 'series') {
    return createReadEffect(streamSeries(plan, context), true);
  }
  const {limit, offset} = evaluateBounds(plan, context);
  if (plan.source.kind === 'none') {
    const matches = matchesAll(plan.filter, EMPTY_ROW, context);
    const rows = plan.isCount
      ? [[matches ? 1 : 0]]
      : matches
        ? [EMPTY_ROW]
        : [];
    return createReadEffect(
      projectRows(rows.slice(offset, offset + limit), plan.columns, context),
      false,
    );
  }
  const {table} = plan.source;
  const found = findRows(table, plan.filter, transaction, context);
  if (plan.isCount) {
    const counted = [[found.length]].slice(offset, offset + limit);
    return createReadEffect(projectRows(counted, plan.columns, context), false);
  }
  const sorted = sortRows(found, plan, context);
  const chosen = sorted.slice(offset, offset + limit);
  const intents = plan.isLocking ? createLockIntents(table, chosen) : [];
  const rows = projectRows(chosen, plan.columns, context);
  return {intents, rows, isStreamed: false, error: null, affectedRows: 0};
}

function createReadEffect(
  rows: Iterable<Row>,
  isStreamed: boolean,
): StatementEffect {
  return {intents: [], rows, isStreamed, error: null, affectedRows: 0};
}

function evaluateBounds(plan: SelectPlan, context: EvaluationContext) {
  const limit = plan.limit?.evaluate(EMPTY_ROW, context) ?? null;
  const offset = plan.offset?.evaluate(EMPTY_ROW, context) ?? null;
  const bounds = {
    limit: limit === null ? UNLIMITED : Number(limit),
    offset: offset === null ? 0 : Number(offset),
  };
  if (bounds.limit < 0 || bounds.offset < 0) {
    throw SqlError.create(
      SQL_STATE.invalidParameterValue,
      'LIMIT and OFFSET must not be negative',
    );
  }
  return bounds;
}

function sortRows(
  rows: readonly Row[],
  plan: SelectPlan,
  context: EvaluationContext,
): readonly Row[] {
  if (plan.sortKeys.length === 0) {
    return rows;
  }
  const keyed = rows.map(row => ({
    row,
    keys: plan.sortKeys.map(({expression}) =>
      expression.evaluate(row, context),
    ),
  }));
  keyed.sort((left, right) => {
    for (const [index, {isDescending}] of plan.sortKeys.entries()) {
      const order = compareNullable(
        left.keys[index] ?? null,
        right.keys[index] ?? null,
      );
      if (order !== 0) {
        return isDescending ? -order : order;
      }
    }
    return 0;
  });
  return keyed.map(({row}) => row);
}

/** Compares two values; null sorts after all others. */
function compareNullable(left: SqlValue, right: SqlValue): number {
  if (left === null || right === null) {
    return Number(left === null) - Number(right === null);
  }
  return compareValues(left, right);
}

function createLockIntents(
  table: Table,
  rows: readonly Row[],
): readonly RowIntent[] {
  return rows.map(row => ({
    kind: 'lock',
    table: table.definition.name,
    key: getRowKey(table.definition, row),
  }));
}

function* streamSeries(
  plan: SelectPlan,
  context: EvaluationContext,
): Generator<Row> {
  if (plan.source.kind !== 'series') {
    return;
  }
  const first = Number(plan.source.first.evaluate(EMPTY_ROW, context));
  const last = Number(plan.source.last.evaluate(EMPTY_ROW, context));
  const {limit, offset} = evaluateBounds(plan, context);
  let matched = 0;
  for (let value = first; value <= last; value++) {
    if (!plan.isCount && matched >= offset + limit) {
      return;
    }
    const row = [value];
    if (!matchesAll(plan.filter, row, context)) {
      continue;
    }
    matched++;
    if (!plan.isCount && matched > offset) {
      yield projectRow(row, plan.columns, context);
    }
  }
  if (plan.isCount && limit > 0 && offset === 0) {
    yield projectRow([matched], plan.columns, context);
  }
}
