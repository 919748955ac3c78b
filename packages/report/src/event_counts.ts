import {
  LATENCY_BOUNDS_MS,
  type ServiceLevelBucket,
  type ServiceLevelSnapshot,
} from '@filbertrun/observability/service_level_snapshot.js';

/**
 * Sums the counts of all proxies over a span of time.
 */

/** Counts of one application in a window. @public */
export interface WindowCounts {
  readonly statements: number;
  readonly failures: number;
  readonly reads: number;
  readonly replicaReads: number;
  /** Statements by latency class; the classes are `LATENCY_BOUNDS_MS`. */
  readonly latencyCounts: readonly number[];
  /** Start of the oldest counted bucket, or null if there is none. */
  readonly earliestMs: number | null;
}

/** Counts of a window without events. @public */
export const EMPTY_COUNTS: WindowCounts = {
  statements: 0,
  failures: 0,
  reads: 0,
  replicaReads: 0,
  latencyCounts: LATENCY_BOUNDS_MS.map(() => 0).concat(0),
  earliestMs: null,
};

/** Interval [start, end) in milliseconds since the Unix epoch. @public */
export interface TimeSpan {
  readonly startMs: number;
  readonly endMs: number;
}

/** Returns the names of all applications in the snapshots, sorted. @public */
export function getApplications(
  snapshots: readonly ServiceLevelSnapshot[],
): readonly string[] {
  const names = new Set<string>();
  for (const snapshot of snapshots) {
    for (const series of snapshot.series) {
      names.add(series.application);
    }
  }
  return [...names].sort();
}

/** Sums the counts of an application within a span of time. @public */
export function sumCounts(
  snapshots: readonly ServiceLevelSnapshot[],
  application: string,
  span: TimeSpan,
): WindowCounts {
  let total = EMPTY_COUNTS;
  for (const snapshot of snapshots) {
    for (const series of snapshot.series) {
      if (series.application !== application) {
        continue;
      }
      const buckets = selectBuckets(series.resolutions, span);
      total = buckets.reduce(addBucket, total);
    }
  }
  return total;
}

interface Resolution {
  readonly bucketMs: number;
  readonly buckets: readonly ServiceLevelBucket[];
}

/** Number of complete buckets that every resolution keeps at least. */
const BUCKETS_PER_SPAN = 360;

/**
 * Returns the buckets that overlap the span, from the finest resolution that
 * covers it, or else from the coarsest.
 */
function selectBuckets(
  resolutions: readonly Resolution[],
  span: TimeSpan,
): readonly ServiceLevelBucket[] {
  const spanMs = span.endMs - span.startMs;
  const ordered = [...resolutions].sort(
    (left, right) => left.bucketMs - right.bucketMs,
  );
  const coarsest = ordered.at(-1);
  const selected =
    ordered.find(each => each.bucketMs * BUCKETS_PER_SPAN >= spanMs) ??
    coarsest;
  const buckets = selected?.buckets ?? [];
  const bucketMs = selected?.bucketMs ?? 0;
  return buckets.filter(
    bucket =>
      bucket.startMs + bucketMs > span.startMs && bucket.startMs < span.endMs,
  );
}

function addBucket(
  total: WindowCounts,
  bucket: ServiceLevelBucket,
): WindowCounts {
  return {
    statements: total.statements + bucket.statements,
    failures: total.failures + bucket.failures,
    reads: total.reads + bucket.reads,
    replicaReads: total.replicaReads + bucket.replicaReads,
    latencyCounts: total.latencyCounts.map(
      (count, index) => count + (bucket.latencyCounts[index] ?? 0),
    ),
    earliestMs: Math.min(total.earliestMs ?? bucket.startMs, bucket.startMs),
  };
}

/**
 * Counts the statements in latency classes above `boundMs`, which must be one
 * of `LATENCY_BOUNDS_MS` for an exact count.
 *
 * @public
 */
export function countSlowStatements(
  counts: WindowCounts,
  boundMs: number,
): number {
  let slowCount = 0;
  for (const [index, count] of counts.latencyCounts.entries()) {
    const classBoundMs = LATENCY_BOUNDS_MS[index] ?? Infinity;
    if (classBoundMs > boundMs) {
      slowCount += count;
    }
  }
  return slowCount;
}
