import {z} from 'zod';

/**
 * Resource usage of a process since its start, as written by the probe.
 */

/** Environment variable with the path of the probe's file. @public */
export const PROBE_FILE_VARIABLE = 'BENCH_PROBE_FILE';

/** Validates a sample of the probe. @public */
export const resourceUsageSchema = z
  .object({
    cpuMs: z.number().nonnegative(),
    /** Heap and array buffers in use after a garbage collection. */
    heapBytes: z.number().nonnegative(),
    residentBytes: z.number().nonnegative(),
    /**
     * Bytes in both directions by port: the remote port of connections that the
     * process opened, the local port of connections that it accepted.
     */
    bytesByPort: z.record(z.string(), z.number().nonnegative()),
  })
  .readonly();

/** A sample of the probe. @public */
export type ResourceUsage = z.infer<typeof resourceUsageSchema>;
