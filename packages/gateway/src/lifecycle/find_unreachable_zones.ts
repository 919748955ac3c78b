import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';

/** Observed reachability of a backend server. @public */
export interface ServerReachability {
  readonly availabilityZone: AvailabilityZone;
  /** Time at which it became unreachable; null while it is reachable. */
  readonly unreachableSinceMs: number | null;
  /** Time of its last response; null before the first one. */
  readonly lastResponseAtMs: number | null;
}

/** Reachability of the other availability zones from this proxy. @public */
export interface ZoneReachability {
  readonly unreachable: readonly AvailabilityZone[];
  /** Zones without evidence of a failure; they may not have been checked. */
  readonly presumedReachable: readonly AvailabilityZone[];
}

/** Classifies the other availability zones by their servers' state. @public */
export function findUnreachableZones(
  servers: readonly ServerReachability[],
  localZone: AvailabilityZone,
): ZoneReachability {
  const zones = new Map<AvailabilityZone, ServerReachability[]>();
  for (const server of servers) {
    if (server.availabilityZone === localZone) {
      continue;
    }
    const zoneServers = zones.get(server.availabilityZone) ?? [];
    zoneServers.push(server);
    zones.set(server.availabilityZone, zoneServers);
  }
  const unreachable: AvailabilityZone[] = [];
  const presumedReachable: AvailabilityZone[] = [];
  for (const [zone, zoneServers] of zones) {
    (isUnreachable(zoneServers) ? unreachable : presumedReachable).push(zone);
  }
  return {unreachable, presumedReachable};
}

/**
 * Whether a server of the zone is unreachable and no server of the zone has
 * responded since the first one became unreachable.
 */
function isUnreachable(servers: readonly ServerReachability[]): boolean {
  let sinceMs = Number.POSITIVE_INFINITY;
  let respondedAtMs = Number.NEGATIVE_INFINITY;
  for (const server of servers) {
    sinceMs = Math.min(
      sinceMs,
      server.unreachableSinceMs ?? Number.POSITIVE_INFINITY,
    );
    respondedAtMs = Math.max(
      respondedAtMs,
      server.lastResponseAtMs ?? Number.NEGATIVE_INFINITY,
    );
  }
  return sinceMs < Number.POSITIVE_INFINITY && respondedAtMs < sinceMs;
}
