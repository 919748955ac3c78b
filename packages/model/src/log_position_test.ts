import {describe, expect, it} from 'vitest';
import {
  comparePositions,
  formatPosition,
  getLaterPosition,
  isCovered,
  parsePosition,
} from './log_position.js';

describe('log positions', () => {
  it('orders by term before position', () => {
    const longOldLog = {term: 1, position: 900};
    const shortNewLog = {term: 2, position: 10};
    expect(comparePositions(longOldLog, shortNewLog)).toBeLessThan(0);
    expect(getLaterPosition(longOldLog, shortNewLog)).toBe(shortNewLog);
  });

  it('orders by position within a term', () => {
    expect(
      comparePositions({term: 3, position: 5}, {term: 3, position: 4}),
    ).toBeGreaterThan(0);
  });

  it('does not cover a floor of a later term with a longer log', () => {
    expect(isCovered({term: 2, position: 1}, {term: 1, position: 99})).toBe(
      false,
    );
  });

  it('covers an equal floor', () => {
    expect(isCovered({term: 2, position: 1}, {term: 2, position: 1})).toBe(
      true,
    );
  });

  it('parses what it formats', () => {
    const position = {term: 12, position: 3456};
    expect(parsePosition(formatPosition(position))).toEqual(position);
  });

  it.each(['', '1', '1/', '/1', '-1/2', '1/2/3', '1/x', `1/${'9'.repeat(16)}`])(
    'rejects the malformed text %j',
    text => {
      expect(parsePosition(text)).toBeNull();
    },
  );
});
