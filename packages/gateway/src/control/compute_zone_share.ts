import {
  computeConnectionShare,
  RESERVED_CONNECTIONS,
} from './compute_connection_share.js';

/**
 * Decides whether the proxies of an availability zone share their connections to
 * an instance, and divides the connection limit of an instance among the zones.
 * Where there are as many proxies as connections, each proxy could hold only one
 * to an instance, and callers of different customers would take turns on it.
 */

/** Thresholds between direct and shared access. */
interface AccessThresholds {
  /**
   * Smallest direct share with which a proxy uses its own connections, where a
   * connection belongs to one customer.
   */
  readonly minShareWithCustomers: number;
  /**
   * The same where all callers use one identity. One connection for each proxy
   * is then enough, so access is shared only where there are fewer.
   */
  readonly minShareWithoutCustomers: number;
  /**
   * Smallest mean number of proxies in a zone with which sharing saves
   * connections.
   */
  readonly minProxiesPerZone: number;
}

const START_THRESHOLDS: AccessThresholds = {
  minShareWithCustomers: 2,
  minShareWithoutCustomers: 1,
  minProxiesPerZone: 3,
};

/**
 * Thresholds while access is shared. The difference keeps the access when single
 * proxies are restarted: each change empties the pools of connections that the
 * other access does not use.
 */
const KEEP_THRESHOLDS: AccessThresholds = {
  minShareWithCustomers: 3,
  minShareWithoutCustomers: 1.5,
  minProxiesPerZone: 2,
};

/**
 * Fraction of the holder's share that a restarted proxy may open while an
 * instance may still count the connections of its previous process.
 */
const RESTART_FRACTION = 0.5;

/** The proxies and connections of a deployment. @public */
export interface ZoneShareInputs {
  /** Connection limit of the instance for all proxies together. */
  readonly maxConnections: number;
  /** Registered entry VMs, including crashed ones that are still listed. */
  readonly entryVmCount: number;
  /** Those among them that do not accept forwarded operations. */
  readonly directEntryVmCount: number;
  /** Whether a connection belongs to one customer. */
  readonly hasCustomers: boolean;
  /** Availability zones with registered entry VMs. */
  readonly zoneCount: number;
  /** Whether orphaned connections may still count against the limit. */
  readonly mayHaveOrphans: boolean;
}

/**
 * Whether operations are forwarded to the holder of a zone. `wasShared` tells
 * whether they have been until now.
 *
 * @public
 */
export function isAccessShared(
  inputs: ZoneShareInputs,
  wasShared = false,
): boolean {
  const {entryVmCount, zoneCount} = inputs;
  const thresholds = wasShared ? KEEP_THRESHOLDS : START_THRESHOLDS;
  return (
    isShareScarce(inputs, thresholds) &&
    entryVmCount >= thresholds.minProxiesPerZone * zoneCount
  );
}

function isShareScarce(
  {maxConnections, entryVmCount, hasCustomers}: ZoneShareInputs,
  thresholds: AccessThresholds,
): boolean {
  if (hasCustomers) {
    const share = computeConnectionShare({
      maxConnections,
      entryVmCount,
      mayHaveOrphans: false,
    });
    return share < thresholds.minShareWithCustomers;
  }
  const available = maxConnections - RESERVED_CONNECTIONS;
  return available / entryVmCount < thresholds.minShareWithoutCustomers;
}

/** The zones of a deployment relative to an instance. @public */
export interface ZoneDistance {
  /** Zones in other regions than the instance. */
  readonly farZoneCount: number;
  /** Whether the zone of the holder is one of them. */
  readonly isFar: boolean;
}

const ONE_REGION: ZoneDistance = {farZoneCount: 0, isFar: false};

/**
 * Share of a zone in another region than the instance, relative to one in its
 * region. A statement, and each pause between two of a transaction, holds the
 * connection for a round trip between the regions as well.
 */
const FAR_WEIGHT = 2;

/**
 * Returns how many connections the holder of a zone may open to an instance (at
 * least 1).
 *
 * @public
 */
export function computeZoneShare(
  inputs: ZoneShareInputs,
  {farZoneCount, isFar}: ZoneDistance = ONE_REGION,
): number {
  const {maxConnections, directEntryVmCount, zoneCount} = inputs;
  const available = maxConnections - RESERVED_CONNECTIONS - directEntryVmCount;
  const nearZoneCount = Math.max(1, zoneCount) - farZoneCount;
  // One share is left for a second holder while the holder of a zone changes.
  const spareWeight = farZoneCount > 0 ? FAR_WEIGHT : 1;
  const totalWeight = nearZoneCount + FAR_WEIGHT * farZoneCount + spareWeight;
  const share = (available / totalWeight) * (isFar ? FAR_WEIGHT : 1);
  const fraction = inputs.mayHaveOrphans ? RESTART_FRACTION : 1;
  return Math.max(1, Math.floor(share * fraction));
}
