import type {
  ColumnConstraint,
  CreateColumnDef,
  CreateTableStatement,
} from 'pgsql-ast-parser';
import type {ColumnDefinition} from './database.js';
import {compileExpression} from './expression.js';
import {Scope} from './scope.js';
import {SQL_STATE, SqlError, createNotSupportedError} from './sql_error.js';
import {convertValue, getTypeByName, type SqlValue} from './sql_value.js';
import type {CreateTablePlan} from './statement_plan.js';

/** Compiles a CREATE TABLE statement; a primary key is required. @internal */
export function compileCreateTable(
  statement: CreateTableStatement,
): CreateTablePlan {
  if (statement.temporary === true || statement.unlogged === true) {
    throw createNotSupportedError('A table that is not logged');
  }
  if (statement.inherits !== undefined) {
    throw createNotSupportedError('INHERITS');
  }
  const columns: ColumnDefinition[] = [];
  const keyNames: string[] = [];
  for (const column of statement.columns) {
    if (column.kind !== 'column') {
      throw createNotSupportedError('LIKE');
    }
    columns.push(compileColumn(column));
    if (column.constraints?.some(({type}) => type === 'primary key')) {
      keyNames.push(column.name.name);
    }
  }
  for (const constraint of statement.constraints ?? []) {
    if (constraint.type !== 'primary key') {
      throw createNotSupportedError(`The constraint "${constraint.type}"`);
    }
    keyNames.push(...constraint.columns.map(({name}) => name));
  }
  if (keyNames.length === 0) {
    throw createNotSupportedError('A table without a primary key');
  }
  return {
    kind: 'createTable',
    definition: {
      name: statement.name.name,
      columns: markKeyNotNull(columns, keyNames),
      primaryKey: keyNames.map(name => getColumnIndex(columns, name)),
    },
    ifNotExists: statement.ifNotExists === true,
    columns: [],
  };
}

function compileColumn(column: CreateColumnDef): ColumnDefinition {
  const dataType = column.dataType;
  if (dataType.kind === 'array') {
    throw createNotSupportedError('An array type');
  }
  const type = getTypeByName(dataType.name);
  let isNotNull = false;
  let defaultValue: SqlValue = null;
  for (const constraint of column.constraints ?? []) {
    switch (constraint.type) {
      case 'not null':
        isNotNull = true;
        break;
      case 'default':
        defaultValue = convertValue(evaluateDefault(constraint), type);
        break;
      case 'null':
      case 'primary key':
        break;
      default:
        throw createNotSupportedError(`The constraint "${constraint.type}"`);
    }
  }
  return {name: column.name.name, type, isNotNull, defaultValue};
}

function evaluateDefault(
  constraint: Extract<ColumnConstraint, {type: 'default'}>,
): SqlValue {
  const scope = Scope.create(null, []);
  const expression = compileExpression(constraint.default, scope);
  return expression.evaluate([], {parameters: [], processId: 0});
}

function markKeyNotNull(
  columns: readonly ColumnDefinition[],
  keyNames: readonly string[],
): readonly ColumnDefinition[] {
  return columns.map(column => ({
    ...column,
    isNotNull: column.isNotNull || keyNames.includes(column.name),
  }));
}

function getColumnIndex(
  columns: readonly ColumnDefinition[],
  name: string,
): number {
  const index = columns.findIndex(column => column.name === name);
  if (index === -1) {
    throw SqlError.create(
      SQL_STATE.undefinedColumn,
      `column "${name}" named in key does not exist`,
    );
  }
  return index;
}
