import {
  LATENCY_BOUNDS_MS,
  type ServiceLevelBucket,
  type ServiceLevelSnapshot,
  type WriteGap,
} from './service_level_snapshot.js';

/**
 * In-memory counts per application for the service-level report. They are kept
 * at three resolutions, so that a fixed number of buckets covers windows from
 * five minutes to three days.
 */

/**
 * Resolutions at which counts are kept. Each has one bucket more than its time
 * span needs, because the newest bucket is still incomplete.
 */
const RESOLUTIONS = [
  {bucketMs: 10_000, bucketCount: 361},
  {bucketMs: 60_000, bucketCount: 361},
  {bucketMs: 600_000, bucketCount: 433},
] as const;

/** Maximum number of applications that are counted separately. */
const MAX_APPLICATIONS = 64;

/** Name under which applications beyond the maximum are counted together. */
const OVERFLOW_APPLICATION = '(other)';

/** Maximum number of write gaps that are kept; the oldest is dropped. */
const MAX_WRITE_GAPS = 500;

/** Measurements of one completed statement. @public */
export interface StatementSample {
  readonly application: string;
  /** Time from the caller's request to the end of the response. */
  readonly durationMs: number;
  /** False if the proxy refused the statement or lost its response. */
  readonly isAnswered: boolean;
  /** Role of the server that answered a read; null for other statements. */
  readonly readTarget: 'replica' | 'primary' | null;
}

interface MutableBucket {
  startMs: number;
  statements: number;
  failures: number;
  reads: number;
  replicaReads: number;
  readonly latencyCounts: number[];
}

/** Counts statements and write gaps for the service-level report. @public */
export class ServiceLevelRecorder {
  private readonly series = new Map<string, readonly BucketRing[]>();
  private readonly writeGaps: WriteGap[] = [];

  private constructor(
    private readonly entryVm: string,
    private readonly getWallClockMs: () => number,
  ) {}

  /** `getWallClockMs` returns milliseconds since the Unix epoch. */
  static create(
    entryVm: string,
    getWallClockMs: () => number = Date.now,
  ): ServiceLevelRecorder {
    return new ServiceLevelRecorder(entryVm, getWallClockMs);
  }

  /** Counts a completed statement. */
  recordStatement(sample: StatementSample): void {
    const nowMs = this.getWallClockMs();
    for (const ring of this.getRings(sample.application)) {
      countSample(ring.getBucket(nowMs), sample);
    }
  }

  /** Records a period in which a database group accepted no writes. */
  recordWriteGap(gap: WriteGap): void {
    this.writeGaps.push(gap);
    if (this.writeGaps.length > MAX_WRITE_GAPS) {
      this.writeGaps.shift();
    }
  }

  /** Returns all counts that are still kept. */
  getSnapshot(): ServiceLevelSnapshot {
    const nowMs = this.getWallClockMs();
    const series = [];
    for (const [application, rings] of this.series) {
      const resolutions = rings.map(ring => ({
        bucketMs: ring.bucketMs,
        buckets: ring.getBuckets(nowMs),
      }));
      series.push({application, resolutions});
    }
    return {
      schemaVersion: 1,
      entryVm: this.entryVm,
      takenAtMs: nowMs,
      series,
      writeGaps: [...this.writeGaps],
    };
  }

  private getRings(application: string): readonly BucketRing[] {
    const existing = this.series.get(application);
    if (existing !== undefined) {
      return existing;
    }
    if (
      this.series.size >= MAX_APPLICATIONS &&
      application !== OVERFLOW_APPLICATION
    ) {
      return this.getRings(OVERFLOW_APPLICATION);
    }
    const rings = RESOLUTIONS.map(resolution =>
      BucketRing.create(resolution.bucketMs, resolution.bucketCount),
    );
    this.series.set(application, rings);
    return rings;
  }
}

/** Ring buffer of buckets that cover equal time intervals. */
class BucketRing {
  private readonly buckets: (MutableBucket | null)[];

  private constructor(
    readonly bucketMs: number,
    private readonly bucketCount: number,
  ) {
    this.buckets = new Array<MutableBucket | null>(bucketCount).fill(null);
  }

  static create(bucketMs: number, bucketCount: number): BucketRing {
    return new BucketRing(bucketMs, bucketCount);
  }

  getBucket(nowMs: number): MutableBucket {
    const bucketNumber = Math.floor(nowMs / this.bucketMs);
    const startMs = bucketNumber * this.bucketMs;
    const index = bucketNumber % this.bucketCount;
    const bucket = this.buckets[index] ?? null;
    if (bucket !== null && bucket.startMs === startMs) {
      return bucket;
    }
    const newBucket = createBucket(startMs);
    this.buckets[index] = newBucket;
    return newBucket;
  }

  getBuckets(nowMs: number): readonly ServiceLevelBucket[] {
    const earliestMs = nowMs - this.bucketMs * this.bucketCount;
    const liveBuckets: ServiceLevelBucket[] = [];
    for (const bucket of this.buckets) {
      if (bucket !== null && bucket.startMs > earliestMs) {
        liveBuckets.push({...bucket, latencyCounts: [...bucket.latencyCounts]});
      }
    }
    return liveBuckets.sort((left, right) => left.startMs - right.startMs);
  }
}

function createBucket(startMs: number): MutableBucket {
  return {
    startMs,
    statements: 0,
    failures: 0,
    reads: 0,
    replicaReads: 0,
    latencyCounts: new Array<number>(LATENCY_BOUNDS_MS.length + 1).fill(0),
  };
}

function countSample(bucket: MutableBucket, sample: StatementSample): void {
  bucket.statements += 1;
  if (!sample.isAnswered) {
    bucket.failures += 1;
  }
  if (sample.readTarget !== null) {
    bucket.reads += 1;
  }
  if (sample.readTarget === 'replica') {
    bucket.replicaReads += 1;
  }
  const index = getLatencyBucketIndex(sample.durationMs);
  bucket.latencyCounts[index] = (bucket.latencyCounts[index] ?? 0) + 1;
}

function getLatencyBucketIndex(durationMs: number): number {
  for (const [index, boundMs] of LATENCY_BOUNDS_MS.entries()) {
    if (durationMs <= boundMs) {
      return index;
    }
  }
  return LATENCY_BOUNDS_MS.length;
}
