import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createRevision, getEra, splitRevision} from './store_revision.js';

const parts = fc.record({
  era: fc.integer({min: 0, max: 4_000}),
  change: fc.integer({min: 0, max: 2 ** 40 - 1}),
});

describe('store revisions', () => {
  it('are those of the store as long as it has never come back from a copy', () => {
    expect(createRevision({era: 0, change: 1_234})).toBe(1_234);
  });

  it('are in the order of eras first, then of changes', () => {
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

  it('give their parts back', () => {
    fc.assert(
      fc.property(parts, drawn => {
        const revision = createRevision(drawn) ?? -1;
        expect(Number.isSafeInteger(revision)).toBe(true);
        expect(splitRevision(revision)).toEqual(drawn);
        expect(getEra(revision)).toBe(drawn.era);
      }),
    );
  });

  it('refuse parts that they have no room for', () => {
    expect(createRevision({era: 5_000, change: 1})).toBeNull();
    expect(createRevision({era: 1, change: 2 ** 40})).toBeNull();
    expect(createRevision({era: 1, change: -1})).toBeNull();
    expect(createRevision({era: 0.5, change: 1})).toBeNull();
  });
});
