import type {
  ReadConsistency,
  RequestPriority,
} from '@filbertrun/model/configuration.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';

/** The configuration that the platform's operator keeps. */

/** How the sessions of one database are served. @public */
export interface DatabaseRoute {
  readonly databaseName: string;
  readonly databaseGroup: DatabaseGroupName;
  /**
   * `strict` reads see every acknowledged commit, `session` reads those of
   * their session and all older than `maxAgeMs`, `age` reads all older than it.
   */
  readonly consistency: ReadConsistency;
  /** Greatest age of the data of `session` and `age` reads; null for no bound. */
  readonly maxAgeMs: number | null;
  /** Limit of a single statement. */
  readonly statementTimeoutMs: number;
  /** Time within which a whole operation should end. */
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
  /** Rises with each change, not always by one. */
  readonly version: number;
  readonly routes: ReadonlyMap<string, DatabaseRoute>;
  readonly databaseGroups: ReadonlyMap<
    DatabaseGroupName,
    DatabaseGroupSettings
  >;
  /** Idle time after which an open transaction may be ended. */
  readonly transactionIdleTimeoutMs: number;
}
