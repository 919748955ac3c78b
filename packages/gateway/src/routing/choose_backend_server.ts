import type {
  AvailabilityZone,
  BackendServerId,
} from '@filbertrun/model/identifiers.js';
import {isCovered, type LogPosition} from '@filbertrun/model/log_position.js';

/** Chooses the backend server for a read, as a pure function. */

/** State of a backend server at the time of the choice. @public */
export interface BackendCandidate {
  readonly backendServer: BackendServerId;
  readonly availabilityZone: AvailabilityZone;
  readonly isPrimary: boolean;
  /** Statements of this proxy that run or are queued for the server. */
  readonly load: number;
  /** Number of statements that the server runs concurrently. */
  readonly slots: number;
  /** Moving average of the statement latency; null while unknown. */
  readonly latencyMs: number | null;
  /**
   * Whether a recent attempt to reach the server failed or timed out; it is then
   * used only as a last resort.
   */
  readonly isSuspect: boolean;
  /** Whether the server responds, but with errors to many recent statements. */
  readonly isFailing: boolean;
  /** Newest log position seen in its responses. */
  readonly knownPosition: LogPosition | null;
  /** Estimated replication lag behind the primary. */
  readonly expectedLagMs: number;
}

/** Requirements of a read. @public */
export interface ReadRequirements {
  readonly requiredPosition: LogPosition;
  /**
   * Time since the primary reached the required position; null when unknown.
   */
  readonly requiredPositionAgeMs: number | null;
  readonly availabilityZone: AvailabilityZone;
  /** Servers that already rejected this statement. */
  readonly excluded: ReadonlySet<BackendServerId>;
}

/**
 * Latency assumed before the first response; low, so that the server is tried.
 */
const UNKNOWN_LATENCY_MS = 5;

/** Cost of another availability zone: network latency and billed traffic. */
const OTHER_ZONE_COST_MS = 30;

/** Cost of reading from the primary, whose slots are needed for writes. */
const PRIMARY_COST_MS = 10;

/**
 * Safety factor on the expected lag that makes a rejection for lag unlikely.
 */
const LAG_SAFETY_FACTOR = 2;

/**
 * Returns the server with the lowest estimated cost, or null if all are
 * excluded.
 *
 * @public
 */
export function chooseBackendServer<T extends BackendCandidate>(
  candidates: readonly T[],
  requirements: ReadRequirements,
): T | null {
  let best: T | null = null;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    if (requirements.excluded.has(candidate.backendServer)) {
      continue;
    }
    const cost = estimateCostMs(candidate, requirements);
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}

/** Cost of a suspect server; ranks it behind every server that is not. */
const SUSPECT_COST_MS = 1_000_000;

/**
 * Cost of a server that fails statements. It is lower than that of a lagging
 * server, which does not run the read at all.
 */
const FAILING_COST_MS = 5_000;

/** Cost of a server that will probably reject the read because of its lag. */
const LAGGING_COST_MS = 10_000;

function estimateCostMs(
  candidate: BackendCandidate,
  requirements: ReadRequirements,
): number {
  const latencyMs = candidate.latencyMs ?? UNKNOWN_LATENCY_MS;
  let costMs = latencyMs * (1 + candidate.load / Math.max(1, candidate.slots));
  if (candidate.availabilityZone !== requirements.availabilityZone) {
    costMs += OTHER_ZONE_COST_MS;
  }
  if (candidate.isPrimary) {
    costMs += PRIMARY_COST_MS;
  } else if (!isExpectedToCoverPosition(candidate, requirements)) {
    costMs += LAGGING_COST_MS;
  }
  if (candidate.isFailing) {
    costMs += FAILING_COST_MS;
  }
  if (candidate.isSuspect) {
    costMs += SUSPECT_COST_MS;
  }
  return costMs;
}

/**
 * Whether the server's log probably covers the required position.
 *
 * @public
 */
export function isExpectedToCoverPosition(
  candidate: BackendCandidate,
  requirements: ReadRequirements,
): boolean {
  const {knownPosition} = candidate;
  if (
    knownPosition !== null &&
    isCovered(requirements.requiredPosition, knownPosition)
  ) {
    return true;
  }
  const ageMs = requirements.requiredPositionAgeMs;
  return ageMs !== null && ageMs >= candidate.expectedLagMs * LAG_SAFETY_FACTOR;
}
