import {describe, expect, it} from 'vitest';
import {WorkEstimates} from './work_estimates.js';

describe('WorkEstimates', () => {
  it('has defaults before any sample', () => {
    const estimates = WorkEstimates.create();
    expect(estimates.getWorkMs('any')).toBeGreaterThan(0);
    expect(estimates.handshakeMs).toBe(12);
  });

  it('does not mix kinds of different work', () => {
    const estimates = WorkEstimates.create();
    for (let count = 0; count < 50; count++) {
      estimates.recordWork('short', 8);
      estimates.recordWork('long', 40);
    }
    expect(estimates.getWorkMs('short')).toBeCloseTo(8);
    expect(estimates.getWorkMs('long')).toBeCloseTo(40);
    expect(estimates.getWorkMs('unknown')).toBeGreaterThan(8);
    expect(estimates.getWorkMs(null)).toBeLessThan(40);
  });

  it('follows a server that becomes slower', () => {
    const estimates = WorkEstimates.create();
    for (const workMs of [10, ...Array<number>(30).fill(60)]) {
      estimates.recordWork('kind', workMs);
    }
    expect(estimates.getWorkMs('kind')).toBeGreaterThan(55);
  });

  it('does not grow without bound by the number of kinds', () => {
    const estimates = WorkEstimates.create();
    for (let kind = 0; kind < 1000; kind++) {
      estimates.recordWork(`kind ${kind}`, 10);
    }
    estimates.recordWork('late kind', 5000);
    expect(estimates.getWorkMs('late kind')).toBeLessThan(1000);
  });

  it('does not count waiting for a slot as the handshake of a request', () => {
    const estimates = WorkEstimates.create();
    estimates.recordHandshake(80);
    expect(estimates.handshakeMs).toBe(80);
    expect(estimates.unloadedHandshakeMs).toBe(12);
  });
});
