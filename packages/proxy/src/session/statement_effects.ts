import type {StatementClass} from '@filbertrun/sql/statement_class.js';

/**
 * Determines how a list of statements affects the session, before it runs.
 */

/** Effects of a request on its session. @public */
export interface StatementEffects {
  /** Tables that the request reads if it consists of reads only, or null. */
  readonly readTables: readonly string[] | null;
  /** Whether the request can commit changes. */
  readonly mayCommit: boolean;
  /** First feature in the request that the proxy does not support, or null. */
  readonly refusedFeature: string | null;
  /** Run-time parameters that the request changes if it succeeds. */
  readonly parameterChanges: readonly ParameterChange[];
}

/** A change of a run-time parameter; null resets it to its default. @public */
export interface ParameterChange {
  readonly parameter: string;
  readonly value: string | null;
}

/** Lists the statements of a simple query in order. @public */
export function listStatements(
  statementClass: StatementClass,
): readonly StatementClass[] {
  return statementClass.kind === 'multiple'
    ? statementClass.statements
    : [statementClass];
}

/** Determines the effects of statements that run in sequence. @public */
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
