import type {Clock} from '@filbertrun/base/clock.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import {SessionFloors} from '@filbertrun/session/session_floors.js';
import type {ReadTarget} from '../proxy_metrics.js';
import {NO_PARAMETERS, type ParameterValues} from './session_parameters.js';

/**
 * What a session carries from statement to statement.
 *
 * @public
 */
export class SessionState {
  /** Run-time parameters to replay on each connection. */
  parameters: ParameterValues = NO_PARAMETERS;
  /** Name of the application, which chooses the read rules. */
  application = '';
  /** Idempotency key for the next write, or null. */
  requestKey: string | null = null;
  /** Who answered the running statement, when it is a plain read. */
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

  /** Time for which this proxy has known the floor; the log held it before. */
  getFloorAgeMs(): number {
    return this.clock.nowMs() - this.floorRaisedAtMs;
  }

  /** Place that a read of this session must cover. */
  getFloor(): LogPosition {
    return this.floors.get(this.databaseGroup);
  }

  getFloors(): SessionFloors {
    return this.floors;
  }

  /** Raises the floor; whether that changed it. */
  raiseFloor(position: LogPosition): boolean {
    const raised = this.floors.raise(this.databaseGroup, position);
    const isRaised = raised !== this.floors;
    this.floors = raised;
    this.floorRaisedAtMs = this.clock.nowMs();
    return isRaised;
  }

  /** Takes the floors of a token as well. */
  mergeFloors(floors: SessionFloors): void {
    this.floors = this.floors.merge(floors);
    this.floorRaisedAtMs = this.clock.nowMs();
  }
}
