import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import {
  getLaterPosition,
  isCovered,
  ORIGIN_POSITION,
  type LogPosition,
} from '@filbertrun/model/log_position.js';

/**
 * The floors of a session: for each database group, the latest position that
 * the session has written or read. A read of the session requires data that
 * covers the floor. Instances are immutable; `raise` and `merge` return new
 * ones.
 *
 * @public
 */
export class SessionFloors {
  private constructor(
    private readonly floors: ReadonlyMap<DatabaseGroupName, LogPosition>,
  ) {}

  /** Creates the floors of a new session. */
  static createEmpty(): SessionFloors {
    return new SessionFloors(new Map());
  }

  /** Creates floors from entries. The latest position of each group is used. */
  static create(
    entries: Iterable<readonly [DatabaseGroupName, LogPosition]>,
  ): SessionFloors {
    let floors = SessionFloors.createEmpty();
    for (const [databaseGroup, position] of entries) {
      floors = floors.raise(databaseGroup, position);
    }
    return floors;
  }

  /** Number of database groups with a floor. */
  get size(): number {
    return this.floors.size;
  }

  /** Returns the floor for a group, or the origin if there is none. */
  get(databaseGroup: DatabaseGroupName): LogPosition {
    return this.floors.get(databaseGroup) ?? ORIGIN_POSITION;
  }

  /** Returns all floors, ordered by group name. */
  getEntries(): readonly (readonly [DatabaseGroupName, LogPosition])[] {
    return [...this.floors].sort(([left], [right]) => (left < right ? -1 : 1));
  }

  /** Raises the floor of a group. An earlier position has no effect. */
  raise(
    databaseGroup: DatabaseGroupName,
    position: LogPosition,
  ): SessionFloors {
    if (isCovered(position, this.get(databaseGroup))) {
      return this;
    }
    const floors = new Map(this.floors);
    floors.set(databaseGroup, position);
    return new SessionFloors(floors);
  }

  /** Combines two sets of floors, with the later floor for each group. */
  merge(other: SessionFloors): SessionFloors {
    const floors = new Map(this.floors);
    for (const [databaseGroup, position] of other.floors) {
      const current = floors.get(databaseGroup) ?? ORIGIN_POSITION;
      floors.set(databaseGroup, getLaterPosition(current, position));
    }
    return new SessionFloors(floors);
  }
}
