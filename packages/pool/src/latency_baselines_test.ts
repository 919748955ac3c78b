import {beforeEach, describe, expect, it} from 'vitest';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {LatencyBaselines} from './latency_baselines.js';

let baselines: LatencyBaselines;

beforeEach(() => {
  baselines = LatencyBaselines.create();
});

/** Records latencies and returns the short-term ratio. */
function record(count: number, latencyMs: number, workKind = 'read'): number {
  for (let sample = 0; sample < count; sample++) {
    baselines.record(workKind, latencyMs);
  }
  return baselines.shortTermRatio;
}

describe('LatencyBaselines', () => {
  it('compares a latency only with its own kind of work', () => {
    for (let round = 0; round < 20; round++) {
      record(20, 8, 'short');
      expect(record(20, 40, 'long')).toBeCloseTo(1);
    }
    expect(record(10, 16, 'short')).toBeGreaterThan(1.5);
  });

  it('does not soon take the latency of a queue for normal', () => {
    record(50, 10);
    expect(record(50, 60)).toBeGreaterThan(2);
  });

  it('adopts a lasting change of latency', () => {
    record(50, 10);
    expect(record(500, 30)).toBeLessThan(1.2);
  });

  it('soon follows a server that became faster', () => {
    record(50, 60);
    record(30, 10);
    expect(record(10, 10)).toBeGreaterThan(0.7);
  });

  it('counts a server as normal after four normal responses', () => {
    record(50, 10);
    expect(record(20, 60)).toBeGreaterThan(2);
    expect(record(3, 10)).toBeGreaterThan(1);
    expect(record(1, 10)).toBeLessThanOrEqual(1);
  });

  it('counts a server as normal after four responses without a latency', () => {
    record(50, 10);
    expect(record(20, 60)).toBeGreaterThan(2);
    for (let response = 0; response < 4; response++) {
      baselines.record('transaction', null);
    }
    expect(baselines.shortTermRatio).toBeLessThanOrEqual(1);
  });

  it('learns the slowness of a restarted server from responses of any kind', () => {
    record(50, 8, 'short');
    record(50, 40, 'long');
    baselines.restart();
    record(6, 48, 'short');
    expect(record(20, 240, 'long')).toBeLessThan(1.3);
    expect(record(20, 480, 'long')).toBeGreaterThan(1.5);
  });

  // Baselines weighted by single latencies fell to a third of the mean here.
  it('does not take exponentially distributed latencies for congestion', () => {
    const random = SeededRandom.create(1);
    let congested = 0;
    for (let sample = 0; sample < 5_000; sample++) {
      record(1, -10 * Math.log(1 - random.nextFloat()));
      congested += Number(baselines.shortTermRatio > 1.75);
    }
    expect(congested).toBeLessThan(50);
  });

  it('bounds the number of kinds', () => {
    for (let kind = 0; kind < 1_000; kind++) {
      record(1, 10, `kind ${kind}`);
    }
    expect(record(10, 20, 'another')).toBeGreaterThan(1.3);
  });

  it('takes latencies of 0 for a very short time', () => {
    record(20, 0);
    expect(Number.isFinite(record(20, 10))).toBe(true);
  });
});
