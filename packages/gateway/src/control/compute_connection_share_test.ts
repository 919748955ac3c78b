import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {computeConnectionShare} from './compute_connection_share.js';

/** A fake instance with a connection limit. */
class LimitedInstance {
  private openCount: number;

  constructor(
    private readonly maxConnections: number,
    orphanCount: number,
  ) {
    this.openCount = orphanCount;
  }

  /** Opens up to `wanted` connections and returns how many were accepted. */
  open(wanted: number): number {
    const admitted = Math.min(wanted, this.maxConnections - this.openCount);
    this.openCount += admitted;
    return admitted;
  }
}

describe('computeConnectionShare', () => {
  const deployments = fc
    .record({
      entryVmCount: fc.integer({min: 1, max: 40}),
      spareConnections: fc.integer({min: 0, max: 100}),
    })
    .map(({entryVmCount, spareConnections}) => ({
      entryVmCount,
      // The limit allows at least two connections per proxy.
      maxConnections: 2 + entryVmCount * 2 + spareConnections,
    }));

  it('keeps the sum of all shares within the connection limit', () => {
    fc.assert(
      fc.property(deployments, fc.boolean(), (deployment, mayHaveOrphans) => {
        const share = computeConnectionShare({...deployment, mayHaveOrphans});
        expect(share * deployment.entryVmCount).toBeLessThanOrEqual(
          deployment.maxConnections,
        );
      }),
      {seed: 1},
    );
  });

  it('leaves a connection for every proxy when all restart while their old connections still count', () => {
    fc.assert(
      fc.property(deployments, deployment => {
        const before = computeConnectionShare({
          ...deployment,
          mayHaveOrphans: false,
        });
        const instance = new LimitedInstance(
          deployment.maxConnections,
          before * deployment.entryVmCount,
        );
        const after = computeConnectionShare({
          ...deployment,
          mayHaveOrphans: true,
        });
        for (let proxy = 0; proxy < deployment.entryVmCount; proxy++) {
          expect(instance.open(after)).toBeGreaterThanOrEqual(1);
        }
      }),
      {seed: 1},
    );
  });

  it('gives each of five proxies one of the seven spare connections of a limit of 22', () => {
    const deployment = {maxConnections: 22, entryVmCount: 5};
    const before = computeConnectionShare({
      ...deployment,
      mayHaveOrphans: false,
    });
    const after = computeConnectionShare({...deployment, mayHaveOrphans: true});
    expect({before, after}).toEqual({before: 3, after: 1});
  });

  it('is no larger after a restart than in steady state', () => {
    const deployment = {maxConnections: 500, entryVmCount: 1};
    const before = computeConnectionShare({
      ...deployment,
      mayHaveOrphans: false,
    });
    const after = computeConnectionShare({...deployment, mayHaveOrphans: true});
    expect(after).toBeLessThanOrEqual(before);
  });
});
