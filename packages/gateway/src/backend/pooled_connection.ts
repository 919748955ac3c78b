import {createHash} from 'node:crypto';
import type {ConnectionIdentity} from '@filbertrun/pool/pool_types.js';
import type {PreparedStatement} from '../statement/caller_statement.js';
import type {BackendCommand, BackendConnection} from './backend_connection.js';

/** Session state that a statement needs on its backend connection. @public */
export interface SessionContext {
  readonly values: ReadonlyMap<string, string>;
  /** Prepared statement that is executed, or null. */
  readonly prepared: PreparedStatement | null;
}

/** Number of prepared statements at which a connection is reset. */
const MAX_PREPARED_NAMES = 200;

/**
 * Backend connection that tracks its session state, so that a session never
 * runs with the values or prepared statements of another session.
 *
 * @public
 */
export class PooledConnection {
  private values = new Map<string, string>();
  private preparedNames = new Set<string>();

  private constructor(
    readonly connection: BackendConnection,
    readonly identity: ConnectionIdentity,
  ) {}

  static create(
    connection: BackendConnection,
    identity: ConnectionIdentity,
  ): PooledConnection {
    return new PooledConnection(connection, identity);
  }

  /** Whether the connection already has the state that a statement needs. */
  isPreparedFor(context: SessionContext): boolean {
    return this.planPreparation(context).length === 0;
  }

  /**
   * Returns the commands that bring the connection to the state of a session.
   * All must succeed before the statement is sent.
   */
  planPreparation(context: SessionContext): readonly BackendCommand[] {
    const commands: BackendCommand[] = [];
    const mustReset =
      this.hasSurplusValue(context.values) ||
      this.preparedNames.size >= MAX_PREPARED_NAMES;
    if (mustReset) {
      commands.push({kind: 'reset'});
    }
    for (const [name, value] of context.values) {
      if (mustReset || this.values.get(name) !== value) {
        commands.push({kind: 'setValue', name, value});
      }
    }
    const {prepared} = context;
    if (prepared === null) {
      return commands;
    }
    const name = getPreparedStatementName(prepared);
    if (mustReset || !this.preparedNames.has(name)) {
      commands.push({kind: 'prepare', name, prepared});
    }
    return commands;
  }

  /** Updates the tracked state after the server has acknowledged a command. */
  recordPreparation(command: BackendCommand): void {
    switch (command.kind) {
      case 'reset':
        this.values = new Map();
        this.preparedNames = new Set();
        return;
      case 'setValue':
        this.values.set(command.name, command.value);
        return;
      case 'prepare':
        this.preparedNames.add(command.name);
        return;
      default:
        return;
    }
  }

  /** Removes a prepared statement that the server reported as unknown. */
  removePrepared(prepared: PreparedStatement): void {
    this.preparedNames.delete(getPreparedStatementName(prepared));
  }

  private hasSurplusValue(values: ReadonlyMap<string, string>): boolean {
    for (const name of this.values.keys()) {
      if (!values.has(name)) {
        return true;
      }
    }
    return false;
  }
}

/** A definition that can be part of a name. */
const PLAIN_DEFINITION = /^[A-Za-z0-9_.-]{1,64}$/;

/**
 * Returns the name under which all sessions share a prepared statement on a
 * connection. Different sessions may use one name for different statements, so
 * the name is derived from the statement itself. A definition may hold blanks,
 * which end a name, and be long; such a one is named by its digest. No name of a
 * digest equals one of a plain definition.
 *
 * @public
 */
export function getPreparedStatementName({
  access,
  definitionText,
}: PreparedStatement): string {
  const prefix = access === 'read' ? 'r' : 'w';
  if (PLAIN_DEFINITION.test(definitionText)) {
    return `${prefix}_${definitionText}`;
  }
  const digest = createHash('sha256').update(definitionText).digest('hex');
  return `${prefix}h_${digest}`;
}
