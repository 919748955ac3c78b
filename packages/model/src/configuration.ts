import * as z from 'zod';

/**
 * The configuration of the whole system is one versioned record. Planners
 * maintain `readRules` in a sheet; automation maintains `databaseGroups`. Both
 * share one version number, so all proxies apply accepted changes in the same
 * order.
 */

/** Whether a backend server accepts new statements. @public */
export type BackendServerState = 'active' | 'draining' | 'removed';

/** How current the data of a read must be. @public */
export type ReadConsistency = 'strict' | 'session' | 'age';

/** Priority of a request. Lower ones are shed first under overload. @public */
export type RequestPriority = 'booking' | 'normal' | 'lookup';

/** Matches any application or any table in a rule. @public */
export const WILDCARD = '*';

/** Validates one instance of a database group. @public */
export const backendServerSchema = z
  .object({
    backendServer: z.string().min(1).max(64),
    availabilityZone: z.string().min(1).max(64),
    host: z.string().min(1).max(255),
    port: z.number().int().min(1).max(65535),
    state: z.enum(['active', 'draining', 'removed']),
    /** Relative weight for replica reads, from 0 (no reads) to 100. */
    weight: z.number().int().min(0).max(100),
    /** Statements that the instance runs concurrently. */
    slots: z.number().int().min(1).max(10_000),
    /** Connections that the instance accepts from all proxies in total. */
    maxConnections: z.number().int().min(1).max(10_000),
  })
  .readonly();

/** One instance of a database group. @public */
export type BackendServer = z.infer<typeof backendServerSchema>;

/** Validates a database group. @public */
export const databaseGroupSchema = z
  .object({
    databaseGroup: z.string().min(1).max(64),
    backendServers: z.array(backendServerSchema).max(16).readonly(),
  })
  .readonly();

/** A database group and its instances. @public */
export type DatabaseGroup = z.infer<typeof databaseGroupSchema>;

/** Validates a rule of the sheet. @public */
export const readRuleSchema = z
  .object({
    /** Value of the caller's `application_name`, or `*`. */
    application: z.string().min(1).max(64),
    databaseGroup: z.string().min(1).max(64),
    /** Table that the read uses, or `*`. */
    table: z.string().min(1).max(64),
    consistency: z.enum(['strict', 'session', 'age']),
    /** Maximum age of the data for consistency `age`, otherwise null. */
    maxAgeMs: z.number().int().min(1).max(86_400_000).nullable(),
    priority: z.enum(['booking', 'normal', 'lookup']),
  })
  .readonly();

/** A rule of the sheet for the reads of one table by one application. @public */
export type ReadRule = z.infer<typeof readRuleSchema>;

/** Schema version that this release writes. @public */
export const CONFIGURATION_SCHEMA_VERSION = 1;

/** Validates a configuration. @public */
export const configurationSchema = z
  .object({
    schemaVersion: z.literal(CONFIGURATION_SCHEMA_VERSION),
    /** Incremented by each accepted change. */
    version: z.number().int().nonnegative(),
    databaseGroups: z.array(databaseGroupSchema).max(2000).readonly(),
    readRules: z.array(readRuleSchema).max(20_000).readonly(),
  })
  .readonly();

/** The configuration of the whole system at one version. @public */
export type Configuration = z.infer<typeof configurationSchema>;

/** The configuration before the first accepted change. @public */
export const EMPTY_CONFIGURATION: Configuration = {
  schemaVersion: CONFIGURATION_SCHEMA_VERSION,
  version: 0,
  databaseGroups: [],
  readRules: [],
};
