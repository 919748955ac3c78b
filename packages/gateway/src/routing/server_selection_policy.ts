import type {
  BackendCandidate,
  ReadRequirements,
} from './choose_backend_server.js';

/** Interface of the policies that choose the backend server for a read. */

/**
 * State of a backend server with the measurements that only selection by
 * expected completion time uses.
 *
 * @public
 */
export interface SelectionCandidate extends BackendCandidate {
  /** Recent minimum of the network round-trip time; null while unknown. */
  readonly roundTripMs: number | null;
  /** Expected wait for a lease in this proxy's pool. */
  readonly expectedWaitMs: number;
  /** Leases that the pool could grant without waiting for a release. */
  readonly freeCapacity: number;
  /** Whether the identity has an idle connection to the server. */
  readonly hasIdleConnection: boolean;
  /**
   * Recent service time relative to that of the same kind of work on all servers
   * of the group; 1 while unknown.
   */
  readonly slowdown: number;
}

/** Requirements of a read and its expected cost. @public */
export interface SelectionRequirements extends ReadRequirements {
  /** Expected service time at a server; null while unknown. */
  readonly expectedWorkMs: number | null;
}

/** Chooses the backend server for a read. @public */
export interface ServerSelectionPolicy {
  /** Returns one of the candidates, or null if all are excluded. */
  choose(
    candidates: readonly SelectionCandidate[],
    requirements: SelectionRequirements,
  ): SelectionCandidate | null;
}
