import {describe, expect, it} from 'vitest';
import type {ConcurrencySample} from './concurrency_control.js';
import {ConcurrencyLimit} from './concurrency_limit.js';

function createSample(
  latencyMs: number | null,
  activeAtStart: number,
): ConcurrencySample {
  return {latencyMs, activeAtStart, workKind: 'read', outcome: 'served'};
}

function record(limit: ConcurrencyLimit, windows: number, latencyMs: number) {
  for (let sample = 0; sample < windows * 20; sample++) {
    limit.record(createSample(latencyMs, limit.value));
  }
}

describe('ConcurrencyLimit', () => {
  it('rises to its maximum while latency stays at the baseline', () => {
    const limit = ConcurrencyLimit.create(2, 6);
    expect(limit.value).toBe(2);
    record(limit, 10, 5);
    expect(limit.value).toBe(6);
  });

  it('falls no lower than its minimum while latency is high', () => {
    const limit = ConcurrencyLimit.create(2, 10);
    record(limit, 10, 5);
    record(limit, 12, 50);
    expect(limit.value).toBe(2);
  });

  it('does not rise while fewer requests are active than it allows', () => {
    const limit = ConcurrencyLimit.create(2, 6);
    for (let sample = 0; sample < 100; sample++) {
      limit.record(createSample(5, 1));
    }
    expect(limit.value).toBe(2);
  });

  it('adopts a lasting change of latency as the new baseline', () => {
    const limit = ConcurrencyLimit.create(2, 10);
    record(limit, 5, 5);
    record(limit, 80, 20);
    expect(limit.value).toBe(10);
  });

  it('follows the latency alone, not the outcome, a missing latency or a restart', () => {
    const limit = ConcurrencyLimit.create(2, 10, 5);
    record(limit, 1, 5);
    expect(limit.value).toBe(6);
    for (const outcome of ['rejected', 'failed', 'timedOut'] as const) {
      limit.record({...createSample(5, 1), outcome});
      limit.record({...createSample(null, 6), outcome});
    }
    limit.restart();
    expect(limit.value).toBe(6);
  });
});
