import {
  getLaterPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {PreparedStatement} from '../statement/caller_statement.js';

/** Maximum number of values that a session may set. */
const MAX_VALUES = 256;

/** Maximum number of prepared statements of a session. */
const MAX_PREPARED = 256;

/**
 * State of a caller's session: the values it has set, its prepared statements
 * and a floor per database group, the lowest log position that its reads need
 * to see its own commits. It is kept only in the proxy. A backend connection
 * receives the part that a statement needs before it runs the statement.
 *
 * @public
 */
export class SessionState {
  private readonly sessionValues = new Map<string, string>();
  private readonly prepared = new Map<string, PreparedStatement>();
  private readonly floors = new Map<string, LogPosition>();

  private constructor() {}

  static create(): SessionState {
    return new SessionState();
  }

  get values(): ReadonlyMap<string, string> {
    return this.sessionValues;
  }

  /** Sets a value; false if the session is at its limit. */
  setValue(name: string, value: string): boolean {
    if (
      !this.sessionValues.has(name) &&
      this.sessionValues.size >= MAX_VALUES
    ) {
      return false;
    }
    this.sessionValues.set(name, value);
    return true;
  }

  /** Stores a prepared statement; false if the session is at its limit. */
  prepare(name: string, statement: PreparedStatement): boolean {
    if (!this.prepared.has(name) && this.prepared.size >= MAX_PREPARED) {
      return false;
    }
    this.prepared.set(name, statement);
    return true;
  }

  closePrepared(name: string): void {
    this.prepared.delete(name);
  }

  getPrepared(name: string): PreparedStatement | null {
    return this.prepared.get(name) ?? null;
  }

  /** Lowest position that reads of the session must cover in a group, or null. */
  getFloor(databaseGroup: string): LogPosition | null {
    return this.floors.get(databaseGroup) ?? null;
  }

  /** Raises the floor of a group to a position if that is later. */
  raiseFloor(databaseGroup: string, position: LogPosition): void {
    const floor = this.floors.get(databaseGroup);
    this.floors.set(
      databaseGroup,
      floor === undefined ? position : getLaterPosition(floor, position),
    );
  }
}
