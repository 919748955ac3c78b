import type {Clock} from '@filbertrun/base/clock.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import {SessionFloors} from '@filbertrun/session/session_floors.js';
import type {ReadTarget} from '../proxy_metrics.js';
import {NO_PARAMETERS, type ParameterValues} from './session_parameters.js';

/**
 * State that a session keeps from one statement to the next.
 *
 * @public
 */
export class SessionState {
  /** Run-time parameters to apply to each connection. */
  parameters: ParameterValues = NO_PARAMETERS;
  /** Name of the application; selects the read rules. */
  application = '';
  /** Idempotency key for the next write, or null. */
  requestKey: string | null = null;
  /**
   * Kind of instance that answered the current request, if it is a read outside
   * a transaction; otherwise null.
   */
  readTarget: ReadTarget | null = null;
  private floors = SessionFloors.createEmpty();

  private floorRaisedAtMs = -Infinity;

  private constructor(
    readonly databaseGroup: DatabaseGroupName,
    private readonly clock: Clock,
  ) {}

  static create(databaseGroup: DatabaseGroupName, clock: Clock): SessionState {
    return new SessionState(databaseGroup, clock);
  }

  /**
   * Time since this proxy last received a floor position. The log has held
   * that position for at least this long.
   */
  getFloorAgeMs(): number {
    return this.clock.nowMs() - this.floorRaisedAtMs;
  }

  /** Lowest log position that reads of this session must cover. */
  getFloor(): LogPosition {
    return this.floors.get(this.databaseGroup);
  }

  getFloors(): SessionFloors {
    return this.floors;
  }

  /** Raises the floor to `position`; returns whether it changed. */
  raiseFloor(position: LogPosition): boolean {
    const raised = this.floors.raise(this.databaseGroup, position);
    const isRaised = raised !== this.floors;
    this.floors = raised;
    this.floorRaisedAtMs = this.clock.nowMs();
    return isRaised;
  }

  /** Raises the floors to those of a session token. */
  mergeFloors(floors: SessionFloors): void {
    this.floors = this.floors.merge(floors);
    this.floorRaisedAtMs = this.clock.nowMs();
  }
}
