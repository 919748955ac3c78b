import type {Histogram} from 'hdr-histogram-js';
// The package's main module would load WebAssembly and compression at startup.
import * as histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js';

/**
 * Counters, gauges and latency histograms of one process, and their export in
 * the Prometheus text format.
 */

/** Labels of a metric. @public */
export type MetricLabels = Readonly<Record<string, string>>;

/** Quantiles that a histogram exports. */
const EXPORTED_QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;

/**
 * Highest latency that a histogram records, in microseconds. Higher ones are
 * clamped to it.
 */
const HIGHEST_LATENCY_US = 600_000_000;

/** Initial upper bound of a histogram, which is resized as needed. */
const INITIAL_HIGHEST_LATENCY_US = 100_000;

/** Module loaders differ in whether they unwrap the package's default export. */
const histogramExports = histogramModule.default;
const Int32Histogram = histogramExports.default ?? histogramExports;

/** Significant decimal digits that a histogram keeps of a duration. */
const SIGNIFICANT_DIGITS = 2;

type MetricKind = 'counter' | 'gauge' | 'summary';

interface MetricFamily {
  readonly kind: MetricKind;
  readonly help: string;
  readonly series: Map<string, Series>;
}

interface Series {
  value: number;
  readonly histogram: Histogram | null;
}

/** All metrics of a process. @public */
export class MetricsRegistry {
  private readonly families = new Map<string, MetricFamily>();

  private constructor() {}

  static create(): MetricsRegistry {
    return new MetricsRegistry();
  }

  /** Increments a counter. `name` ends in `_total`. */
  increment(
    name: string,
    help: string,
    labels: MetricLabels = {},
    amount = 1,
  ): void {
    this.getSeries(name, help, 'counter', labels).value += amount;
  }

  /** Sets a gauge. `name` ends in its unit. */
  setGauge(
    name: string,
    help: string,
    value: number,
    labels: MetricLabels = {},
  ): void {
    this.getSeries(name, help, 'gauge', labels).value = value;
  }

  /** Records a duration in milliseconds. `name` ends in `_seconds`. */
  recordDurationMs(
    name: string,
    help: string,
    durationMs: number,
    labels: MetricLabels = {},
  ): void {
    const series = this.getSeries(name, help, 'summary', labels);
    const durationUs = Math.max(0, Math.round(durationMs * 1000));
    series.value += durationMs;
    series.histogram?.recordValue(Math.min(durationUs, HIGHEST_LATENCY_US));
  }

  /** Returns the value of a counter or gauge; 0 if it was never set. */
  getValue(name: string, labels: MetricLabels = {}): number {
    const family = this.families.get(name);
    return family?.series.get(formatLabels(labels))?.value ?? 0;
  }

  /** Formats all metrics in the Prometheus text format, version 0.0.4. */
  formatPrometheusText(): string {
    const lines: string[] = [];
    for (const [name, family] of this.families) {
      lines.push(`# HELP ${name} ${family.help}`);
      lines.push(`# TYPE ${name} ${family.kind}`);
      for (const [labels, series] of family.series) {
        lines.push(...formatSeries(name, labels, series));
      }
    }
    return `${lines.join('\n')}\n`;
  }

  private getSeries(
    name: string,
    help: string,
    kind: MetricKind,
    labels: MetricLabels,
  ): Series {
    let family = this.families.get(name);
    if (family === undefined) {
      family = {kind, help, series: new Map()};
      this.families.set(name, family);
    }
    const key = formatLabels(labels);
    let series = family.series.get(key);
    if (series === undefined) {
      series = {
        value: 0,
        histogram: kind === 'summary' ? createHistogram() : null,
      };
      family.series.set(key, series);
    }
    return series;
  }
}

/** Creates a histogram of durations in microseconds. @public */
export function createHistogram(): Histogram {
  const histogram = new Int32Histogram(
    1,
    INITIAL_HIGHEST_LATENCY_US,
    SIGNIFICANT_DIGITS,
  );
  histogram.autoResize = true;
  return histogram;
}

function formatSeries(
  name: string,
  labels: string,
  series: Series,
): readonly string[] {
  if (series.histogram === null) {
    return [`${name}${wrapLabels(labels)} ${series.value}`];
  }
  const lines: string[] = [];
  for (const quantile of EXPORTED_QUANTILES) {
    const valueUs = series.histogram.getValueAtPercentile(quantile * 100);
    const quantileLabel = `quantile="${quantile}"`;
    const allLabels =
      labels === '' ? quantileLabel : `${labels},${quantileLabel}`;
    lines.push(`${name}${wrapLabels(allLabels)} ${valueUs / 1_000_000}`);
  }
  lines.push(`${name}_sum${wrapLabels(labels)} ${series.value / 1000}`);
  lines.push(
    `${name}_count${wrapLabels(labels)} ${series.histogram.totalCount}`,
  );
  return lines;
}

function wrapLabels(labels: string): string {
  return labels === '' ? '' : `{${labels}}`;
}

function formatLabels(labels: MetricLabels): string {
  const parts: string[] = [];
  for (const [name, value] of Object.entries(labels)) {
    parts.push(`${name}="${escapeLabelValue(value)}"`);
  }
  return parts.join(',');
}

function escapeLabelValue(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}
