import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {computeConnectionShare} from './compute_connection_share.js';

/** An instance that admits a bounded number of connections. */
class CappedInstance {
  private openCount: number;

  constructor(
    private readonly maxConnections: number,
    orphanCount: number,
  ) {
    this.openCount = orphanCount;
  }

  /** Opens one after the other up to `wanted`; gives how many were admitted. */
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
      // An instance admits at least one connection of each proxy twice over.
      maxConnections: 2 + entryVmCount * 2 + spareConnections,
    }));

  it('never adds up to more than the instance admits', () => {
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

  it('leaves a connection for every proxy when all come back beside their old ones', () => {
    fc.assert(
      fc.property(deployments, deployment => {
        const before = computeConnectionShare({
          ...deployment,
          mayHaveOrphans: false,
        });
        const instance = new CappedInstance(
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

  it('gives each of five proxies one of the seven places that are left of 22', () => {
    const deployment = {maxConnections: 22, entryVmCount: 5};
    const before = computeConnectionShare({
      ...deployment,
      mayHaveOrphans: false,
    });
    const after = computeConnectionShare({...deployment, mayHaveOrphans: true});
    expect({before, after}).toEqual({before: 3, after: 1});
  });

  it('gives no more after a restart than in steady state', () => {
    const deployment = {maxConnections: 500, entryVmCount: 1};
    const before = computeConnectionShare({
      ...deployment,
      mayHaveOrphans: false,
    });
    const after = computeConnectionShare({...deployment, mayHaveOrphans: true});
    expect(after).toBeLessThanOrEqual(before);
  });
});
