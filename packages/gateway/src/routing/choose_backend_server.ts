import type {
  AvailabilityZone,
  BackendServerId,
} from '@filbertrun/model/identifiers.js';
import {isCovered, type LogPosition} from '@filbertrun/model/log_position.js';

/** Chooses the backend server for a read, free of input and output. */

/** What is known of a backend server at the moment of the choice. @public */
export interface BackendCandidate {
  readonly backendServer: BackendServerId;
  readonly availabilityZone: AvailabilityZone;
  readonly isPrimary: boolean;
  /** Statements of this proxy that run or wait at the server. */
  readonly load: number;
  readonly slots: number;
  /** Recent mean time of a statement at the server; null while unknown. */
  readonly latencyMs: number | null;
  /** Whether recent attempts failed, so that it is used only without another. */
  readonly isSuspect: boolean;
  /** Whether many of its statements failed lately. */
  readonly isFailing: boolean;
  /** Newest log position seen in its answers. */
  readonly knownPosition: LogPosition | null;
  /** Time by which it is expected to lag behind the primary. */
  readonly expectedLagMs: number;
}

/** What a read needs. @public */
export interface ReadNeed {
  readonly requiredPosition: LogPosition;
  /** Time since the primary reached the required position; null when unknown. */
  readonly requiredPositionAgeMs: number | null;
  readonly availabilityZone: AvailabilityZone;
  /** Servers that already rejected this statement. */
  readonly excluded: ReadonlySet<BackendServerId>;
}

/** Latency assumed of a server that has answered nothing yet, low so that it is tried. */
const UNKNOWN_LATENCY_MS = 5;

/** Cost of leaving the availability zone: network time, and bytes that are paid for. */
const OTHER_ZONE_COST_MS = 30;

/** Cost of reading at the primary, whose slots the writes need. */
const PRIMARY_COST_MS = 10;

/** Factor on the expected lag that makes a rejection for lag unlikely. */
const LAG_SAFETY_FACTOR = 2;

/** The server with the least expected cost, or null when none qualifies. @public */
export function chooseBackendServer(
  candidates: readonly BackendCandidate[],
  need: ReadNeed,
): BackendCandidate | null {
  let best: BackendCandidate | null = null;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    if (need.excluded.has(candidate.backendServer)) {
      continue;
    }
    const cost = estimateCostMs(candidate, need);
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}

/** Cost that puts a server behind every other that is not suspect. */
const SUSPECT_COST_MS = 1_000_000;

/** Cost of a server that fails statements; a lagging one is worse, as it runs nothing. */
const FAILING_COST_MS = 5_000;

/** Cost of a server that will probably reject the read for its lag. */
const LAGGING_COST_MS = 10_000;

function estimateCostMs(candidate: BackendCandidate, need: ReadNeed): number {
  const latencyMs = candidate.latencyMs ?? UNKNOWN_LATENCY_MS;
  let costMs = latencyMs * (1 + candidate.load / Math.max(1, candidate.slots));
  if (candidate.availabilityZone !== need.availabilityZone) {
    costMs += OTHER_ZONE_COST_MS;
  }
  if (candidate.isPrimary) {
    costMs += PRIMARY_COST_MS;
  } else if (!isExpectedToCover(candidate, need)) {
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

function isExpectedToCover(
  candidate: BackendCandidate,
  need: ReadNeed,
): boolean {
  const {knownPosition} = candidate;
  if (
    knownPosition !== null &&
    isCovered(need.requiredPosition, knownPosition)
  ) {
    return true;
  }
  const ageMs = need.requiredPositionAgeMs;
  return ageMs !== null && ageMs >= candidate.expectedLagMs * LAG_SAFETY_FACTOR;
}
