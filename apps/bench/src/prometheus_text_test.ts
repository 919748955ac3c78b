import {describe, expect, it} from 'vitest';
import {sumSeries} from './prometheus_text.js';

const TEXT = `# HELP reads_total Reads.
reads_total{target="replica",zone="a"} 3
reads_total{target="primary",zone="a"} 4
reads_total_other 9
`;

describe('sumSeries', () => {
  it('sums the series that have the given labels', () => {
    expect(sumSeries(TEXT, 'reads_total')).toBe(7);
    expect(sumSeries(TEXT, 'reads_total', {target: 'replica'})).toBe(3);
  });

  it('returns 0 for a metric that does not exist', () => {
    expect(sumSeries(TEXT, 'reads')).toBe(0);
  });
});
