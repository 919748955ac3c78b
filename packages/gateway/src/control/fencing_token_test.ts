import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {getNextToken, getTokenEra} from './fencing_token.js';

function duty(fencingToken: number) {
  return {
    holder: 'entry-1',
    incarnation: 'one',
    fencingToken,
    renewalCount: 0,
    eraSinceStoreMs: 0,
  };
}

describe('fencing tokens', () => {
  it('count up from 1 while the store has never come back from a copy', () => {
    expect(getNextToken(0, null)).toBe(1);
    expect(getNextToken(0, duty(7))).toBe(8);
  });

  it('store restored: a token of a later era exceeds every one of an earlier era', () => {
    const count = fc.integer({min: 0, max: 1_000_000});
    fc.assert(
      fc.property(
        fc.integer({min: 0, max: 1_000}),
        count,
        count,
        (era, forgottenCount, rememberedCount) => {
          let forgotten = getNextToken(era, null);
          forgotten += forgottenCount;
          const remembered = getNextToken(era, null) + rememberedCount;
          const next = getNextToken(era + 1, duty(remembered));
          expect(next).toBeGreaterThan(forgotten);
          expect(Number.isSafeInteger(next)).toBe(true);
          expect(getTokenEra(next)).toBe(era + 1);
        },
      ),
    );
  });
});
