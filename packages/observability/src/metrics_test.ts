import {describe, expect, it} from 'vitest';
import {MetricsRegistry} from './metrics.js';

describe('MetricsRegistry', () => {
  it('formats a counter with its labels', () => {
    const metrics = MetricsRegistry.create();
    metrics.increment('reads_total', 'Reads.', {target: 'replica'});
    metrics.increment('reads_total', 'Reads.', {target: 'replica'}, 2);
    expect(metrics.formatPrometheusText()).toBe(
      '# HELP reads_total Reads.\n# TYPE reads_total counter\nreads_total{target="replica"} 3\n',
    );
  });

  it('escapes label values', () => {
    const metrics = MetricsRegistry.create();
    metrics.setGauge('age_seconds', 'Age.', 1, {name: 'a"b\\c\nd'});
    expect(metrics.formatPrometheusText()).toContain(
      'age_seconds{name="a\\"b\\\\c\\nd"} 1',
    );
  });

  it('formats quantiles, sum and count of durations in seconds', () => {
    const metrics = MetricsRegistry.create();
    for (const durationMs of [1, 2, 3]) {
      metrics.recordDurationMs('wait_seconds', 'Wait.', durationMs);
    }
    const text = metrics.formatPrometheusText();
    expect(text).toContain('wait_seconds{quantile="0.5"} 0.002');
    expect(text).toContain('wait_seconds_sum 0.006');
    expect(text).toContain('wait_seconds_count 3');
  });

  it('counts a duration above the highest trackable value', () => {
    const metrics = MetricsRegistry.create();
    metrics.recordDurationMs('wait_seconds', 'Wait.', 1e9);
    expect(metrics.formatPrometheusText()).toContain('wait_seconds_count 1');
  });
});
