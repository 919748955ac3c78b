import type {Clock} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import {isCovered} from '@filbertrun/model/log_position.js';
import type {FailoverDriver} from './failover_driver.js';
import {getServingPrimary} from './failover_state.js';
import type {PrimaryChangeError} from './group_error.js';
import type {GroupPeers, GroupView} from './group_peers.js';
import type {InstanceStatus} from './instance_control.js';
import type {InstanceClients} from './instance_clients.js';

/** Dependencies of a planned change of primary. @internal */
export interface PrimaryChangeOptions {
  readonly databaseGroup: DatabaseGroupName;
  readonly clock: Clock;
  readonly peers: GroupPeers;
  readonly driver: FailoverDriver;
  readonly clients: InstanceClients;
}

/** Maximum lag of the target, in log records, when the write hold starts. */
const MAX_LAG_BEFORE_HOLD = 200;

/** Time for the target to reach that lag before writes are held. */
const CATCH_UP_BEFORE_HOLD_TIMEOUT_MS = 5000;

/** Maximum time for which new writes are held. */
const MAX_HOLD_MS = 1000;

/** Time within the hold for running writes to end and reach the target. */
const CATCH_UP_DURING_HOLD_TIMEOUT_MS = 150;

/** Interval between two polls of the primary. */
const POLL_INTERVAL_MS = 10;

/** Time limit of the promotion, after the target has caught up. */
const CHANGE_TIMEOUT_MS = 800;

/**
 * Runs a planned change of primary: the target catches up, every proxy holds
 * new writes, the last writes reach the target, and then the group is fenced
 * and the target promoted.
 *
 * @internal
 */
export class PrimaryChange {
  private isRunning = false;

  private constructor(private readonly options: PrimaryChangeOptions) {}

  static create(options: PrimaryChangeOptions): PrimaryChange {
    return new PrimaryChange(options);
  }

  async run(
    target: BackendServerId,
  ): Promise<Result<GroupView, PrimaryChangeError>> {
    if (this.isRunning) {
      return failure({kind: 'changeUnderWay'});
    }
    if (this.options.clients.get(target) === null) {
      return failure({kind: 'unknownTarget'});
    }
    const view = this.options.driver.getState().view;
    if (view?.primary === target) {
      return success(view);
    }
    this.isRunning = true;
    try {
      return await this.runSteps(target);
    } finally {
      this.isRunning = false;
    }
  }

  private async runSteps(
    target: BackendServerId,
  ): Promise<Result<GroupView, PrimaryChangeError>> {
    const isWithinLagLimit = await this.waitUntil(
      CATCH_UP_BEFORE_HOLD_TIMEOUT_MS,
      status => isWithin(status, target, MAX_LAG_BEFORE_HOLD),
    );
    if (!isWithinLagLimit) {
      return this.createCatchUpFailure();
    }
    const {databaseGroup, peers} = this.options;
    peers.announceWriteHold(databaseGroup, MAX_HOLD_MS);
    const isCaughtUp = await this.waitUntil(
      CATCH_UP_DURING_HOLD_TIMEOUT_MS,
      createCaughtUpCheck(target),
    );
    if (!isCaughtUp) {
      peers.announceWriteHold(databaseGroup, 0);
      return failure({kind: 'targetBehind'});
    }
    const result = await this.promote(target);
    peers.announceWriteHold(databaseGroup, 0);
    return result;
  }

  private createCatchUpFailure(): Result<GroupView, PrimaryChangeError> {
    const primary = getServingPrimary(this.options.driver.getState());
    return failure({kind: primary === null ? 'noPrimary' : 'targetBehind'});
  }

  private async promote(
    target: BackendServerId,
  ): Promise<Result<GroupView, PrimaryChangeError>> {
    const {driver, clock} = this.options;
    const previousTerm = driver.getState().view?.term ?? 0;
    driver.handleEvent({kind: 'changeRequested', target});
    const deadlineMs = clock.nowMs() + CHANGE_TIMEOUT_MS;
    while (clock.nowMs() < deadlineMs) {
      const view = driver.getState().view;
      if (view !== null && view.term > previousTerm) {
        return view.primary === target
          ? success(view)
          : failure({kind: 'targetBehind'});
      }
      await sleep(this.options.clock, POLL_INTERVAL_MS);
    }
    return failure({kind: 'outcomeUnknown', reason: 'no answer in time'});
  }

  /** Polls the primary until `isReached`, or returns false at the limit. */
  private async waitUntil(
    limitMs: number,
    isReached: (status: InstanceStatus) => boolean,
  ): Promise<boolean> {
    const deadlineMs = this.options.clock.nowMs() + limitMs;
    while (this.options.clock.nowMs() < deadlineMs) {
      const primary = getServingPrimary(this.options.driver.getState());
      const client =
        primary === null ? null : this.options.clients.get(primary);
      const result = await client?.poll();
      if (result?.ok === true && isReached(result.value)) {
        return true;
      }
      await sleep(this.options.clock, POLL_INTERVAL_MS);
    }
    return false;
  }
}

function isWithin(
  status: InstanceStatus,
  target: BackendServerId,
  distance: number,
): boolean {
  for (const replica of status.replicas) {
    if (replica.backendServer !== target) {
      continue;
    }
    const floor = {
      term: status.position.term,
      position: status.position.position - distance,
    };
    return isCovered(floor, replica.confirmed);
  }
  return false;
}

/**
 * Creates a check that the log has not advanced between two polls and that the
 * target holds all of it.
 */
function createCaughtUpCheck(
  target: BackendServerId,
): (status: InstanceStatus) => boolean {
  let previous: InstanceStatus | null = null;
  return status => {
    const isUnchanged =
      previous !== null &&
      previous.position.term === status.position.term &&
      previous.position.position === status.position.position;
    previous = status;
    return isUnchanged && isWithin(status, target, 0);
  };
}
