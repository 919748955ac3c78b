import type {Clock} from '@filbertrun/base/clock.js';
import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import type {
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import {comparePositions} from '@filbertrun/model/log_position.js';
import type {InstanceControlError} from '../backend/instance_control.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {
  FenceChange,
  ReportedState,
} from '../observability/promotion_event.js';

/** Options of a {@link FenceLog}. @public */
export interface FenceLogOptions {
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly databaseGroup: DatabaseGroupName;
  readonly changeId: string;
}

/** A response to a fence request, as the log shows it. @public */
export interface LoggedFence {
  readonly reported: ReportedState;
  readonly isFenced: boolean;
  readonly confirmedAtMs: number;
}

/** Maximum length of an error, whose text may come from an instance. */
const MAX_ERROR_LENGTH = 120;

/**
 * Logs fences that no longer hold, and those that were renewed with another
 * start or end of log: such an instance may have confirmed commits of the old
 * term between the two responses.
 *
 * @public
 */
export class FenceLog {
  /** Error of the last request to each instance that did not respond. */
  private readonly lastErrors = new Map<BackendServerId, string>();
  /** Instances whose expired fence was logged. */
  private readonly expired = new Set<BackendServerId>();

  private constructor(private readonly options: FenceLogOptions) {}

  static create(options: FenceLogOptions): FenceLog {
    return new FenceLog(options);
  }

  /** Error of the last request to an instance; null if it had a response. */
  getLastError(backendServer: BackendServerId): string | null {
    return this.lastErrors.get(backendServer) ?? null;
  }

  recordError(
    backendServer: BackendServerId,
    error: InstanceControlError,
  ): void {
    this.lastErrors.set(backendServer, describeControlError(error));
  }

  /** Records a response, and logs how it differs from the one before. */
  recordResponse(
    backendServer: BackendServerId,
    previous: LoggedFence | null,
    current: LoggedFence,
  ): void {
    this.lastErrors.delete(backendServer);
    this.expired.delete(backendServer);
    if (previous === null || !previous.isFenced) {
      return;
    }
    const change = findFenceChange(previous, current);
    if (change !== null) {
      this.recordChange(backendServer, change, previous, current);
    }
  }

  /** Logs once that a fence was not confirmed in time. */
  recordExpired(backendServer: BackendServerId, previous: LoggedFence): void {
    if (previous.isFenced && !this.expired.has(backendServer)) {
      this.expired.add(backendServer);
      this.recordChange(backendServer, 'expired', previous, null);
    }
  }

  private recordChange(
    backendServer: BackendServerId,
    change: FenceChange,
    previous: LoggedFence,
    current: LoggedFence | null,
  ): void {
    const {clock, events, databaseGroup, changeId} = this.options;
    events.record({
      kind: 'fenceChanged',
      databaseGroup,
      changeId,
      backendServer,
      change,
      previous: previous.reported,
      previousAgeMs: clock.nowMs() - previous.confirmedAtMs,
      current: current?.reported ?? null,
      lastError: this.getLastError(backendServer),
    });
  }
}

/** How a fence differs from the one before; null if it does not. */
function findFenceChange(
  previous: LoggedFence,
  current: LoggedFence,
): FenceChange | null {
  if (!current.isFenced) {
    return 'lost';
  }
  const before = previous.reported;
  const after = current.reported;
  if (before.startedAtEpochMs !== after.startedAtEpochMs) {
    return 'restarted';
  }
  const order = comparePositions(
    after.receivedPosition,
    before.receivedPosition,
  );
  if (order === 0) {
    return null;
  }
  return order > 0 ? 'longerLog' : 'shorterLog';
}

function describeControlError(error: InstanceControlError): string {
  switch (error.kind) {
    case 'unreachable':
    case 'malformed':
      return `${error.kind}: ${error.reason}`.slice(0, MAX_ERROR_LENGTH);
    case 'rejected':
      return `rejected: ${error.code}`.slice(0, MAX_ERROR_LENGTH);
    case 'wrongServer':
      return 'another instance responds at its address';
    default:
      return exhaustiveSwitchError(error);
  }
}
