import {describe, expect, it} from 'vitest';
import * as fc from 'fast-check';
import {computeZoneShare, isAccessShared} from './compute_zone_share.js';

const DEPLOYMENT = {
  maxConnections: 82,
  entryVmCount: 37,
  directEntryVmCount: 0,
  hasCustomers: true,
  zoneCount: 3,
  mayHaveOrphans: false,
};

describe('isAccessShared', () => {
  it('is true where each proxy would get a single connection', () => {
    expect(isAccessShared(DEPLOYMENT)).toBe(true);
    expect(
      isAccessShared({
        ...DEPLOYMENT,
        maxConnections: 46,
        entryVmCount: 83,
        zoneCount: 6,
      }),
    ).toBe(true);
  });

  it('leaves deployments with room for each proxy unchanged', () => {
    expect(
      isAccessShared({...DEPLOYMENT, maxConnections: 22, entryVmCount: 5}),
    ).toBe(false);
    expect(
      isAccessShared({...DEPLOYMENT, maxConnections: 180, entryVmCount: 26}),
    ).toBe(false);
  });

  it('does not forward where a zone has only one or two proxies', () => {
    expect(
      isAccessShared({
        ...DEPLOYMENT,
        maxConnections: 16,
        entryVmCount: 5,
        zoneCount: 4,
      }),
    ).toBe(false);
  });
});

describe('computeZoneShare', () => {
  it('leaves the share of one zone for a second holder', () => {
    expect(computeZoneShare(DEPLOYMENT)).toBe(20);
  });

  // Guards against connections that are all held for round trips between regions.
  it('gives a zone of another region twice the share of a near one', () => {
    const inputs = {
      ...DEPLOYMENT,
      maxConnections: 46,
      entryVmCount: 83,
      zoneCount: 6,
    };
    const near = computeZoneShare(inputs, {farZoneCount: 3, isFar: false});
    const far = computeZoneShare(inputs, {farZoneCount: 3, isFar: true});
    expect([near, far]).toEqual([4, 8]);
    expect(3 * near + 3 * far + far).toBeLessThanOrEqual(44);
  });

  it('halves the share while the previous process may be counted', () => {
    expect(computeZoneShare({...DEPLOYMENT, mayHaveOrphans: true})).toBe(10);
  });

  it('never exceeds the limit together with the proxies of older builds', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 20, max: 500}),
        fc.integer({min: 1, max: 7}),
        fc.integer({min: 0, max: 10}),
        (maxConnections, zoneCount, directEntryVmCount) => {
          const share = computeZoneShare({
            maxConnections,
            entryVmCount: 100,
            directEntryVmCount,
            hasCustomers: true,
            zoneCount,
            mayHaveOrphans: false,
          });
          const total = share * zoneCount + directEntryVmCount;
          expect(total).toBeLessThanOrEqual(maxConnections - 2);
        },
      ),
      {seed: 1},
    );
  });
});
