import type {Result} from '@filbertrun/base/result.js';
import type {RequestPriority} from '@filbertrun/model/configuration.js';

/** Types of a connection pool to one backend server. */

/** Why a connection could not be made. @public */
export type ConnectError =
  /** The backend server has no connection to spare (SQLSTATE 53300). */
  | {readonly kind: 'refused'}
  | {readonly kind: 'unreachable'; readonly reason: string};

/** Makes and ends connections for a pool. @public */
export interface BackendConnector<C> {
  connect(): Promise<Result<C, ConnectError>>;
  close(connection: C): void;
  /** Whether an idle connection still stands. */
  isUsable(connection: C): boolean;
}

/** Why no connection was leased. In each case nothing was run. @public */
export type PoolError =
  /** The request cannot be served before its deadline, or was displaced. */
  | {readonly kind: 'overloaded'; readonly retryAfterMs: number}
  | {readonly kind: 'draining'; readonly retryAfterMs: number}
  | {
      readonly kind: 'unreachable';
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  | {readonly kind: 'cancelled'}
  | {readonly kind: 'disposed'};

/** A request for a connection. @public */
export interface AcquireRequest<C> {
  readonly priority: RequestPriority;
  /** Moment on the pool's clock from which the request is given up. */
  readonly deadlineMs: number;
  readonly signal?: AbortSignal;
  /** Which of several unused connections suits best. */
  readonly isPreferred?: (connection: C) => boolean;
}

/** State in which a connection comes back. @public */
export type ConnectionCondition =
  /** Proven to hold nothing of its session. */
  | 'clean'
  /** Anything else; the connection is closed. */
  | 'doubtful'
  /**
   * Closed as well. What it waited for is not the server's own work, as with a
   * commit that no replica acknowledges, so its time says nothing of the load.
   */
  | 'unacknowledged';

/** The use of one connection by one session. @public */
export interface PoolLease<C> {
  readonly connection: C;
  /**
   * Says that an open transaction waits for its caller, so that the lease does
   * not count against the concurrency until `resume`.
   */
  suspend(): void;
  /** Ends `suspend`. A transaction that is under way is never held back. */
  resume(): void;
  /** Gives the connection back. Only the first call counts. */
  release(condition: ConnectionCondition): void;
}

/** Limits of a pool. @public */
export interface PoolLimits {
  /** Connections of this proxy's share. */
  readonly maxConnections: number;
  /** Concurrency with which the pool starts. */
  readonly slots: number;
  /**
   * Concurrency below which latency never takes the pool. It may be less than
   * the slots where several proxies share them.
   */
  readonly minConcurrency: number;
  readonly maxQueueLength: number;
  /** Time between two connection attempts. */
  readonly connectIntervalMs: number;
  readonly minBackOffMs: number;
  readonly maxBackOffMs: number;
  /** Time after which an unused connection is closed. */
  readonly idleTimeoutMs: number;
  /** Unused connections that are kept regardless. */
  readonly minIdleConnections: number;
}

/** Limits that suit an instance of the sizes of today. @public */
export const DEFAULT_POOL_LIMITS: PoolLimits = {
  maxConnections: 4,
  slots: 3,
  minConcurrency: 3,
  maxQueueLength: 256,
  connectIntervalMs: 10,
  minBackOffMs: 20,
  maxBackOffMs: 1_000,
  idleTimeoutMs: 60_000,
  minIdleConnections: 1,
};

/** What a pool holds at a moment. @public */
export interface PoolStatus {
  readonly openConnections: number;
  readonly idleConnections: number;
  readonly connectingConnections: number;
  /** Leases that are not suspended. */
  readonly activeLeases: number;
  readonly suspendedLeases: number;
  readonly queueLength: number;
  readonly concurrencyLimit: number;
  /** Whether no connection stands and the last attempt was refused. */
  readonly isTurnedAway: boolean;
  /** Leases that could be granted now without waiting for another's release. */
  readonly freeSlots: number;
}
