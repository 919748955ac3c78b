import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';

/** What is known of a backend server's reachability. @public */
export interface ServerReachability {
  readonly availabilityZone: AvailabilityZone;
  /** Time since which it can't be reached; null when it can. */
  readonly unreachableSinceMs: number | null;
  /** Time of its last answer; null before the first. */
  readonly lastAnsweredAtMs: number | null;
}

/** How the other availability zones look from this proxy. @public */
export interface ZoneReach {
  readonly outOfReach: readonly AvailabilityZone[];
  /** Zones that nothing speaks against, although it may be that nobody asked. */
  readonly presumedReachable: readonly AvailabilityZone[];
}

/** Sorts the other availability zones by what their servers showed. @public */
export function findZonesOutOfReach(
  servers: readonly ServerReachability[],
  ownZone: AvailabilityZone,
): ZoneReach {
  const zones = new Map<AvailabilityZone, ServerReachability[]>();
  for (const server of servers) {
    if (server.availabilityZone === ownZone) {
      continue;
    }
    const others = zones.get(server.availabilityZone) ?? [];
    others.push(server);
    zones.set(server.availabilityZone, others);
  }
  const outOfReach: AvailabilityZone[] = [];
  const presumedReachable: AvailabilityZone[] = [];
  for (const [zone, others] of zones) {
    (isOutOfReach(others) ? outOfReach : presumedReachable).push(zone);
  }
  return {outOfReach, presumedReachable};
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
