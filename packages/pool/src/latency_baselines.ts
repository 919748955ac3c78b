/** Weight of a latency in the long-term mean. */
const LONG_TERM_WEIGHT = 0.02;

/**
 * Weight of a latency of at least `HIGH_RATIO` times the mean. It is lower, so
 * that a queue does not soon count as normal.
 */
const HIGH_LATENCY_WEIGHT = 0.005;

/**
 * Weight of a latency of at most 1 / `HIGH_RATIO` times the mean. It is higher,
 * because only a server that became faster responds so early.
 */
const LOW_LATENCY_WEIGHT = 0.2;

/** First latencies of a kind, which count alike. */
const WARM_UP_SAMPLES = 10;

/** Ratio of a latency to the mean, or of the mean to it, that is unusual. */
const HIGH_RATIO = 2;

/** Kinds of work with a mean of their own; further kinds share one. */
const MAX_KINDS = 64;

/** Key of the mean that further kinds share. */
const SHARED_KIND = '';

interface Baseline {
  meanMs: number;
  samples: number;
}

/** Long-term mean latencies by kind of work. @internal */
export class LatencyBaselines {
  private readonly baselines = new Map<string, Baseline>();

  private constructor() {}

  static create(): LatencyBaselines {
    return new LatencyBaselines();
  }

  /**
   * Records a latency and returns its ratio to the earlier mean of its kind, or
   * 1 for the first of a kind.
   */
  record(workKind: string, latencyMs: number): number {
    const kind = this.chooseKind(workKind);
    const baseline = this.baselines.get(kind);
    if (baseline === undefined) {
      this.baselines.set(kind, {meanMs: latencyMs, samples: 1});
      return 1;
    }
    const ratio = baseline.meanMs > 0 ? latencyMs / baseline.meanMs : 1;
    baseline.samples++;
    const weight =
      baseline.samples <= WARM_UP_SAMPLES
        ? 1 / baseline.samples
        : chooseWeight(ratio);
    baseline.meanMs += (latencyMs - baseline.meanMs) * weight;
    return ratio;
  }

  clear(): void {
    this.baselines.clear();
  }

  private chooseKind(workKind: string): string {
    const isKnown = this.baselines.has(workKind);
    return isKnown || this.baselines.size < MAX_KINDS ? workKind : SHARED_KIND;
  }
}

function chooseWeight(ratio: number): number {
  if (ratio >= HIGH_RATIO) {
    return HIGH_LATENCY_WEIGHT;
  }
  return ratio <= 1 / HIGH_RATIO ? LOW_LATENCY_WEIGHT : LONG_TERM_WEIGHT;
}
