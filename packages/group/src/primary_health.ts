import type {
  AvailabilityZone,
  BackendServerId,
} from '@filbertrun/model/identifiers.js';
import {
  getObserved,
  type FailoverState,
  type ObservedInstance,
} from './failover_state.js';
import type {SuspicionVote} from './group_peers.js';

/**
 * Judges from what instances and proxies report whether a group has lost its
 * primary.
 */

/** Silence of a primary after which a replica counts as cut off from it. */
const SILENCE_LIMIT_MS = 400;

/** The same limit when the primary actively refuses connections. */
const REFUSED_SILENCE_LIMIT_MS = 100;

/** Time that another proxy has to promote after it raised a term. */
const NO_PRIMARY_GRACE_MS = 300;

/** Age beyond which an answer says nothing of the present. */
const STATUS_VALID_MS = 700;

/** Whether the instance answered recently enough to be judged by. @internal */
export function isRecent(observed: ObservedInstance, nowMs: number): boolean {
  return (
    observed.status !== null &&
    observed.failure === null &&
    nowMs - observed.answeredAtMs <= STATUS_VALID_MS
  );
}

/**
 * Instances that answer and have no primary they hear from. When they are a
 * majority, no primary can complete an acknowledgement.
 *
 * @internal
 */
export function getInstancesWithoutPrimary(
  state: FailoverState,
  nowMs: number,
): readonly BackendServerId[] {
  const limitMs = getSilenceLimitMs(state);
  const withoutPrimary: BackendServerId[] = [];
  for (const server of state.servers) {
    const observed = getObserved(state, server);
    if (isRecent(observed, nowMs) && hasLostPrimary(observed, nowMs, limitMs)) {
      withoutPrimary.push(server);
    }
  }
  return withoutPrimary;
}

/** Whether the primary of the view fails to answer this proxy. @internal */
export function isPrimaryFailing(state: FailoverState): boolean {
  if (state.view === null) {
    return true;
  }
  return getObserved(state, state.view.primary).failure !== null;
}

/**
 * Whether the proxies of a majority of the availability zones cannot
 * reach the primary. A zone counts when each of its voters says so.
 *
 * @internal
 */
export function isSuspectedByZones(
  localZone: AvailabilityZone,
  votes: readonly SuspicionVote[],
  knownZones: readonly AvailabilityZone[],
): boolean {
  const suspecting = new Set<AvailabilityZone>([localZone]);
  for (const vote of votes) {
    if (vote.health === 'refused' || vote.health === 'silent') {
      suspecting.add(vote.availabilityZone);
    }
  }
  for (const vote of votes) {
    if (vote.health === 'healthy') {
      suspecting.delete(vote.availabilityZone);
    }
  }
  const zoneCount = new Set([...knownZones, localZone]).size;
  return suspecting.size > zoneCount / 2;
}

function getSilenceLimitMs(state: FailoverState): number {
  if (state.view === null) {
    return SILENCE_LIMIT_MS;
  }
  const primary = getObserved(state, state.view.primary);
  return primary.failure === 'refused'
    ? REFUSED_SILENCE_LIMIT_MS
    : SILENCE_LIMIT_MS;
}

function hasLostPrimary(
  observed: ObservedInstance,
  nowMs: number,
  limitMs: number,
): boolean {
  if (observed.status === null || observed.status.role === 'primary') {
    return false;
  }
  if (observed.noPrimarySinceMs !== null) {
    return nowMs - observed.noPrimarySinceMs >= NO_PRIMARY_GRACE_MS;
  }
  return (observed.status.primarySilentForMs ?? 0) >= limitMs;
}
