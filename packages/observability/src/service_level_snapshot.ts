import {z} from 'zod';

/**
 * Service-level counts of one proxy, as served by its operator interface
 * (`GET /service-levels`) and read by the service-level report.
 */

/**
 * Upper bounds of the latency buckets, in milliseconds. One more bucket counts
 * all slower statements.
 *
 * @public
 */
export const LATENCY_BOUNDS_MS = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000,
] as const;

const countSchema = z.number().int().nonnegative();

/** Validates the counts of one time interval. @public */
export const serviceLevelBucketSchema = z
  .object({
    /** Start of the interval, in milliseconds since the Unix epoch. */
    startMs: z.number().nonnegative(),
    statements: countSchema,
    /** Statements that the proxy refused or whose response it lost. */
    failures: countSchema,
    reads: countSchema,
    replicaReads: countSchema,
    /** Statements per latency bucket, see `LATENCY_BOUNDS_MS`. */
    latencyCounts: z
      .array(countSchema)
      .length(LATENCY_BOUNDS_MS.length + 1)
      .readonly(),
  })
  .readonly();

/** Counts of one time interval. @public */
export type ServiceLevelBucket = z.infer<typeof serviceLevelBucketSchema>;

/** Validates a write gap. @public */
export const writeGapSchema = z
  .object({
    databaseGroup: z.string().max(64),
    /** Start of the gap, in milliseconds since the Unix epoch. */
    startMs: z.number().nonnegative(),
    durationMs: z.number().nonnegative(),
    isPlanned: z.boolean(),
  })
  .readonly();

/** A period in which a database group accepted no writes. @public */
export type WriteGap = z.infer<typeof writeGapSchema>;

/** Validates the counts of one proxy. @public */
export const serviceLevelSnapshotSchema = z
  .object({
    schemaVersion: z.literal(1),
    entryVm: z.string().max(64),
    takenAtMs: z.number().nonnegative(),
    series: z
      .array(
        z
          .object({
            application: z.string().max(64),
            resolutions: z
              .array(
                z
                  .object({
                    bucketMs: z.number().int().positive(),
                    buckets: z.array(serviceLevelBucketSchema).readonly(),
                  })
                  .readonly(),
              )
              .readonly(),
          })
          .readonly(),
      )
      .readonly(),
    writeGaps: z.array(writeGapSchema).readonly(),
  })
  .readonly();

/** Service-level counts of one proxy. @public */
export type ServiceLevelSnapshot = z.infer<typeof serviceLevelSnapshotSchema>;
