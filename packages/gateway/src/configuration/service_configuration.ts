import type {
  ReadConsistency,
  RequestPriority,
} from '@filbertrun/model/configuration.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import * as z from 'zod';
import type {CustomerDirectory} from '../customer/customer_directory.js';

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
  /** Whether callers need no known API key. */
  readonly isPublic: boolean;
}

const durationSchema = z.number().nonnegative();

/** Validates a route that another proxy has sent. @public */
export const databaseRouteSchema = z
  .object({
    databaseName: z.string().min(1),
    databaseGroup: z.string().min(1),
    consistency: z.enum(['strict', 'session', 'age']),
    maxAgeMs: durationSchema.nullable(),
    statementTimeoutMs: durationSchema,
    targetLatencyMs: durationSchema,
    priority: z.enum(['booking', 'normal', 'lookup']),
    isPublic: z.boolean(),
  })
  .readonly() satisfies z.ZodType<DatabaseRoute>;

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
  /** Null if the deployment has no customers, so that keys are not checked. */
  readonly customers: CustomerDirectory | null;
  /** Time after which an idle open transaction may be aborted. */
  readonly transactionIdleTimeoutMs: number;
}
