import * as z from 'zod';

/**
 * Records in the control table that describe proxies: their registrations and
 * the current failover leader.
 */

/** Key prefix of entry VM registrations. @public */
export const ENTRY_VM_PREFIX = 'entryVm/';

/** Key of the failover leader record. @public */
export const FAILOVER_LEADER_KEY = 'duty/failover';

/** Validates the registration of an entry VM. @public */
export const entryVmRecordSchema = z
  .object({
    entryVm: z.string().min(1),
    availabilityZone: z.string().min(1),
    peerHost: z.string().min(1),
    peerPort: z.number().int().min(1).max(65535),
    /** Distinguishes a restarted process from the previous one. */
    incarnation: z.string().min(1),
    /**
     * Time on the store's clock until which the process may use the primary
     * records that it read together with this record.
     */
    leaseEndStoreMs: z.number(),
    /**
     * Time after its last contact with the store or with a proxy of another
     * availability zone for which the process uses a primary; null if only the
     * lease limits it.
     */
    contactWindowMs: z.number().positive().nullable().default(null),
    /**
     * Time on the store's clock since which the entry VM has been registered
     * without interruption, across restarts of its process; null if unknown.
     */
    registeredSinceStoreMs: z.number().nullable().default(null),
    /**
     * Port on which the process accepts forwarded operations; absent in records
     * of builds that do not.
     */
    forwardPort: z.number().int().min(1).max(65535).optional(),
    /** Processor cores of the entry VM; absent if unknown. */
    processorCores: z.number().positive().optional(),
  })
  .readonly();

/** Registration of an entry VM. @public */
export type EntryVmRecord = z.infer<typeof entryVmRecordSchema>;

/** Validates the failover leader record. @public */
export const failoverLeaderSchema = z
  .object({
    /** Entry VM of the failover leader, or null if leadership was released. */
    holder: z.string().min(1).nullable(),
    incarnation: z.string(),
    /** Increases with each change of leader. */
    fencingToken: z.number().int().positive(),
    renewalCount: z.number().int().nonnegative(),
    /**
     * Time on the store's clock at which leadership was first acquired in the
     * current store era, that is, since the last restore from a backup; 0 if the
     * store was never restored.
     */
    eraSinceStoreMs: z.number().default(0),
  })
  .readonly();

/**
 * Record of the failover leader, the proxy that may replace primaries.
 *
 * @public
 */
export type FailoverLeaderRecord = z.infer<typeof failoverLeaderSchema>;

/** Parses a record; null if the text is not valid. @public */
export function parseRecord<T>(schema: z.ZodType<T>, text: string): T | null {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return null;
  }
  const parsed = schema.safeParse(value);
  return parsed.success ? parsed.data : null;
}
