import {
  comparePositions,
  getLaterPosition,
  isCovered,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';

/**
 * Chooses the instance to promote so that no acknowledged commit is lost. A
 * commit is acknowledged once the primary and one replica hold it, so it is
 * safe to choose among
 *
 * - the replicas, when every one of them is paused: nothing more can be
 *   acknowledged, and the one with the longest log holds all that was;
 * - the old primary and those that reach its log, once it has stepped down.
 */

/** What is known of one instance of the group. @public */
export interface FencedInstance {
  readonly backendServer: BackendServerId;
  readonly isOldPrimary: boolean;
  /** Whether it obeys the new term: a replica paused in it, a primary stepped down. */
  readonly isFenced: boolean;
  readonly isDraining: boolean;
  /** Whether it is in the availability zone of the holder of the failover duty. */
  readonly isBesideHolder: boolean;
  /** End of its log when it was fenced; null while unknown. */
  readonly receivedPosition: LogPosition | null;
}

/** The choice, or what it waits for. @public */
export type PromotionChoice =
  | {
      readonly kind: 'promote';
      readonly target: BackendServerId;
      readonly position: LogPosition;
    }
  | {readonly kind: 'wait'; readonly waitingFor: string};

/** Chooses the instance to promote. @public */
export function choosePromotionTarget(
  instances: readonly FencedInstance[],
  highestAcknowledged: LogPosition | null,
): PromotionChoice {
  const required = findRequiredPosition(instances);
  if (required.kind === 'wait') {
    return required;
  }
  const floor =
    highestAcknowledged === null
      ? required.position
      : getLaterPosition(required.position, highestAcknowledged);
  const best = findBest(instances, floor);
  if (best === null || best.receivedPosition === null) {
    return {
      kind: 'wait',
      waitingFor: 'an instance that holds every acknowledged commit',
    };
  }
  return {
    kind: 'promote',
    target: best.backendServer,
    position: best.receivedPosition,
  };
}

type RequiredPosition =
  | {readonly kind: 'known'; readonly position: LogPosition}
  | {readonly kind: 'wait'; readonly waitingFor: string};

/** The position that every acknowledged commit is at or before. */
function findRequiredPosition(
  instances: readonly FencedInstance[],
): RequiredPosition {
  const unfenced: BackendServerId[] = [];
  let longestReplica: LogPosition | null = null;
  let oldPrimaryEnd: LogPosition | null = null;
  for (const instance of instances) {
    const {receivedPosition, isFenced} = instance;
    if (instance.isOldPrimary) {
      oldPrimaryEnd = isFenced ? receivedPosition : null;
      continue;
    }
    if (!isFenced || receivedPosition === null) {
      unfenced.push(instance.backendServer);
      continue;
    }
    longestReplica =
      longestReplica === null
        ? receivedPosition
        : getLaterPosition(longestReplica, receivedPosition);
  }
  if (unfenced.length === 0 && longestReplica !== null) {
    return {kind: 'known', position: longestReplica};
  }
  if (oldPrimaryEnd !== null) {
    return {kind: 'known', position: oldPrimaryEnd};
  }
  return {
    kind: 'wait',
    waitingFor: `the old primary, or ${unfenced.join(', ') || 'a replica'}`,
  };
}

/** The best fenced instance whose log reaches `floor`. */
function findBest(
  instances: readonly FencedInstance[],
  floor: LogPosition,
): FencedInstance | null {
  let best: FencedInstance | null = null;
  for (const instance of instances) {
    const {receivedPosition, isFenced} = instance;
    if (!isFenced || receivedPosition === null) {
      continue;
    }
    if (!isCovered(floor, receivedPosition)) {
      continue;
    }
    if (best === null || isBetter(instance, best)) {
      best = instance;
    }
  }
  return best;
}

/** Prefers an instance that stays, then a former replica, then the longest log. */
function isBetter(left: FencedInstance, right: FencedInstance): boolean {
  if (left.isDraining !== right.isDraining) {
    return !left.isDraining;
  }
  if (left.isOldPrimary !== right.isOldPrimary) {
    return !left.isOldPrimary;
  }
  if (left.receivedPosition !== null && right.receivedPosition !== null) {
    const order = comparePositions(
      left.receivedPosition,
      right.receivedPosition,
    );
    if (order !== 0) {
      return order > 0;
    }
  }
  // Lost with its primaries, a holder could not replace them.
  return !left.isBesideHolder && right.isBesideHolder;
}
