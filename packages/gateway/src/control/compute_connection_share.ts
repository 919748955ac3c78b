/**
 * Divides the connection limit of an instance among the proxies, which do not
 * know each other's open connections. When all entry VMs lose power at once and
 * restart, their old connections still count against the limit. If the first
 * proxies opened their whole share then, none would be left for the others.
 */

/**
 * Connections of an instance that are reserved for control commands, such as
 * status queries and step-downs.
 *
 * @public
 */
export const RESERVED_CONNECTIONS = 2;

/** Fraction of the unreserved connections used in steady state. */
const STEADY_STATE_FRACTION = 0.8;

/**
 * Time after a proxy's start during which orphaned connections, those of the
 * previous process on its entry VM, may still count against an instance's
 * limit. When a machine loses power, an instance takes 3 s to drop its
 * connections.
 *
 * @public
 */
export const ORPHANED_CONNECTIONS_MS = 3_300;

/** Inputs of {@link computeConnectionShare}. @public */
export interface ConnectionShareInputs {
  /** Connection limit of the instance for all proxies together. */
  readonly maxConnections: number;
  /** Registered entry VMs, including crashed ones that are still listed. */
  readonly entryVmCount: number;
  /** Whether orphaned connections may still count against the limit. */
  readonly mayHaveOrphans: boolean;
}

/**
 * Returns how many connections a proxy may open to an instance (at least 1).
 *
 * @public
 */
export function computeConnectionShare(inputs: ConnectionShareInputs): number {
  const available = inputs.maxConnections - RESERVED_CONNECTIONS;
  const count = Math.max(1, inputs.entryVmCount);
  const steadyShare = computeSteadyShare(available, count);
  if (!inputs.mayHaveOrphans) {
    return steadyShare;
  }
  const spare = available - steadyShare * count;
  return Math.min(steadyShare, Math.max(1, Math.floor(spare / count)));
}

/**
 * Returns the steady-state share. It is small enough that each proxy can open
 * at least one connection while the previous processes of all proxies still
 * occupy their whole shares, unless the limit is too low for that.
 */
function computeSteadyShare(available: number, count: number): number {
  const share = Math.floor((available * STEADY_STATE_FRACTION) / count);
  const shareWithReserve = Math.floor(available / count) - 1;
  return Math.max(1, Math.min(share, shareWithReserve));
}
