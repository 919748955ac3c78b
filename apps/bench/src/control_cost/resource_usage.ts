import {z} from 'zod';

/**
 * What one process has used since it started, as the probe writes it.
 */

/** Environment variable that names the probe's file. @public */
export const PROBE_FILE_VARIABLE = 'BENCH_PROBE_FILE';

/** Validates a reading of the probe. @public */
export const resourceUsageSchema = z
  .object({
    cpuMs: z.number().nonnegative(),
    /** Heap and array buffers in use after a collection. */
    heapBytes: z.number().nonnegative(),
    residentBytes: z.number().nonnegative(),
    /** Bytes in both directions by port: the remote one of connections that
     * the process opened, the local one of connections that it accepted. */
    bytesByPort: z.record(z.string(), z.number().nonnegative()),
  })
  .readonly();

/** A reading of the probe. @public */
export type ResourceUsage = z.infer<typeof resourceUsageSchema>;
