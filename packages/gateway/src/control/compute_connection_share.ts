/**
 * How the connections that an instance admits are shared among proxies that
 * don't see each other's. The load that it answers: all entry VMs lose power at
 * once and come back while their old connections still count. Whoever opens
 * its whole share first then leaves none for the others.
 */

/** Connections of an instance that are left for control. */
const RESERVED_CONNECTIONS = 2;

/** Part of the rest that the proxies use in steady state. */
const STEADY_PART = 0.8;

/**
 * Time after its start for which connections of an earlier process of the same
 * entry VM may count: an instance drops those of a machine without power
 * after 3 s.
 *
 * @public
 */
export const ORPHANED_CONNECTIONS_MS = 3_300;

/** What a share depends on. @public */
export interface ConnectionShareInputs {
  /** Connections that the instance admits from all proxies. */
  readonly maxConnections: number;
  /** Registered entry VMs, those included that left without a word. */
  readonly entryVmCount: number;
  /** Whether connections of an earlier process of this entry VM may still count. */
  readonly mayHaveOrphans: boolean;
}

/** Connections that one proxy may open to an instance, at least 1. @public */
export function computeConnectionShare(inputs: ConnectionShareInputs): number {
  const available = inputs.maxConnections - RESERVED_CONNECTIONS;
  const count = Math.max(1, inputs.entryVmCount);
  const steadyShare = computeSteadyShare(available, count);
  if (!inputs.mayHaveOrphans) {
    return steadyShare;
  }
  const room = available - steadyShare * count;
  return Math.min(steadyShare, Math.max(1, Math.floor(room / count)));
}

/** Share that leaves each proxy one connection beside those of all before it. */
function computeSteadyShare(available: number, count: number): number {
  const share = Math.floor((available * STEADY_PART) / count);
  const withRoom = Math.floor(available / count) - 1;
  return Math.max(1, Math.min(share, withRoom));
}
