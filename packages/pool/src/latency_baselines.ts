/**
 * Long-term mean latencies of one server. Each kind of work has a mean of its
 * own, and all kinds share a factor by which the server is slower or faster
 * than these means. A server that has restarted may be several times slower for
 * some seconds, in which a pool gets only a few responses of each kind; the
 * factor is known after the first few responses of any kind.
 */

/** Weight of a response in the short-term mean of the relative latency. */
const SHORT_TERM_WEIGHT = 0.1;

/**
 * Weight of a latency in the long-term means. A latency changes two of them, and
 * at 0.02 they followed a doubled latency before the short-term mean showed it.
 */
const LONG_TERM_WEIGHT = 0.005;

/**
 * Weight in the long-term means while the server is unusually slow. It is
 * lower, so that a queue does not soon count as normal. The weight depends on
 * the short-term mean: chosen by single latencies, it biased the baseline to
 * short statements, and with exponentially distributed durations a healthy
 * server counted as congested.
 */
const SLOW_WEIGHT = 0.002;

/**
 * Weight in the long-term means while the server is unusually fast. It is
 * higher, because only a server that became faster responds so early.
 */
const FAST_WEIGHT = 0.05;

/** Ratio of the short-term to the long-term mean, or inverse, that is unusual. */
const UNUSUAL_RATIO = 1.5;

/**
 * Responses in a row without an unusual latency after which a slow server counts
 * as normal. The short-term mean alone needed about 16, which take 0.5 to 1.5 s
 * at the request rates of a pool.
 */
const RECOVERY_RESPONSES = 4;

/** Largest ratio of a latency that counts in the short-term mean. */
const MAX_SINGLE_RATIO = 4;

/** First latencies of a mean, which count alike. */
const WARM_UP_SAMPLES = 5;

/** Lower bound of means, so that a latency of 0 leads to no division by 0. */
const MIN_MEAN = 0.001;

/** Kinds of work with a mean of their own; further kinds share one. */
const MAX_KINDS = 64;

/** Key of the mean that further kinds share. */
const SHARED_KIND = '';

interface Mean {
  value: number;
  samples: number;
}

/** Baselines of the latency by kind of work. @internal */
export class LatencyBaselines {
  private readonly kinds = new Map<string, Mean>();
  private factor: Mean = createNeutralFactor();
  private shortTerm = 1;
  /** Latest responses in a row without an unusual latency. */
  private normalResponses = 0;

  private constructor() {}

  static create(): LatencyBaselines {
    return new LatencyBaselines();
  }

  /** Short-term mean of the latency relative to the long-term means. */
  get shortTermRatio(): number {
    return this.shortTerm;
  }

  /**
   * Records a latency, or null for a response whose latency is not known. Such
   * a response counts as normal, so that a server that gets only transactions
   * does not count as slow for ever.
   */
  record(workKind: string, latencyMs: number | null): void {
    if (latencyMs === null) {
      this.recordNormal();
      return;
    }
    const kind = this.getKind(workKind);
    const relative = latencyMs / this.factor.value;
    if (kind.value <= 0) {
      kind.value = relative;
      kind.samples = 1;
      return;
    }
    const ratioToKind = latencyMs / kind.value;
    const ratio = Math.min(ratioToKind / this.factor.value, MAX_SINGLE_RATIO);
    if (this.factor.samples >= WARM_UP_SAMPLES) {
      this.updateShortTerm(ratio);
    }
    const weight = chooseWeight(this.shortTerm);
    addSample(kind, relative, weight);
    addSample(this.factor, ratioToKind, weight);
  }

  /**
   * Learns the server's factor anew from the next responses; the kinds' means
   * remain.
   */
  restart(): void {
    this.factor = {value: this.factor.value, samples: 0};
    this.shortTerm = 1;
    this.normalResponses = 0;
  }

  private updateShortTerm(ratio: number): void {
    this.shortTerm += (ratio - this.shortTerm) * SHORT_TERM_WEIGHT;
    if (ratio <= UNUSUAL_RATIO) {
      this.recordNormal();
    } else {
      this.normalResponses = 0;
    }
  }

  private recordNormal(): void {
    this.normalResponses++;
    if (this.normalResponses >= RECOVERY_RESPONSES) {
      this.shortTerm = Math.min(this.shortTerm, 1);
    }
  }

  private getKind(workKind: string): Mean {
    const isShared = !this.kinds.has(workKind) && this.kinds.size >= MAX_KINDS;
    const key = isShared ? SHARED_KIND : workKind;
    const known = this.kinds.get(key);
    if (known !== undefined) {
      return known;
    }
    const kind = {value: 0, samples: 0};
    this.kinds.set(key, kind);
    return kind;
  }
}

/** A factor that has not been observed counts as 1 with full confidence. */
function createNeutralFactor(): Mean {
  return {value: 1, samples: WARM_UP_SAMPLES};
}

function addSample(mean: Mean, sample: number, weight: number): void {
  mean.samples++;
  const isWarmUp = mean.samples <= WARM_UP_SAMPLES;
  const change = (sample - mean.value) * (isWarmUp ? 1 / mean.samples : weight);
  mean.value = Math.max(mean.value + change, MIN_MEAN);
}

function chooseWeight(shortTermRatio: number): number {
  if (shortTermRatio >= UNUSUAL_RATIO) {
    return SLOW_WEIGHT;
  }
  return shortTermRatio <= 1 / UNUSUAL_RATIO ? FAST_WEIGHT : LONG_TERM_WEIGHT;
}
