import {
  getLaterPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {PreparedShape} from '../statement/caller_statement.js';

/** Values that a session may set. */
const MAX_VALUES = 256;

/** Names that a session may prepare. */
const MAX_PREPARED = 256;

/**
 * What a session has set and prepared, and the log position that its own
 * commits have reached. It exists only here; backend connections are given
 * what a statement needs of it.
 *
 * @public
 */
export class SessionState {
  private readonly sessionValues = new Map<string, string>();
  private readonly prepared = new Map<string, PreparedShape>();
  private readonly floors = new Map<string, LogPosition>();

  private constructor() {}

  static create(): SessionState {
    return new SessionState();
  }

  get values(): ReadonlyMap<string, string> {
    return this.sessionValues;
  }

  /** Sets a value; false when the session holds too many. */
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

  /** Prepares a name; false when the session holds too many. */
  prepare(name: string, shape: PreparedShape): boolean {
    if (!this.prepared.has(name) && this.prepared.size >= MAX_PREPARED) {
      return false;
    }
    this.prepared.set(name, shape);
    return true;
  }

  closePrepared(name: string): void {
    this.prepared.delete(name);
  }

  getPrepared(name: string): PreparedShape | null {
    return this.prepared.get(name) ?? null;
  }

  /** Position that reads of the session must cover in a group, or null. */
  getFloor(databaseGroup: string): LogPosition | null {
    return this.floors.get(databaseGroup) ?? null;
  }

  raiseFloor(databaseGroup: string, position: LogPosition): void {
    const floor = this.floors.get(databaseGroup);
    this.floors.set(
      databaseGroup,
      floor === undefined ? position : getLaterPosition(floor, position),
    );
  }
}
