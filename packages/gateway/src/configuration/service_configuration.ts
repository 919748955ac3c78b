import type {
  ReadConsistency,
  RequestPriority,
} from '@filbertrun/model/configuration.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';

/** The service configuration that the platform's operator maintains. */

/** How the sessions of one database are served. @public */
export interface DatabaseRoute {
  readonly databaseName: string;
  readonly databaseGroup: DatabaseGroupName;
  /**
   * `strict` reads see every acknowledged commit, `session` reads see the
   * commits of their session and every commit older than `maxAgeMs`, and `age`
   * reads see every commit older than `maxAgeMs`.
   */
  readonly consistency: ReadConsistency;
  /** Maximum staleness of `session` and `age` reads; null for no bound. */
  readonly maxAgeMs: number | null;
  /** Timeout of a single statement. */
  readonly statementTimeoutMs: number;
  /** Target latency of a whole operation. */
  readonly targetLatencyMs: number;
  readonly priority: RequestPriority;
}

/** Settings of one database group. @public */
export interface DatabaseGroupSettings {
  readonly databaseGroup: DatabaseGroupName;
  /** Connections that an instance accepts from all proxies together. */
  readonly maxConnections: number;
  /** Replicas that must hold a commit before it is acknowledged. */
  readonly synchronousReplicaCount: number;
}

/** One version of the configuration. @public */
export interface ServiceConfiguration {
  /** Increases with each change, not always by one. */
  readonly version: number;
  readonly routes: ReadonlyMap<string, DatabaseRoute>;
  readonly databaseGroups: ReadonlyMap<
    DatabaseGroupName,
    DatabaseGroupSettings
  >;
  /** Time after which an idle open transaction may be aborted. */
  readonly transactionIdleTimeoutMs: number;
}
