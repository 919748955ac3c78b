import type {PreparedShape} from '../statement/caller_statement.js';
import type {BackendCommand, BackendLink} from './backend_link.js';

/** Session state that a backend connection must show to a statement. @public */
export interface SessionContext {
  readonly values: ReadonlyMap<string, string>;
  /** Shape that the statement executes, or null. */
  readonly prepared: PreparedShape | null;
}

/** Prepared names that a connection keeps before it is cleared. */
const MAX_PREPARED_NAMES = 200;

/**
 * A backend connection with the session state that it holds, so that one
 * session never runs with the values or prepared names of another.
 *
 * @public
 */
export class PooledLink {
  private values = new Map<string, string>();
  private preparedNames = new Set<string>();

  private constructor(readonly link: BackendLink) {}

  static create(link: BackendLink): PooledLink {
    return new PooledLink(link);
  }

  /** Whether the connection already shows the state that a statement needs. */
  isPreparedFor(context: SessionContext): boolean {
    return this.planPreparation(context).length === 0;
  }

  /**
   * The commands that give the connection the state of a session. Each must
   * succeed before the statement is sent.
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
    const name = getSharedName(prepared);
    if (mustReset || !this.preparedNames.has(name)) {
      commands.push({kind: 'prepare', name, prepared});
    }
    return commands;
  }

  /** Records a preparation command that the server has acknowledged. */
  recordPrepared(command: BackendCommand): void {
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

  /** Forgets a prepared name that the server turned out not to know. */
  forgetPrepared(prepared: PreparedShape): void {
    this.preparedNames.delete(getSharedName(prepared));
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

/**
 * The name under which all sessions share a prepared statement on a
 * connection. Sessions choose the same names for different shapes, so the
 * shape itself is the name.
 *
 * @public
 */
export function getSharedName(prepared: PreparedShape): string {
  return `${prepared.access === 'read' ? 'r' : 'w'}_${prepared.shape}`;
}
