import {describe, expect, it} from 'vitest';
import {ReplicaLagEstimate} from './replica_lag_estimate.js';

function recordMany(estimate: ReplicaLagEstimate, isCovered: boolean): void {
  for (let index = 0; index < 1000; index += 1) {
    estimate.recordCoverage(isCovered);
  }
}

describe('ReplicaLagEstimate', () => {
  it('falls after responses that covered the position and stays above zero', () => {
    const estimate = ReplicaLagEstimate.create();
    const before = estimate.getLagMs();
    estimate.recordCoverage(true);
    expect(estimate.getLagMs()).toBeLessThan(before);
    recordMany(estimate, true);
    expect(estimate.getLagMs()).toBeGreaterThan(0);
  });

  it('rises after discarded responses, up to a limit', () => {
    const estimate = ReplicaLagEstimate.create();
    recordMany(estimate, false);
    expect(estimate.getLagMs()).toBe(10_000);
  });

  it('falls more slowly than it rises', () => {
    const estimate = ReplicaLagEstimate.create();
    const before = estimate.getLagMs();
    estimate.recordCoverage(false);
    for (let index = 0; index < 10; index += 1) {
      estimate.recordCoverage(true);
    }
    expect(estimate.getLagMs()).toBeGreaterThan(before);
  });

  it('recovers after the lag has ended', () => {
    const estimate = ReplicaLagEstimate.create();
    recordMany(estimate, false);
    recordMany(estimate, true);
    expect(estimate.getLagMs()).toBeLessThan(5);
  });
});
