import {z} from 'zod';

/**
 * The service-level counts of one proxy, as its operator interface gives them
 * (`GET /service-levels`) and the report reads them.
 */

/** Upper bounds of the latency classes, in milliseconds; one more class is open. @public */
export const LATENCY_BOUNDS_MS = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000,
] as const;

const countSchema = z.number().int().nonnegative();

/** Validates the counts of one span of time. @public */
export const serviceLevelBucketSchema = z
  .object({
    /** Start of the span, milliseconds since the Unix epoch. */
    startMs: z.number().nonnegative(),
    statements: countSchema,
    /** Statements that the proxy refused or whose answer it lost. */
    failures: countSchema,
    reads: countSchema,
    replicaReads: countSchema,
    /** Statements by latency class, see `LATENCY_BOUNDS_MS`. */
    latencyCounts: z
      .array(countSchema)
      .length(LATENCY_BOUNDS_MS.length + 1)
      .readonly(),
  })
  .readonly();

/** The counts of one span of time. @public */
export type ServiceLevelBucket = z.infer<typeof serviceLevelBucketSchema>;

/** Validates a write gap. @public */
export const writeGapSchema = z
  .object({
    databaseGroup: z.string().max(64),
    /** Start of the gap, milliseconds since the Unix epoch. */
    startMs: z.number().nonnegative(),
    durationMs: z.number().nonnegative(),
    isPlanned: z.boolean(),
  })
  .readonly();

/** A time during which a database group took no writes. @public */
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

/** The service-level counts of one proxy. @public */
export type ServiceLevelSnapshot = z.infer<typeof serviceLevelSnapshotSchema>;
