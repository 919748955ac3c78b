import {describe, expect, it} from 'vitest';
import {LatencyBaselines} from './latency_baselines.js';

function record(
  baselines: LatencyBaselines,
  count: number,
  latencyMs: number,
): number {
  let ratio = 1;
  for (let sample = 0; sample < count; sample++) {
    ratio = baselines.record('read', latencyMs);
  }
  return ratio;
}

describe('LatencyBaselines', () => {
  it('compares a latency only with its own kind of work', () => {
    const baselines = LatencyBaselines.create();
    expect(baselines.record('short', 8)).toBe(1);
    expect(baselines.record('long', 40)).toBe(1);
    expect(baselines.record('short', 16)).toBe(2);
    expect(baselines.record('long', 40)).toBe(1);
  });

  it('does not soon take the latency of a queue for normal', () => {
    const baselines = LatencyBaselines.create();
    record(baselines, 50, 10);
    expect(record(baselines, 50, 60)).toBeGreaterThan(2);
  });

  it('adopts a lasting change of latency', () => {
    const baselines = LatencyBaselines.create();
    record(baselines, 50, 10);
    expect(record(baselines, 500, 30)).toBeLessThan(1.2);
  });

  it('soon follows a server that became faster', () => {
    const baselines = LatencyBaselines.create();
    record(baselines, 50, 60);
    expect(record(baselines, 10, 10)).toBeGreaterThan(0.5);
  });

  it('bounds the number of kinds', () => {
    const baselines = LatencyBaselines.create();
    for (let kind = 0; kind < 1_000; kind++) {
      baselines.record(`kind ${kind}`, 10);
    }
    expect(baselines.record('another', 20)).toBeGreaterThan(1.9);
  });
});
