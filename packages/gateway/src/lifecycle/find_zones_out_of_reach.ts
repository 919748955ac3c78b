import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';

/** What is known of a backend server's reachability. @public */
export interface ServerReachability {
  readonly availabilityZone: AvailabilityZone;
  /** Time since which it can't be reached; null when it can. */
  readonly unreachableSinceMs: number | null;
  /** Time of its last answer; null before the first. */
  readonly lastAnsweredAtMs: number | null;
}

/** Whether every other availability zone is out of reach. @public */
export function isCutOff(
  servers: readonly ServerReachability[],
  ownZone: AvailabilityZone,
): boolean {
  const zones = new Map<AvailabilityZone, ServerReachability[]>();
  for (const server of servers) {
    if (server.availabilityZone === ownZone) {
      continue;
    }
    const others = zones.get(server.availabilityZone) ?? [];
    others.push(server);
    zones.set(server.availabilityZone, others);
  }
  if (zones.size === 0) {
    return false;
  }
  for (const others of zones.values()) {
    if (!isOutOfReach(others)) {
      return false;
    }
  }
  return true;
}

/** One server of the zone can't be reached, and none has answered since. */
function isOutOfReach(servers: readonly ServerReachability[]): boolean {
  let sinceMs = Number.POSITIVE_INFINITY;
  let answeredAtMs = Number.NEGATIVE_INFINITY;
  for (const server of servers) {
    sinceMs = Math.min(
      sinceMs,
      server.unreachableSinceMs ?? Number.POSITIVE_INFINITY,
    );
    answeredAtMs = Math.max(
      answeredAtMs,
      server.lastAnsweredAtMs ?? Number.NEGATIVE_INFINITY,
    );
  }
  return sinceMs < Number.POSITIVE_INFINITY && answeredAtMs < sinceMs;
}
