import {describe, expect, it} from 'vitest';
import {readMetric} from './prometheus_text.js';

const TEXT = `# HELP reads_total Reads.
reads_total{target="replica",zone="a"} 3
reads_total{target="primary",zone="a"} 4
reads_total_other 9
`;

describe('readMetric', () => {
  it('sums the series that have the labels', () => {
    expect(readMetric(TEXT, 'reads_total')).toBe(7);
    expect(readMetric(TEXT, 'reads_total', {target: 'replica'})).toBe(3);
  });

  it('gives 0 for a metric that is not there', () => {
    expect(readMetric(TEXT, 'reads')).toBe(0);
  });
});
