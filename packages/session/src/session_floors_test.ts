import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SessionFloors} from './session_floors.js';

const logPosition = fc.record({term: fc.nat(4), position: fc.nat(50)});
const floors = fc
  .array(fc.tuple(fc.constantFrom('a', 'b', 'c', 'd'), logPosition))
  .map(entries => SessionFloors.create(entries));

describe('SessionFloors', () => {
  it('starts at the origin', () => {
    expect(SessionFloors.createEmpty().get('a')).toEqual({
      term: 0,
      position: 0,
    });
  });

  it('is not changed by raising a floor', () => {
    const before = SessionFloors.createEmpty();
    const after = before.raise('a', {term: 1, position: 2});
    expect(before.size).toBe(0);
    expect(after.get('a')).toEqual({term: 1, position: 2});
  });

  it('ignores a higher position of an older term', () => {
    const current = SessionFloors.create([['a', {term: 2, position: 1}]]);
    expect(current.raise('a', {term: 1, position: 99})).toBe(current);
  });

  it('merges commutatively, associatively and idempotently', () => {
    fc.assert(
      fc.property(floors, floors, floors, (one, two, three) => {
        const left = one.merge(two).merge(three).getEntries();
        const right = three.merge(one.merge(two.merge(one))).getEntries();
        expect(left).toEqual(right);
        expect(one.merge(one).getEntries()).toEqual(one.getEntries());
      }),
      {seed: 21},
    );
  });

  it('merges to floors that cover both operands', () => {
    fc.assert(
      fc.property(floors, floors, (one, two) => {
        const merged = one.merge(two);
        for (const [group, floor] of [
          ...one.getEntries(),
          ...two.getEntries(),
        ]) {
          expect(merged.raise(group, floor)).toBe(merged);
        }
      }),
      {seed: 22},
    );
  });
});
