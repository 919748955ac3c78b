import * as z from 'zod';

/**
 * The configuration of the whole system: one versioned record. The planners'
 * sheet supplies `applications` and `readRules`; automation supplies
 * `databaseGroups`. One version number orders both, so no two accepted changes
 * can be taken in a different order by two proxies.
 */

/** Whether a backend server takes new work. @public */
export type BackendServerState = 'active' | 'draining' | 'removed';

/** Which data a read may be answered from. @public */
export type ReadConsistency = 'strict' | 'session' | 'age';

/** Order in which requests are kept under overload. @public */
export type RequestPriority = 'booking' | 'normal' | 'lookup';

/** Matches any application or any table in a rule. @public */
export const ANY_NAME = '*';

/** Validates one instance of a database group. @public */
export const backendServerSchema = z
  .object({
    backendServer: z.string().min(1).max(64),
    availabilityZone: z.string().min(1).max(64),
    host: z.string().min(1).max(255),
    port: z.number().int().min(1).max(65535),
    state: z.enum(['active', 'draining', 'removed']),
    /** Relative share of replica reads, from 0 (none) to 100. */
    weight: z.number().int().min(0).max(100),
    /** Statements that the instance runs at once. */
    slots: z.number().int().min(1).max(10_000),
    /** Connections that the instance accepts from all proxies together. */
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
    /** Table that the read names, or `*`. */
    table: z.string().min(1).max(64),
    consistency: z.enum(['strict', 'session', 'age']),
    /** Greatest age of the data for consistency `age`, else null. */
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
    /** Rises by one with each accepted change. */
    version: z.number().int().nonnegative(),
    databaseGroups: z.array(databaseGroupSchema).max(2000).readonly(),
    readRules: z.array(readRuleSchema).max(20_000).readonly(),
  })
  .readonly();

/** The configuration of the whole system at one version. @public */
export type Configuration = z.infer<typeof configurationSchema>;

/** The configuration of a system that has accepted nothing yet. @public */
export const EMPTY_CONFIGURATION: Configuration = {
  schemaVersion: CONFIGURATION_SCHEMA_VERSION,
  version: 0,
  databaseGroups: [],
  readRules: [],
};
