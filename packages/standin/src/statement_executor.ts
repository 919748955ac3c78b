import {getRowKey, type Database, type RowKey, type Table} from './database.js';
import type {EvaluationContext} from './expression.js';
import {SQL_STATE, SqlError} from './sql_error.js';
import {
  compareValues,
  convertValue,
  type Row,
  type SqlValue,
} from './sql_value.js';
import type {
  DeletePlan,
  InsertPlan,
  OutputColumn,
  RowFilter,
  SelectPlan,
  UpdatePlan,
} from './statement_plan.js';
import type {RowIntent, Transaction} from './transaction.js';

/**
 * Runs compiled statements against the committed rows and the transaction's
 * own. Each function runs whole, so a statement sees one state; nothing is
 * changed here, the caller stages the intents once it holds their locks.
 */

/** What a statement wants to change and answer. @internal */
export interface StatementEffect {
  readonly intents: readonly RowIntent[];
  /** The rows of the answer, which may be computed while they are taken. */
  readonly rows: Iterable<Row>;
  /** Whether `rows` is computed while it is taken. */
  readonly isStreamed: boolean;
  /** What to report once no other transaction holds the rows, or null. */
  readonly error: SqlError | null;
  /** Rows inserted, updated or deleted. */
  readonly affectedRows: number;
}

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
    const matches = matchesAll(plan.filter, NO_ROW, context);
    const rows = plan.isCount ? [[matches ? 1 : 0]] : matches ? [NO_ROW] : [];
    return createReadEffect(
      project(rows.slice(offset, offset + limit), plan.columns, context),
      false,
    );
  }
  const {table} = plan.source;
  const found = findRows(table, plan.filter, transaction, context);
  if (plan.isCount) {
    const counted = [[found.length]].slice(offset, offset + limit);
    return createReadEffect(project(counted, plan.columns, context), false);
  }
  const sorted = sortRows(found, plan, context);
  const chosen = sorted.slice(offset, offset + limit);
  const intents = plan.isLocking ? createLockIntents(table, chosen) : [];
  const rows = project(chosen, plan.columns, context);
  return {intents, rows, isStreamed: false, error: null, affectedRows: 0};
}

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
    const isTaken =
      inserted.has(key) || getVisibleRow(table, key, transaction) !== null;
    if (!isTaken) {
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
  const rows = project([...inserted.values()], plan.columns, context);
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
  const freed = new Set(removals.map(({key}) => key));
  const kept = new Set(found.map(row => getRowKey(table.definition, row)));
  const seen = new Set<RowKey>();
  for (const {key} of additions) {
    const isVisible = getVisibleRow(table, key, transaction) !== null;
    const isTaken = isVisible && !kept.has(key) && !freed.has(key);
    if (isTaken || seen.has(key)) {
      return createDuplicateEffect(table, key);
    }
    seen.add(key);
  }
  return {
    intents: [...removals, ...additions],
    rows: project(updated, plan.columns, context),
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
    rows: project(found, plan.columns, context),
    isStreamed: false,
    error: null,
    affectedRows: found.length,
  };
}

/** Reports a duplicate once no other transaction can still free the key. */
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

const NO_ROW: Row = [];

const UNLIMITED = Number.MAX_SAFE_INTEGER;

function createReadEffect(
  rows: Iterable<Row>,
  isStreamed: boolean,
): StatementEffect {
  return {intents: [], rows, isStreamed, error: null, affectedRows: 0};
}

function getVisibleRow(
  table: Table,
  key: RowKey,
  transaction: Transaction | null,
): Row | null {
  const staged = transaction?.getOverlay(table.definition.name)?.get(key);
  return staged === undefined ? (table.rows.get(key) ?? null) : staged;
}

function findRows(
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
    values.push(expression.evaluate(NO_ROW, context));
  }
  const [only] = values;
  const key =
    values.length === 1 && only !== undefined ? only : JSON.stringify(values);
  return getVisibleRow(table, key, transaction);
}

function matchesAll(
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

function project(
  rows: readonly Row[],
  columns: readonly OutputColumn[],
  context: EvaluationContext,
): readonly Row[] {
  if (columns.length === 0) {
    return [];
  }
  return rows.map(row => projectRow(row, columns, context));
}

function projectRow(
  row: Row,
  columns: readonly OutputColumn[],
  context: EvaluationContext,
): Row {
  return columns.map(column => column.expression.evaluate(row, context));
}

function evaluateBounds(plan: SelectPlan, context: EvaluationContext) {
  const limit = plan.limit?.evaluate(NO_ROW, context) ?? null;
  const offset = plan.offset?.evaluate(NO_ROW, context) ?? null;
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

/** Null sorts after every value. */
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

function createRow(
  table: Table,
  expressions: InsertPlan['rows'][number],
  context: EvaluationContext,
): Row {
  const row = table.definition.columns.map((column, index) => {
    const value = expressions[index]?.evaluate(NO_ROW, context) ?? null;
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

function* streamSeries(
  plan: SelectPlan,
  context: EvaluationContext,
): Generator<Row> {
  if (plan.source.kind !== 'series') {
    return;
  }
  const first = Number(plan.source.first.evaluate(NO_ROW, context));
  const last = Number(plan.source.last.evaluate(NO_ROW, context));
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

/** Refuses a table that exists. @internal */
export function checkTableIsNew(database: Database, name: string): void {
  if (database.findTable(name) !== null) {
    throw SqlError.create(
      SQL_STATE.duplicateTable,
      `relation "${name}" already exists`,
    );
  }
}
