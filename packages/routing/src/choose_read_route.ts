import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import {
  getLaterPosition,
  isCovered,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {ReadCandidate, ReadRequirement, ReadRoute} from './read_route.js';

/** Chooses the backend server that answers a read. */

/** What the choice depends on besides the requirement and the candidates. @public */
export interface ReadRouteOptions {
  /** Availability zone of this proxy. */
  readonly availabilityZone: AvailabilityZone;
  /**
   * For an `age` read: a place that the primary was known to have no longer
   * ago than the allowed age. Null when nothing so recent is known.
   */
  readonly freshPosition: LogPosition | null;
  /**
   * Time for which the primary is known to have held the required place, or
   * null when unknown. Lets a replica be used before its place is known.
   */
  readonly requiredPositionAgeMs?: number | null;
  /** Slots of the primary that reads leave free for writes. */
  readonly primaryReservedSlots?: number;
  readonly random: RandomSource;
}

const DEFAULT_PRIMARY_RESERVED_SLOTS = 1;

/** Added to a latency, so that very short ones do not outweigh the load. */
const BASE_LATENCY_MS = 0.5;

/**
 * Chooses the route of a read. The answer of a replica must still be checked
 * against `requiredPosition`: what is known here may be out of date.
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
    freeReplicas.length === 0 && hasSparePrimary(candidates, options);
  if (replicas.length === 0 || canUsePrimary) {
    return createPrimaryRoute(requirement);
  }
  // Without a free slot anywhere, waiting for a replica spares the primary,
  // whose slots the writes need.
  const pool = freeReplicas.length > 0 ? freeReplicas : replicas;
  const {backendServer} = chooseReplica(pool, options);
  return {kind: 'replica', backendServer, requiredPosition};
}

/**
 * The place that an answer must cover, or null when only the primary will do.
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
 * A floor is checked against the answer itself. Nothing in an answer tells its
 * age: a replaced primary that is cut off would answer with data of any age,
 * so for an age bound the primary must prove that it is current.
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
  // An answer that has to be thrown away costs a slot twice, so an expectation
  // counts only where nothing is known to cover.
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

function hasSparePrimary(
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
  const pool = choosePool(replicas, options);
  const first = drawByWeight(pool, random);
  const second = drawByWeight(pool, random);
  return getCost(second) < getCost(first) ? second : first;
}

/**
 * The replicas of the own availability zone, or the others. A near replica
 * with less than the full weight passes on the matching part of its reads.
 */
function choosePool(
  replicas: readonly ReadCandidate[],
  options: ReadRouteOptions,
): readonly ReadCandidate[] {
  const near: ReadCandidate[] = [];
  const far: ReadCandidate[] = [];
  for (const replica of replicas) {
    const isNear = replica.availabilityZone === options.availabilityZone;
    (isNear ? near : far).push(replica);
  }
  if (near.length === 0 || far.length === 0) {
    return replicas;
  }
  const nearShare = getHighestWeight(near) / getHighestWeight(replicas);
  return options.random.nextFloat() < nearShare ? near : far;
}

function getHighestWeight(replicas: readonly ReadCandidate[]): number {
  let highest = 0;
  for (const replica of replicas) {
    highest = Math.max(highest, replica.weight);
  }
  return highest;
}

function drawByWeight(
  replicas: readonly ReadCandidate[],
  random: RandomSource,
): ReadCandidate {
  let totalWeight = 0;
  for (const replica of replicas) {
    totalWeight += replica.weight;
  }
  let remaining = random.nextFloat() * totalWeight;
  let drawn: ReadCandidate | undefined;
  for (const replica of replicas) {
    drawn = replica;
    remaining -= replica.weight;
    if (remaining < 0) {
      break;
    }
  }
  if (drawn === undefined) {
    throw new RangeError('There is no replica to draw from.');
  }
  return drawn;
}

/** Expected cost of one more read: its latency against the free slots. */
function getCost(replica: ReadCandidate): number {
  const latencyMs = replica.latencyMs + BASE_LATENCY_MS;
  return latencyMs / Math.max(1, replica.freeSlots);
}
