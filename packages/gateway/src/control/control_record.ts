import * as z from 'zod';

/** Records of the proxies themselves in the platform's table. */

/** Prefix of the keys of entry VMs. @public */
export const ENTRY_VM_PREFIX = 'entryVm/';

/** Key of the failover duty. @public */
export const FAILOVER_DUTY_KEY = 'duty/failover';

/** Validates the registration of an entry VM. @public */
export const entryVmRecordSchema = z
  .object({
    entryVm: z.string().min(1),
    availabilityZone: z.string().min(1),
    peerHost: z.string().min(1),
    peerPort: z.number().int().min(1).max(65535),
    /** Tells a restarted process from its predecessor. */
    incarnation: z.string().min(1),
    /**
     * Time on the store's clock up to which the process may rely on what it
     * read of primaries while this record stood.
     */
    leaseEndStoreMs: z.number(),
    /**
     * Time after its last contact with the store or with a proxy of another
     * availability zone for which the process relies on a primary; null if only
     * the lease bounds it.
     */
    contactWindowMs: z.number().positive().nullable().default(null),
  })
  .readonly();

/** The registration of an entry VM. @public */
export type EntryVmRecord = z.infer<typeof entryVmRecordSchema>;

/** Validates the record of the failover duty. @public */
export const failoverDutySchema = z
  .object({
    /** Entry VM that holds the duty, or null after it was given up. */
    holder: z.string().min(1).nullable(),
    incarnation: z.string(),
    /** Rises with each change of holder. */
    fencingToken: z.number().int().positive(),
    renewalCount: z.number().int().nonnegative(),
    /**
     * Time on the store's clock at which the duty was first claimed in the
     * present era of the store; 0 if the store has never come back from a copy.
     */
    eraSinceStoreMs: z.number().default(0),
  })
  .readonly();

/** Who may change primaries. @public */
export type FailoverDuty = z.infer<typeof failoverDutySchema>;

/** Reads a record; null when the text is not one. @public */
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
