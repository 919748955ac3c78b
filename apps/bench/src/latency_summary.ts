import {createHistogram} from '@filbertrun/observability/metrics.js';

/** Quantiles of durations, in milliseconds. */

const US_PER_MS = 1000;

/** Quantiles of recorded durations. @public */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Records durations in a histogram. @public */
export class LatencyRecorder {
  private readonly histogram = createHistogram();

  private constructor() {}

  static create(): LatencyRecorder {
    return new LatencyRecorder();
  }

  record(durationMs: number): void {
    const durationUs = Math.max(0, Math.round(durationMs * US_PER_MS));
    this.histogram.recordValue(durationUs);
  }

  getSummary(): LatencySummary {
    return {
      count: this.histogram.totalCount,
      p50: this.getQuantileMs(50),
      p99: this.getQuantileMs(99),
      max: this.histogram.maxValue / US_PER_MS,
    };
  }

  private getQuantileMs(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / US_PER_MS;
  }
}

/** Quantiles of a small set of values by the nearest-rank method. @public */
export function summarize(valuesMs: readonly number[]): LatencySummary {
  const sorted = [...valuesMs].sort((left, right) => left - right);
  const getQuantile = (share: number) =>
    sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
  return {
    count: sorted.length,
    p50: getQuantile(0.5),
    p99: getQuantile(0.99),
    max: sorted.at(-1) ?? 0,
  };
}
