import type {Result} from '@filbertrun/base/result.js';
import type {RequestPriority} from '@filbertrun/model/configuration.js';
import type {RejectionCounts} from './rejection_counts.js';
import type {QueueLengths} from './request_queue.js';

/** Types of the connection pool for one backend server. */

/** Why a connection could not be opened. @public */
export type ConnectError =
  /** The backend server's connection limit is reached (SQLSTATE 53300). */
  | {readonly kind: 'refused'}
  | {readonly kind: 'unreachable'; readonly reason: string};

/**
 * Name under which a connection was opened at the backend server. A connection
 * keeps it until it is closed and is leased only to requests of the same
 * identity.
 *
 * @public
 */
export type ConnectionIdentity = string;

/** Opens and closes connections for a pool. @public */
export interface BackendConnector<C> {
  connect(identity: ConnectionIdentity): Promise<Result<C, ConnectError>>;
  close(connection: C): void;
  /** Whether an idle connection can still be used. */
  isUsable(connection: C): boolean;
}

/** Why no connection was leased. Nothing was executed in any case. @public */
export type PoolError =
  /** The request can't be served before its deadline, or was displaced. */
  | {readonly kind: 'overloaded'; readonly retryAfterMs: number}
  | {readonly kind: 'draining'; readonly retryAfterMs: number}
  | {
      readonly kind: 'unreachable';
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  | {readonly kind: 'cancelled'}
  | {readonly kind: 'disposed'};

/** Request for a connection. @public */
export interface AcquireRequest<C> {
  readonly priority: RequestPriority;
  /** Identity that the connection must have been opened under. */
  readonly identity: ConnectionIdentity;
  /** Time on the pool's clock at which the request is refused. */
  readonly deadlineMs: number;
  readonly signal?: AbortSignal | undefined;
  /**
   * Kind of work. Latencies are comparable only within a kind; requests without
   * one share a kind.
   */
  readonly workKind?: string;
  /** Selects the idle connections to use first. */
  readonly isPreferred?: (connection: C) => boolean;
  /**
   * Whether another backend server could run the request. Such a request leaves
   * `reservedSlots` free.
   */
  readonly isReplaceable?: boolean;
}

/** State of a connection when it is returned to the pool. @public */
export type ConnectionCondition =
  /** Known to hold no state of its session. */
  | 'clean'
  /** Anything else; the connection is closed. */
  | 'dirty'
  /**
   * The connection is closed. The lease waited for something other than the
   * server's own work, such as a commit that no replica acknowledges, so its
   * duration is not recorded as service time.
   */
  | 'unacknowledged';

/**
 * What a lease shows about its server's capacity. The first four are responses,
 * or the lack of one.
 *
 * @public
 */
export type LeaseOutcome =
  | 'served'
  /** The server was overloaded or at its connection limit. */
  | 'rejected'
  /** The server failed the statement, or the connection was lost. */
  | 'failed'
  | 'timedOut'
  /** The server was not asked to do the work, or said nothing about it. */
  | 'unused';

/** Exclusive use of a connection by one session. @public */
export interface PoolLease<C> {
  readonly connection: C;
  readonly identity: ConnectionIdentity;
  /**
   * Marks the lease as waiting for the caller within an open transaction. It
   * does not count towards the concurrency until `resume`.
   */
  suspend(): void;
  /** Ends `suspend`. Never waits, even above the concurrency limit. */
  resume(): void;
  /**
   * Returns the connection to the pool. Later calls have no effect. The outcome
   * defaults to `served` for a clean connection and to `unused` for others.
   */
  release(condition: ConnectionCondition, outcome?: LeaseOutcome): void;
}

/**
 * How a pool chooses its concurrency: `fixedStart` starts at the slots and
 * follows the latency; `adaptive` also follows rejections, failures and timeouts
 * and starts low after `restartPace`.
 *
 * @public
 */
export type Pacing = 'fixedStart' | 'adaptive';

/**
 * Order and admission of waiting requests: `priority` is FIFO within three
 * priorities, `fair` also shares the server among identities and rejects a
 * request as soon as it is not expected to be sent in time.
 *
 * @public
 */
export type Queueing = 'priority' | 'fair';

/** Limits of a pool. @public */
export interface PoolLimits {
  /** This proxy's share of the backend server's connections. */
  readonly maxConnections: number;
  /** Initial concurrency limit. */
  readonly slots: number;
  /**
   * Lowest concurrency limit that high latency can lead to. May be less than
   * `slots` if several proxies share them.
   */
  readonly minConcurrency: number;
  readonly maxQueueLength: number;
  /** Shortest time between the starts of two connection attempts. */
  readonly connectIntervalMs: number;
  readonly minBackOffMs: number;
  readonly maxBackOffMs: number;
  /** Time after which an idle connection is closed. */
  readonly idleTimeoutMs: number;
  /** Idle connections that are kept beyond `idleTimeoutMs`. */
  readonly minIdleConnections: number;
  readonly pacing: Pacing;
  readonly queueing: Queueing;
  /** Slots that replaceable requests leave free. */
  readonly reservedSlots: number;
}

/** Default limits, suitable for current instance sizes. @public */
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
  pacing: 'fixedStart',
  queueing: 'priority',
  reservedSlots: 0,
};

/** Current state of a pool. @public */
export interface PoolStatus {
  readonly openConnections: number;
  readonly idleConnections: number;
  readonly connectingConnections: number;
  /** Leases that are not suspended. */
  readonly activeLeases: number;
  readonly suspendedLeases: number;
  readonly queueLength: number;
  readonly queueLengths: QueueLengths;
  /** Rejected requests since the pool was created, by reason. */
  readonly rejectionCounts: RejectionCounts;
  readonly concurrencyLimit: number;
  /** Whether no connection is open and the last attempt was refused. */
  readonly isConnectionLimitReached: boolean;
  /** Leases that could be granted without waiting for a release. */
  readonly freeSlots: number;
}
