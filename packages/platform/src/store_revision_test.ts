import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createRevision, getEra, splitRevision} from './store_revision.js';

const parts = fc.record({
  era: fc.integer({min: 0, max: 4_000}),
  change: fc.integer({min: 0, max: 2 ** 40 - 1}),
});

describe('store revisions', () => {
  it('equal the change numbers of a store that was never restored', () => {
    expect(createRevision({era: 0, change: 1_234})).toBe(1_234);
  });

  it('are ordered by era, then by change', () => {
    fc.assert(
      fc.property(parts, parts, (left, right) => {
        const isEarlier =
          left.era < right.era ||
          (left.era === right.era && left.change < right.change);
        const [a, b] = [createRevision(left), createRevision(right)];
        expect(a !== null && b !== null && a < b).toBe(isEarlier);
      }),
    );
  });

  it('split into the parts they were created from', () => {
    fc.assert(
      fc.property(parts, drawn => {
        const revision = createRevision(drawn) ?? -1;
        expect(Number.isSafeInteger(revision)).toBe(true);
        expect(splitRevision(revision)).toEqual(drawn);
        expect(getEra(revision)).toBe(drawn.era);
      }),
    );
  });

  it('are not created from parts that are out of range', () => {
    expect(createRevision({era: 5_000, change: 1})).toBeNull();
    expect(createRevision({era: 1, change: 2 ** 40})).toBeNull();
    expect(createRevision({era: 1, change: -1})).toBeNull();
    expect(createRevision({era: 0.5, change: 1})).toBeNull();
  });
});
