import {describe, expect, it} from 'vitest';
import {ZoneRegions} from './zone_regions.js';

const REGIONS = ZoneRegions.create(
  new Map([
    ['a', 'east'],
    ['b', 'east'],
    ['c', 'west'],
  ]),
);

describe('ZoneRegions', () => {
  it('tells zones of different regions apart', () => {
    expect(REGIONS.areApart('a', 'b')).toBe(false);
    expect(REGIONS.areApart('a', 'c')).toBe(true);
    expect(REGIONS.countApart('c', ['a', 'b', 'c'])).toBe(2);
  });

  it('treats a zone without a region as near', () => {
    expect(REGIONS.areApart('a', 'unknown')).toBe(false);
  });
});
