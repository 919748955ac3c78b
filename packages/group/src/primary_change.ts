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
import type {InstanceLinks} from './instance_links.js';

/** What a planned change needs. @internal */
export interface PrimaryChangeOptions {
  readonly databaseGroup: DatabaseGroupName;
  readonly clock: Clock;
  readonly peers: GroupPeers;
  readonly driver: FailoverDriver;
  readonly links: InstanceLinks;
}

/** Distance in log records within which the target may be caught up while writes wait. */
const NEAR_DISTANCE = 200;

/** Time that the target has to come near before writes are held. */
const APPROACH_LIMIT_MS = 5000;

/** Time for which new writes are held at most. */
const HOLD_LIMIT_MS = 1000;

/** Time within the hold for the last writes to end and reach the target. */
const CATCH_UP_LIMIT_MS = 150;

/** Pause between two looks at the primary. */
const LOOK_INTERVAL_MS = 10;

/** Time that the change itself may take after the hold. */
const CHANGE_LIMIT_MS = 800;

/**
 * The planned change of primary: the target catches up, new writes wait on
 * every proxy, the last ones reach the target, then the group is fenced and
 * the target promoted.
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
    if (this.options.links.get(target) === null) {
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
    const isNear = await this.waitUntil(APPROACH_LIMIT_MS, status =>
      isWithin(status, target, NEAR_DISTANCE),
    );
    if (!isNear) {
      return this.failApproach();
    }
    const {databaseGroup, peers} = this.options;
    peers.announceHold(databaseGroup, HOLD_LIMIT_MS);
    const isCaughtUp = await this.waitUntil(
      CATCH_UP_LIMIT_MS,
      createQuietCheck(target),
    );
    if (!isCaughtUp) {
      peers.announceHold(databaseGroup, 0);
      return failure({kind: 'targetBehind'});
    }
    const result = await this.promote(target);
    peers.announceHold(databaseGroup, 0);
    return result;
  }

  private failApproach(): Result<GroupView, PrimaryChangeError> {
    const primary = getServingPrimary(this.options.driver.getState());
    return failure({kind: primary === null ? 'noPrimary' : 'targetBehind'});
  }

  private async promote(
    target: BackendServerId,
  ): Promise<Result<GroupView, PrimaryChangeError>> {
    const {driver, clock} = this.options;
    const previousTerm = driver.getState().view?.term ?? 0;
    driver.handleEvent({kind: 'changeRequested', target});
    const deadlineMs = clock.nowMs() + CHANGE_LIMIT_MS;
    while (clock.nowMs() < deadlineMs) {
      const view = driver.getState().view;
      if (view !== null && view.term > previousTerm) {
        return view.primary === target
          ? success(view)
          : failure({kind: 'targetBehind'});
      }
      await sleep(this.options.clock, LOOK_INTERVAL_MS);
    }
    return failure({kind: 'outcomeUnknown', reason: 'no answer in time'});
  }

  /** Looks at the primary until `isReached` or the limit. */
  private async waitUntil(
    limitMs: number,
    isReached: (status: InstanceStatus) => boolean,
  ): Promise<boolean> {
    const deadlineMs = this.options.clock.nowMs() + limitMs;
    while (this.options.clock.nowMs() < deadlineMs) {
      const primary = getServingPrimary(this.options.driver.getState());
      const link = primary === null ? null : this.options.links.get(primary);
      const result = await link?.poll();
      if (result?.ok === true && isReached(result.value)) {
        return true;
      }
      await sleep(this.options.clock, LOOK_INTERVAL_MS);
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

/** Whether the log has stood still between two looks and the target holds it all. */
function createQuietCheck(
  target: BackendServerId,
): (status: InstanceStatus) => boolean {
  let previous: InstanceStatus | null = null;
  return status => {
    const isStill =
      previous !== null &&
      previous.position.term === status.position.term &&
      previous.position.position === status.position.position;
    previous = status;
    return isStill && isWithin(status, target, 0);
  };
}
