import {describe, expect, it} from 'vitest';
import {fitLine} from './linear_fit.js';

describe('fitLine', () => {
  it('returns the exact line for collinear points', () => {
    const fit = fitLine([
      {x: 0, y: 1},
      {x: 2, y: 5},
      {x: 4, y: 9},
    ]);
    expect(fit).toEqual({slope: 2, intercept: 1, rSquared: 1});
  });

  it('returns an rSquared of 0 for uncorrelated points', () => {
    const fit = fitLine([
      {x: 0, y: 0},
      {x: 1, y: 9},
      {x: 2, y: 0},
    ]);
    expect(fit.slope).toBe(0);
    expect(fit.rSquared).toBe(0);
  });

  it('returns a null rSquared when y is constant', () => {
    const fit = fitLine([
      {x: 0, y: 3},
      {x: 1, y: 3},
    ]);
    expect(fit.rSquared).toBeNull();
  });

  it('throws when all points have the same x', () => {
    expect(() => fitLine([{x: 1, y: 1}])).toThrow(RangeError);
  });
});
