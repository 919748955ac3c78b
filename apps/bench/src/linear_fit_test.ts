import {describe, expect, it} from 'vitest';
import {fitLine} from './linear_fit.js';

describe('fitLine', () => {
  it('finds the line that the points lie on', () => {
    const fit = fitLine([
      {x: 0, y: 1},
      {x: 2, y: 5},
      {x: 4, y: 9},
    ]);
    expect(fit).toEqual({slope: 2, intercept: 1, rSquared: 1});
  });

  it('tells how badly scattered points fit', () => {
    const fit = fitLine([
      {x: 0, y: 0},
      {x: 1, y: 9},
      {x: 2, y: 0},
    ]);
    expect(fit.slope).toBe(0);
    expect(fit.rSquared).toBe(0);
  });

  it('has no fit to tell when nothing varies', () => {
    const fit = fitLine([
      {x: 0, y: 3},
      {x: 1, y: 3},
    ]);
    expect(fit.rSquared).toBeNull();
  });

  it('refuses points with one x', () => {
    expect(() => fitLine([{x: 1, y: 1}])).toThrow(RangeError);
  });
});
