import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import {
  getLaterPosition,
  isCovered,
  ORIGIN_POSITION,
  type LogPosition,
} from '@filbertrun/model/log_position.js';

/**
 * The places that a session has written up to or read from, one for each
 * database group. A read of the session must be answered from data that
 * covers its floor. Values never change; `raise` and `merge` give new ones.
 *
 * @public
 */
export class SessionFloors {
  private constructor(
    private readonly floors: ReadonlyMap<DatabaseGroupName, LogPosition>,
  ) {}

  /** The floors of a session that has done nothing yet. */
  static createEmpty(): SessionFloors {
    return new SessionFloors(new Map());
  }

  /** Floors from entries; of two entries for a group the later place holds. */
  static create(
    entries: Iterable<readonly [DatabaseGroupName, LogPosition]>,
  ): SessionFloors {
    let floors = SessionFloors.createEmpty();
    for (const [databaseGroup, place] of entries) {
      floors = floors.raise(databaseGroup, place);
    }
    return floors;
  }

  /** Number of database groups with a floor. */
  get size(): number {
    return this.floors.size;
  }

  /** The floor for a group, which is the origin when the session has none. */
  get(databaseGroup: DatabaseGroupName): LogPosition {
    return this.floors.get(databaseGroup) ?? ORIGIN_POSITION;
  }

  /** All floors, ordered by group name. */
  getEntries(): readonly (readonly [DatabaseGroupName, LogPosition])[] {
    return [...this.floors].sort(([left], [right]) => (left < right ? -1 : 1));
  }

  /** Raises the floor of a group; a lower place changes nothing. */
  raise(databaseGroup: DatabaseGroupName, place: LogPosition): SessionFloors {
    if (isCovered(place, this.get(databaseGroup))) {
      return this;
    }
    const floors = new Map(this.floors);
    floors.set(databaseGroup, place);
    return new SessionFloors(floors);
  }

  /** The later floor of both for each group. */
  merge(other: SessionFloors): SessionFloors {
    const floors = new Map(this.floors);
    for (const [databaseGroup, place] of other.floors) {
      const own = floors.get(databaseGroup) ?? ORIGIN_POSITION;
      floors.set(databaseGroup, getLaterPosition(own, place));
    }
    return new SessionFloors(floors);
  }
}
