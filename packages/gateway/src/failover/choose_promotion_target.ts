import {
  comparePositions,
  getLaterPosition,
  isCovered,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {RequirementSource} from '../observability/promotion_event.js';

/**
 * Chooses the instance to promote so that no acknowledged commit is lost. A
 * commit is acknowledged once the primary and one replica hold it, so the
 * choice is safe among
 *
 * - the replicas, once replication from the old primary is paused on all of
 *   them: nothing more can be acknowledged, and the longest log holds every
 *   acknowledged commit;
 * - the old primary and the replicas that have caught up with its log, once it
 *   has stepped down.
 */

/** State of one instance of the group. @public */
export interface FencedInstance {
  readonly backendServer: BackendServerId;
  readonly isOldPrimary: boolean;
  /**
   * Whether it can acknowledge no more commits of the old term: its replication
   * is paused for the new term, or it was the primary and has stepped down.
   */
  readonly isFenced: boolean;
  readonly isDraining: boolean;
  /**
   * Whether it can be promoted. The log of an instance that is not listed yet
   * counts, but its id is unknown.
   */
  readonly isPromotable: boolean;
  /** Whether it is in the availability zone of the failover leader. */
  readonly isInLeaderZone: boolean;
  /** End of its log when it was fenced; null while unknown. */
  readonly receivedPosition: LogPosition | null;
}

/** The chosen instance, or the condition that the choice waits for. @public */
export type PromotionChoice =
  | {
      readonly kind: 'promote';
      readonly target: BackendServerId;
      readonly position: LogPosition;
    }
  | {readonly kind: 'wait'; readonly waitingFor: string};

/**
 * Position that a target has to hold, and what set it, or the condition that
 * has to be met before it is known.
 *
 * @public
 */
export type Requirement =
  | {
      readonly kind: 'known';
      readonly position: LogPosition;
      readonly source: RequirementSource;
    }
  | {readonly kind: 'wait'; readonly waitingFor: string};

/** Chooses the instance to promote. @public */
export function choosePromotionTarget(
  instances: readonly FencedInstance[],
  highestAcknowledged: LogPosition | null,
): PromotionChoice {
  const required = findRequirement(instances, highestAcknowledged);
  if (required.kind === 'wait') {
    return required;
  }
  const best = findBestCandidate(instances, required.position);
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

/**
 * Finds the position that a target has to hold: an upper bound of the position
 * of every acknowledged commit.
 *
 * @public
 */
export function findRequirement(
  instances: readonly FencedInstance[],
  highestAcknowledged: LogPosition | null,
): Requirement {
  const fromLogs = findRequiredPosition(instances);
  if (
    fromLogs.kind === 'wait' ||
    highestAcknowledged === null ||
    isCovered(highestAcknowledged, fromLogs.position)
  ) {
    return fromLogs;
  }
  return {kind: 'known', position: highestAcknowledged, source: 'proxies'};
}

/** The requirement that follows from the instances' logs alone. */
function findRequiredPosition(
  instances: readonly FencedInstance[],
): Requirement {
  const unfenced: BackendServerId[] = [];
  let longestReplicaEnd: LogPosition | null = null;
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
    longestReplicaEnd =
      longestReplicaEnd === null
        ? receivedPosition
        : getLaterPosition(longestReplicaEnd, receivedPosition);
  }
  if (unfenced.length === 0 && longestReplicaEnd !== null) {
    return {
      kind: 'known',
      position: longestReplicaEnd,
      source: 'pausedReplicas',
    };
  }
  if (oldPrimaryEnd !== null) {
    // A replica holds more if the old primary has lost a part of its log.
    const position =
      longestReplicaEnd === null
        ? oldPrimaryEnd
        : getLaterPosition(oldPrimaryEnd, longestReplicaEnd);
    return {kind: 'known', position, source: 'oldPrimary'};
  }
  return {
    kind: 'wait',
    waitingFor: `the old primary to step down, or ${unfenced.join(', ') || 'a replica'} to pause`,
  };
}

/** The best fenced instance whose log reaches `minimumPosition`. */
function findBestCandidate(
  instances: readonly FencedInstance[],
  minimumPosition: LogPosition,
): FencedInstance | null {
  let best: FencedInstance | null = null;
  for (const instance of instances) {
    const {receivedPosition, isFenced} = instance;
    if (!instance.isPromotable || !isFenced || receivedPosition === null) {
      continue;
    }
    if (!isCovered(minimumPosition, receivedPosition)) {
      continue;
    }
    if (best === null || isBetter(instance, best)) {
      best = instance;
    }
  }
  return best;
}

/**
 * Prefers an instance that is not draining, then a former replica, then the
 * longest log, then an instance outside the zone of the failover leader.
 */
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
  // If the zone of the failover leader is lost together with a primary there,
  // the leader can't replace that primary.
  return !left.isInLeaderZone && right.isInLeaderZone;
}
