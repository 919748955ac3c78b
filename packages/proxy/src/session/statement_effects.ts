import type {StatementClass} from '@filbertrun/sql/statement_class.js';

/**
 * What a list of statements does to the session, worked out before it runs.
 */

/** The effects of one request. @public */
export interface StatementEffects {
  /** Whether every statement is a plain read; then the tables it names. */
  readonly readTables: readonly string[] | null;
  /** Whether the request can commit something. */
  readonly mayCommit: boolean;
  /** First feature that the proxy cannot give, or null. */
  readonly refusedFeature: string | null;
  /** Changes of run-time parameters that hold once the request has succeeded. */
  readonly parameterChanges: readonly ParameterChange[];
}

/** A change of a run-time parameter; null takes it back to its default. @public */
export interface ParameterChange {
  readonly parameter: string;
  readonly value: string | null;
}

/** The statements of a class, in order. @public */
export function listStatements(
  statementClass: StatementClass,
): readonly StatementClass[] {
  return statementClass.kind === 'multiple'
    ? statementClass.statements
    : [statementClass];
}

/** Works out the effects of statements that run one after the other. @public */
export function analyzeEffects(
  statements: readonly StatementClass[],
  startsInTransaction: boolean,
): StatementEffects {
  const readTables: string[] = [];
  const parameterChanges: ParameterChange[] = [];
  let isRead = true;
  let mayCommit = false;
  let refusedFeature: string | null = null;
  let isInTransaction = startsInTransaction;
  for (const statement of statements) {
    if (statement.kind !== 'read') {
      isRead = false;
    }
    switch (statement.kind) {
      case 'read':
        readTables.push(...statement.tables);
        break;
      case 'write':
        mayCommit ||= !isInTransaction;
        break;
      case 'transaction':
        if (statement.action === 'begin') {
          isInTransaction = true;
        } else if (statement.action !== 'savepoint') {
          mayCommit ||= statement.action === 'commit';
          isInTransaction = false;
        }
        break;
      case 'set':
        if (!statement.isLocal) {
          parameterChanges.push(statement);
        }
        break;
      case 'reset':
        if (statement.parameter !== null) {
          parameterChanges.push({parameter: statement.parameter, value: null});
        }
        break;
      case 'refused':
        refusedFeature ??= statement.feature;
        break;
      case 'prepare':
      case 'execute':
        refusedFeature ??= 'PREPARE and EXECUTE as SQL';
        break;
      case 'multiple':
        refusedFeature ??= 'nested statements';
        break;
      case 'show':
      case 'discard':
      case 'deallocate':
      case 'empty':
        break;
    }
  }
  return {
    readTables: isRead && statements.length > 0 ? readTables : null,
    mayCommit,
    refusedFeature,
    parameterChanges,
  };
}
