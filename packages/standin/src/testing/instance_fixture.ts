import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {StatementResult} from '../statement_result.js';
import type {
  ConnectionListener,
  DatabaseConnection,
} from '../database_connection.js';
import {InstanceCore, type InstanceLimits} from '../instance_core.js';
import type {Row, SqlValue} from '../sql_value.js';

/** Limits without simulated latency. @internal */
export const FAST_LIMITS: InstanceLimits = {
  slots: 100,
  maxConnections: 100,
  connectTimeMs: 0,
  serviceTimeMs: 0,
  lockTimeoutMs: 10_000,
};

const NOOP_LISTENER: ConnectionListener = {
  handleRoleChanged: () => {},
  handleMajority: () => {},
  handleCancelled: () => {},
  handleTerminated: () => {},
};

/** Creates a primary without replicas on a virtual clock. @internal */
export function createPrimary(limits: InstanceLimits = FAST_LIMITS) {
  const clock = VirtualClock.create();
  const core = InstanceCore.create({
    backendServer: 'a',
    peers: [],
    clock,
    limits,
    sendReplicationMessage: () => {},
    defer: callback => {
      clock.startTimer(0, callback);
    },
  });
  core.bootstrap(true);
  return {clock, core};
}

/** Opens a connection to an instance. @internal */
export function openConnection(core: InstanceCore): DatabaseConnection {
  const opened = core.openConnection(NOOP_LISTENER, 0, new Map());
  if (!opened.ok) {
    throw opened.error;
  }
  return opened.value;
}

/**
 * Runs a statement like a simple query: it is committed when it ends unless a
 * transaction block is open.
 *
 * @internal
 */
export async function runSql(
  core: InstanceCore,
  connection: DatabaseConnection,
  sql: string,
  parameters: readonly SqlValue[] = [],
): Promise<readonly Row[]> {
  try {
    const plan = core.statements.getPlan(sql);
    const pending: StatementResult | Promise<StatementResult> =
      connection.execute(plan, parameters);
    const result = pending instanceof Promise ? await pending : pending;
    const rows = [...result.rows];
    connection.commitImplicit();
    return rows;
  } catch (error) {
    connection.handleStatementFailed();
    throw error;
  }
}

/** Returns the SQLSTATE of a failed statement, or null. @internal */
export async function getSqlState(
  statement: Promise<unknown>,
): Promise<string | null> {
  try {
    await statement;
    return null;
  } catch (error) {
    return (error as {readonly sqlState?: string}).sqlState ?? String(error);
  }
}
