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
 * Evaluates the reports of instances and proxies to detect the loss of a
 * group's primary.
 */

/**
 * Time without contact after which a replica counts as having lost its primary.
 */
const PRIMARY_CONTACT_TIMEOUT_MS = 400;

/** The same limit when the primary refuses connections. */
const REFUSED_PRIMARY_CONTACT_TIMEOUT_MS = 100;

/**
 * Time that a replica may have no primary. Another proxy that has raised the
 * term promotes an instance within this time.
 */
const NO_PRIMARY_GRACE_MS = 300;

/** Maximum age of a status that is used as evidence. */
const STATUS_VALID_MS = 700;

/** Whether the status of the instance is recent enough to be used. @internal */
export function isRecent(observed: ObservedInstance, nowMs: number): boolean {
  return (
    observed.status !== null &&
    observed.failure === null &&
    nowMs - observed.respondedAtMs <= STATUS_VALID_MS
  );
}

/**
 * Instances that respond but have no contact with a primary. If they are a
 * majority, no primary can acknowledge a write.
 *
 * @internal
 */
export function getInstancesWithoutPrimary(
  state: FailoverState,
  nowMs: number,
): readonly BackendServerId[] {
  const limitMs = getPrimaryContactTimeoutMs(state);
  const withoutPrimary: BackendServerId[] = [];
  for (const server of state.servers) {
    const observed = getObserved(state, server);
    if (isRecent(observed, nowMs) && hasLostPrimary(observed, nowMs, limitMs)) {
      withoutPrimary.push(server);
    }
  }
  return withoutPrimary;
}

/** Whether no primary is known or the last call to it failed. @internal */
export function isPrimaryFailing(state: FailoverState): boolean {
  if (state.view === null) {
    return true;
  }
  return getObserved(state, state.view.primary).failure !== null;
}

/**
 * Whether the proxies of a majority of the availability zones cannot reach the
 * primary. A zone counts if a proxy in it reports a failure and none reports
 * the primary as healthy. The local zone counts without a reported failure,
 * because this proxy suspects the primary.
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

function getPrimaryContactTimeoutMs(state: FailoverState): number {
  if (state.view === null) {
    return PRIMARY_CONTACT_TIMEOUT_MS;
  }
  const primary = getObserved(state, state.view.primary);
  return primary.failure === 'refused'
    ? REFUSED_PRIMARY_CONTACT_TIMEOUT_MS
    : PRIMARY_CONTACT_TIMEOUT_MS;
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
