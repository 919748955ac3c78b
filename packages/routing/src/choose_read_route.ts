import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import {
  getLaterPosition,
  isCovered,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {ReadCandidate, ReadRequirement, ReadRoute} from './read_route.js';

/** Chooses the backend server that serves a read. */

/** Options of `chooseReadRoute`. @public */
export interface ReadRouteOptions {
  /** Local availability zone. */
  readonly availabilityZone: AvailabilityZone;
  /**
   * For a bounded-staleness read (`age`): a position at which the primary's
   * log is known to have ended within the allowed age. Null if no observation
   * is recent enough.
   */
  readonly freshPosition: LogPosition | null;
  /**
   * Time for which the primary is known to have held the required position, or
   * null if unknown. Allows the use of a replica that is expected to cover that
   * position before its position is known to do so.
   */
  readonly requiredPositionAgeMs?: number | null;
  /** Slots of the primary that are reserved for writes. */
  readonly primaryReservedSlots?: number;
  readonly random: RandomSource;
}

const DEFAULT_PRIMARY_RESERVED_SLOTS = 1;

/** Added to latencies, so that very short ones do not outweigh the load. */
const BASE_LATENCY_MS = 0.5;

/**
 * Chooses the route of a read. The position in a replica's response must be
 * checked against `requiredPosition`, since the state of the candidates may be
 * out of date.
 *
 * @public
 */
export function chooseReadRoute(
  requirement: ReadRequirement,
  candidates: readonly ReadCandidate[],
  options: ReadRouteOptions,
): ReadRoute {
  if (requirement.kind === 'strict') {
    return createPrimaryRoute(requirement);
  }
  const requiredPosition = getRequiredPosition(requirement, options);
  if (requiredPosition === null) {
    return createPrimaryRoute(requirement);
  }
  const replicas = findEligibleReplicas(candidates, requiredPosition, options);
  const freeReplicas = replicas.filter(replica => replica.freeSlots > 0);
  const canUsePrimary =
    freeReplicas.length === 0 && hasSparePrimarySlots(candidates, options);
  if (replicas.length === 0 || canUsePrimary) {
    return createPrimaryRoute(requirement);
  }
  // If no slot is free anywhere, wait for a replica and leave the primary's
  // slots to writes.
  const eligible = freeReplicas.length > 0 ? freeReplicas : replicas;
  const {backendServer} = chooseReplica(eligible, options);
  return {kind: 'replica', backendServer, requiredPosition};
}

/**
 * Returns the position that a response must cover, or null if only the primary
 * can serve the read.
 *
 * @public
 */
export function getRequiredPosition(
  requirement: Exclude<ReadRequirement, {readonly kind: 'strict'}>,
  options: Pick<ReadRouteOptions, 'freshPosition'>,
): LogPosition | null {
  if (requirement.kind === 'session') {
    return requirement.floor;
  }
  if (options.freshPosition === null) {
    return null;
  }
  return getLaterPosition(requirement.floor, options.freshPosition);
}

/**
 * A floor can be checked against the position in the response. The age of the
 * data cannot: an isolated primary that has been replaced would return data of
 * any age. Reads other than session reads therefore require the primary to
 * confirm its term.
 */
function createPrimaryRoute(requirement: ReadRequirement): ReadRoute {
  return {kind: 'primary', mustConfirmTerm: requirement.kind !== 'session'};
}

function findEligibleReplicas(
  candidates: readonly ReadCandidate[],
  requiredPosition: LogPosition,
  options: ReadRouteOptions,
): readonly ReadCandidate[] {
  const known: ReadCandidate[] = [];
  const expected: ReadCandidate[] = [];
  for (const candidate of candidates) {
    if (!isUsableReplica(candidate)) {
      continue;
    }
    if (isCovered(requiredPosition, candidate.knownPosition)) {
      known.push(candidate);
    } else if (isExpectedToCover(candidate, options)) {
      expected.push(candidate);
    }
  }
  // A read whose response is discarded uses a slot twice, so replicas that are
  // only expected to cover the position are the second choice.
  return known.length > 0 ? known : expected;
}

function isUsableReplica(candidate: ReadCandidate): boolean {
  return candidate.isAvailable && !candidate.isPrimary && candidate.weight > 0;
}

function isExpectedToCover(
  candidate: ReadCandidate,
  options: ReadRouteOptions,
): boolean {
  const lagMs = candidate.expectedLagMs ?? null;
  const ageMs = options.requiredPositionAgeMs ?? null;
  return lagMs !== null && ageMs !== null && ageMs >= lagMs;
}

function hasSparePrimarySlots(
  candidates: readonly ReadCandidate[],
  options: ReadRouteOptions,
): boolean {
  const reserved =
    options.primaryReservedSlots ?? DEFAULT_PRIMARY_RESERVED_SLOTS;
  for (const candidate of candidates) {
    if (candidate.isPrimary && candidate.isAvailable) {
      return candidate.freeSlots > reserved;
    }
  }
  return false;
}

function chooseReplica(
  replicas: readonly ReadCandidate[],
  options: ReadRouteOptions,
): ReadCandidate {
  const {random} = options;
  const zoneReplicas = chooseZoneReplicas(replicas, options);
  const first = pickByWeight(zoneReplicas, random);
  const second = pickByWeight(zoneReplicas, random);
  return getCost(second) < getCost(first) ? second : first;
}

/**
 * Returns the replicas of the local availability zone or those of the others.
 * Local ones are chosen with a probability of the highest local weight divided by
 * the highest weight of all, so a zone with lower weights sends reads elsewhere.
 */
function chooseZoneReplicas(
  replicas: readonly ReadCandidate[],
  options: ReadRouteOptions,
): readonly ReadCandidate[] {
  const local: ReadCandidate[] = [];
  const remote: ReadCandidate[] = [];
  for (const replica of replicas) {
    const isLocal = replica.availabilityZone === options.availabilityZone;
    (isLocal ? local : remote).push(replica);
  }
  if (local.length === 0 || remote.length === 0) {
    return replicas;
  }
  const localShare = getHighestWeight(local) / getHighestWeight(replicas);
  return options.random.nextFloat() < localShare ? local : remote;
}

function getHighestWeight(replicas: readonly ReadCandidate[]): number {
  let highest = 0;
  for (const replica of replicas) {
    highest = Math.max(highest, replica.weight);
  }
  return highest;
}

function pickByWeight(
  replicas: readonly ReadCandidate[],
  random: RandomSource,
): ReadCandidate {
  let totalWeight = 0;
  for (const replica of replicas) {
    totalWeight += replica.weight;
  }
  let remaining = random.nextFloat() * totalWeight;
  let picked: ReadCandidate | undefined;
  for (const replica of replicas) {
    picked = replica;
    remaining -= replica.weight;
    if (remaining < 0) {
      break;
    }
  }
  if (picked === undefined) {
    throw new RangeError('Cannot pick from an empty list of replicas.');
  }
  return picked;
}

/** Estimates the cost of one more read as latency divided by free slots. */
function getCost(replica: ReadCandidate): number {
  const latencyMs = replica.latencyMs + BASE_LATENCY_MS;
  return latencyMs / Math.max(1, replica.freeSlots);
}
