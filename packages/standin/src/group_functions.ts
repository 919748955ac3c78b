import {formatBriefStatus} from '@filbertrun/group/brief_status.js';
import type {InstanceStatus} from '@filbertrun/group/instance_control.js';
import {formatPosition} from '@filbertrun/model/log_position.js';
import type {FromCall} from 'pgsql-ast-parser';
import {compileExpression} from './expression.js';
import {Scope} from './scope.js';
import {SQL_STATE, SqlError} from './sql_error.js';
import type {Row, SqlType} from './sql_value.js';
import type {OutputColumn, StatementPlan} from './statement_plan.js';

/**
 * The SQL functions of the replication interface, specified in
 * docs/design/instance_protocol.md.
 */

type ColumnList = readonly (readonly [string, SqlType])[];

interface GroupFunction {
  readonly argumentTypes: readonly SqlType[];
  readonly columns: ColumnList;
}

const STATUS_COLUMNS: ColumnList = [
  ['backend_server', 'text'],
  ['role', 'text'],
  ['term', 'int8'],
  ['claim_id', 'text'],
  ['log_position', 'text'],
  ['primary_server', 'text'],
  ['primary_silent_ms', 'int8'],
  ['replicas', 'text'],
];

const CALL_COLUMNS: ColumnList = [['accepted', 'bool'], ...STATUS_COLUMNS];

const GROUP_FUNCTIONS: ReadonlyMap<string, GroupFunction> = new Map([
  ['group_status', {argumentTypes: [], columns: STATUS_COLUMNS}],
  ['group_brief', {argumentTypes: [], columns: [['s', 'text']]}],
  [
    'group_raise_term',
    {argumentTypes: ['int8', 'text'], columns: CALL_COLUMNS},
  ],
  ['group_promote', {argumentTypes: ['int8', 'text'], columns: CALL_COLUMNS}],
  [
    'group_follow',
    {argumentTypes: ['int8', 'text', 'text'], columns: CALL_COLUMNS},
  ],
  [
    'group_confirm_term',
    {
      argumentTypes: [],
      columns: [
        ['term', 'int8'],
        ['log_position', 'text'],
        ['majority_position', 'text'],
      ],
    },
  ],
]);

/** Whether a function belongs to the replication interface. @internal */
export function isGroupFunction(name: string): boolean {
  return GROUP_FUNCTIONS.has(name);
}

/** Compiles a function call in FROM that selects all columns. @internal */
export function compileGroupFunctionCall(call: FromCall): StatementPlan {
  const functionName = call.function.name;
  const definition = GROUP_FUNCTIONS.get(functionName);
  if (definition?.argumentTypes.length !== call.args.length) {
    throw SqlError.create(
      SQL_STATE.undefinedObject,
      `function ${functionName} has other arguments`,
    );
  }
  const scope = Scope.create(null, []);
  const compiled = call.args.map((argument, index) =>
    compileExpression(argument, scope, definition.argumentTypes[index] ?? null),
  );
  return {
    body: {
      kind: 'groupCall',
      functionName,
      arguments: compiled,
      columns: createColumns(definition.columns),
    },
    parameterTypes: scope.parameterTypes.map(type => type ?? 'text'),
  };
}

function createColumns(columns: ColumnList): readonly OutputColumn[] {
  return columns.map(([name, type], index) => ({
    name,
    type,
    expression: {type, name, evaluate: row => row[index] ?? null},
  }));
}

/** Creates the result row of `group_brief`. @internal */
export function createBriefRow(status: InstanceStatus): Row {
  return [formatBriefStatus(status)];
}

/** Creates the result row of `group_status`. @internal */
export function createStatusRow(status: InstanceStatus): Row {
  const silentMs = status.primarySilentForMs;
  const replicas = status.replicas.map(replica => ({
    backendServer: replica.backendServer,
    confirmed: formatPosition(replica.confirmed),
    silentForMs: Math.round(replica.silentForMs),
  }));
  return [
    status.backendServer,
    status.role,
    status.term,
    status.claimId,
    formatPosition(status.position),
    status.primary,
    silentMs === null ? null : Math.round(silentMs),
    JSON.stringify(replicas),
  ];
}
