import type {RandomSource} from '@filbertrun/base/random_source.js';
import {DEFAULT_HANDSHAKE_MS} from '@filbertrun/pool/work_estimates.js';
import {isExpectedToCoverPosition} from './choose_backend_server.js';
import type {
  SelectionCandidate,
  SelectionRequirements,
  ServerSelectionPolicy,
} from './server_selection_policy.js';

/**
 * Selection of the backend server with the earliest expected completion of a
 * read. Used with shared access, where a proxy's queue at a server shows most of
 * the load that its availability zone puts on it.
 */

/** Service time assumed before any was measured. */
const UNKNOWN_WORK_MS = 5;

/** Round-trip time assumed for an unmeasured server in the local zone. */
const UNKNOWN_LOCAL_ROUND_TRIP_MS = 0.5;

/**
 * Round-trip time assumed for an unmeasured server in another zone. It is low,
 * so that the server is tried, and thereby measured, when the others are busy or
 * the only local server is the primary.
 */
const UNKNOWN_REMOTE_ROUND_TRIP_MS = 2;

/** Round trips of a new connection: TCP connect and handshake. */
const HANDSHAKE_ROUND_TRIPS = 2;

/**
 * Round-trip time from which a server counts as being in another region. Zones
 * of one region are at most a few milliseconds apart.
 */
const INTER_REGION_ROUND_TRIP_MS = 10;

/**
 * Cost of the bytes of a read and its response on an inter-region link: 2 KiB at
 * a tenth of 42 Mbit/s, because all proxies share the link.
 */
const INTER_REGION_TRANSFER_MS = 4;

/**
 * Slots of the primary that are left to strict reads and writes.
 *
 * @public
 */
export const RESERVED_PRIMARY_SLOTS = 1;

/**
 * Cost of reading from the primary, whose slots are needed for writes. At 20 ms,
 * the replicas queued while the primary was idle, in a replay whose primary has
 * little other work.
 */
const PRIMARY_COST_MS = 10;

/**
 * Factor on the service time when this proxy's own statements fill all slots of
 * a server. The slots are shared with the other zones, whose statements are not
 * visible here. Of 0, 0.5, 1, 2, 3 and 4, values from 2 gave the lowest latency
 * in the replay of a loaded group (server_selection_replay_test.ts).
 */
const CONTENTION_WEIGHT = 3;

/** Smallest tolerance within which candidates count as equally good. */
const MIN_TOLERANCE_MS = 1;

/** Tolerance as a fraction of the lowest cost; estimates are no better. */
const TOLERANCE_FRACTION = 0.1;

/**
 * Ranks of a candidate, in descending order of preference. No queue at the
 * servers of one rank makes a lower rank preferable.
 */
const RANK_EXPECTED_TO_SERVE = 0;

/** Responds with errors to many statements. */
const RANK_FAILING = 1;

/** Will probably reject the read because of its lag. */
const RANK_LAGGING = 2;

/** A recent attempt to reach it failed. */
const RANK_SUSPECT = 3;

interface EstimatedCandidate {
  readonly candidate: SelectionCandidate;
  readonly completionMs: number;
  /** Capacity that replaceable reads may use. */
  readonly usableCapacity: number;
}

/**
 * Chooses among the candidates whose expected completion time is within a
 * tolerance of the earliest: one with an idle connection of the identity if any
 * has one, in the local zone if one is there, at random in proportion to the free
 * capacity. A choice of the very
 * best would send the reads of all proxies to one server at once.
 *
 * @public
 */
export class CompletionTimeSelection implements ServerSelectionPolicy {
  private constructor(private readonly random: RandomSource) {}

  static create(random: RandomSource): CompletionTimeSelection {
    return new CompletionTimeSelection(random);
  }

  choose(
    candidates: readonly SelectionCandidate[],
    requirements: SelectionRequirements,
  ): SelectionCandidate | null {
    const ranked = findBestRank(candidates, requirements);
    const estimated = ranked.map(candidate =>
      estimate(candidate, requirements),
    );
    const near = findNearBest(estimated);
    const withIdle = near.filter(({candidate}) => candidate.hasIdleConnection);
    const connected = withIdle.length > 0 ? withIdle : near;
    // Among equals, a local server spares the bytes between zones.
    const local = connected.filter(
      ({candidate}) =>
        candidate.availabilityZone === requirements.availabilityZone,
    );
    return this.draw(local.length > 0 ? local : connected);
  }

  /** Draws a candidate in proportion to its usable capacity. */
  private draw(
    estimated: readonly EstimatedCandidate[],
  ): SelectionCandidate | null {
    const [first] = estimated;
    if (first === undefined || estimated.length === 1) {
      return first?.candidate ?? null;
    }
    const total = sumUsableCapacity(estimated);
    let remaining =
      this.random.nextFloat() * (total > 0 ? total : estimated.length);
    let drawn = first;
    for (const each of estimated) {
      const weight = total > 0 ? each.usableCapacity : 1;
      if (weight <= 0) {
        continue;
      }
      drawn = each;
      remaining -= weight;
      if (remaining < 0) {
        break;
      }
    }
    return drawn.candidate;
  }
}

/** Returns the candidates of the best rank that are not excluded. */
function findBestRank(
  candidates: readonly SelectionCandidate[],
  requirements: SelectionRequirements,
): readonly SelectionCandidate[] {
  let bestRank: number = RANK_SUSPECT;
  let best: SelectionCandidate[] = [];
  for (const candidate of candidates) {
    if (requirements.excluded.has(candidate.backendServer)) {
      continue;
    }
    const rank = getRank(candidate, requirements);
    if (rank < bestRank) {
      bestRank = rank;
      best = [];
    }
    if (rank === bestRank) {
      best.push(candidate);
    }
  }
  return best;
}

function getRank(
  candidate: SelectionCandidate,
  requirements: SelectionRequirements,
): number {
  if (candidate.isSuspect) {
    return RANK_SUSPECT;
  }
  const isLagging =
    !candidate.isPrimary && !isExpectedToCoverPosition(candidate, requirements);
  if (isLagging) {
    return RANK_LAGGING;
  }
  return candidate.isFailing ? RANK_FAILING : RANK_EXPECTED_TO_SERVE;
}

function estimate(
  candidate: SelectionCandidate,
  requirements: SelectionRequirements,
): EstimatedCandidate {
  const roundTripMs = getRoundTripMs(candidate, requirements);
  const serviceMs =
    (requirements.expectedWorkMs ?? UNKNOWN_WORK_MS) * candidate.slowdown;
  const usableCapacity = getUsableCapacity(candidate);
  let completionMs =
    candidate.expectedWaitMs +
    roundTripMs +
    serviceMs * (1 + getContention(candidate));
  if (!candidate.hasIdleConnection) {
    completionMs += DEFAULT_HANDSHAKE_MS + HANDSHAKE_ROUND_TRIPS * roundTripMs;
  }
  if (roundTripMs >= INTER_REGION_ROUND_TRIP_MS) {
    completionMs += INTER_REGION_TRANSFER_MS;
  }
  if (candidate.isPrimary) {
    completionMs += PRIMARY_COST_MS;
    if (usableCapacity === 0 && candidate.expectedWaitMs === 0) {
      // Only the reserved slots are free, so the read waits for another lease.
      completionMs += serviceMs;
    }
  }
  return {candidate, completionMs, usableCapacity};
}

function getRoundTripMs(
  candidate: SelectionCandidate,
  requirements: SelectionRequirements,
): number {
  const isLocal = candidate.availabilityZone === requirements.availabilityZone;
  return (
    candidate.roundTripMs ??
    (isLocal ? UNKNOWN_LOCAL_ROUND_TRIP_MS : UNKNOWN_REMOTE_ROUND_TRIP_MS)
  );
}

/**
 * Expected delay by other statements within the server, as a multiple of the
 * service time. It is quadratic, because a mostly idle server delays few.
 */
function getContention({load, slots}: SelectionCandidate): number {
  const utilization = Math.min(1, load / Math.max(1, slots));
  return CONTENTION_WEIGHT * utilization ** 2;
}

function getUsableCapacity({
  freeCapacity,
  isPrimary,
}: SelectionCandidate): number {
  const reserved = isPrimary ? RESERVED_PRIMARY_SLOTS : 0;
  return Math.max(0, freeCapacity - reserved);
}

/**
 * Returns the candidates within the tolerance of the earliest completion. The
 * primary is one of them only if it is the earliest itself: its idle connections,
 * which writes keep there, would otherwise decide.
 */
function findNearBest(
  estimated: readonly EstimatedCandidate[],
): readonly EstimatedCandidate[] {
  let earliestMs = Number.POSITIVE_INFINITY;
  for (const {completionMs} of estimated) {
    earliestMs = Math.min(earliestMs, completionMs);
  }
  const toleranceMs = Math.max(
    MIN_TOLERANCE_MS,
    earliestMs * TOLERANCE_FRACTION,
  );
  return estimated.filter(
    ({candidate, completionMs}) =>
      completionMs <= earliestMs + (candidate.isPrimary ? 0 : toleranceMs),
  );
}

function sumUsableCapacity(estimated: readonly EstimatedCandidate[]): number {
  let total = 0;
  for (const {usableCapacity} of estimated) {
    total += usableCapacity;
  }
  return total;
}
