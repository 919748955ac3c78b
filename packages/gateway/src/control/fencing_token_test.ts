import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {getNextToken, getTokenEra} from './fencing_token.js';

function createLeaderRecord(fencingToken: number) {
  return {
    holder: 'entry-1',
    incarnation: 'one',
    fencingToken,
    renewalCount: 0,
    eraSinceStoreMs: 0,
  };
}

describe('fencing tokens', () => {
  it('count up from 1 if the store was never restored from a backup', () => {
    expect(getNextToken(0, null)).toBe(1);
    expect(getNextToken(0, createLeaderRecord(7))).toBe(8);
  });

  it('store restored: a token of a later era exceeds all tokens of earlier eras', () => {
    const count = fc.integer({min: 0, max: 1_000_000});
    fc.assert(
      fc.property(
        fc.integer({min: 0, max: 1_000}),
        count,
        count,
        (era, lostCount, storedCount) => {
          let lostToken = getNextToken(era, null);
          lostToken += lostCount;
          const storedToken = getNextToken(era, null) + storedCount;
          const next = getNextToken(era + 1, createLeaderRecord(storedToken));
          expect(next).toBeGreaterThan(lostToken);
          expect(Number.isSafeInteger(next)).toBe(true);
          expect(getTokenEra(next)).toBe(era + 1);
        },
      ),
    );
  });
});
