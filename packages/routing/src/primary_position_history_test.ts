import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {PrimaryPositionHistory} from './primary_position_history.js';

describe('PrimaryPositionHistory', () => {
  it('returns the earliest position that is recent enough', () => {
    const history = PrimaryPositionHistory.create();
    history.record(0, {term: 1, position: 1});
    history.record(10, {term: 1, position: 5});
    history.record(20, {term: 1, position: 9});
    expect(history.getPositionForAge(25, 15)).toEqual({term: 1, position: 5});
    expect(history.getPositionForAge(25, 4)).toBeNull();
  });

  it('returns how long the primary has held a position', () => {
    const history = PrimaryPositionHistory.create();
    history.record(10, {term: 1, position: 5});
    history.record(20, {term: 2, position: 6});
    expect(history.getAgeMs(25, {term: 1, position: 4})).toBe(15);
    expect(history.getAgeMs(25, {term: 1, position: 9})).toBe(5);
    expect(history.getAgeMs(25, {term: 2, position: 7})).toBeNull();
  });

  it('ignores a late response of a replaced primary', () => {
    const history = PrimaryPositionHistory.create();
    history.record(10, {term: 2, position: 5});
    history.record(20, {term: 1, position: 99});
    expect(history.getPositionForAge(20, 5)).toBeNull();
  });

  it('never returns a position older than allowed, even after dropping observations', () => {
    const steps = fc.array(
      fc.record({waitMs: fc.nat(20), records: fc.nat(3)}),
      {
        minLength: 400,
        maxLength: 800,
      },
    );
    fc.assert(
      fc.property(steps, fc.integer({min: 1, max: 9000}), (list, maxAgeMs) => {
        const history = PrimaryPositionHistory.create();
        const lastRecordedMs: number[] = [];
        let nowMs = 0;
        let position = 0;
        for (const step of list) {
          nowMs += step.waitMs;
          position += step.records;
          history.record(nowMs, {term: 1, position});
          lastRecordedMs[position] = nowMs;
        }
        const found = history.getPositionForAge(nowMs, maxAgeMs);
        // A position is current until the last time at which it was recorded.
        const endMs = lastRecordedMs[found?.position ?? position] ?? -1;
        expect(endMs).toBeGreaterThanOrEqual(nowMs - maxAgeMs);
      }),
      {seed: 42, numRuns: 50},
    );
  });
});
