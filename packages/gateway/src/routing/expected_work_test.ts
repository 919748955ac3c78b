import {describe, expect, it} from 'vitest';
import {ExpectedWork} from './expected_work.js';

describe('ExpectedWork', () => {
  it('is unknown before the first response', () => {
    expect(ExpectedWork.create().get('browse')).toBeNull();
  });

  it('keeps kinds of work apart', () => {
    const work = ExpectedWork.create();
    for (let index = 0; index < 50; index++) {
      work.record('browse', 40);
      work.record('checkout', 8);
    }
    expect(work.get('browse')).toBeCloseTo(40);
    expect(work.get('checkout')).toBeCloseTo(8);
  });

  // Guards against memory that grows with each renamed database.
  it('keeps a bounded number of kinds', () => {
    const work = ExpectedWork.create();
    for (let index = 0; index < 1_000; index++) {
      work.record(`kind-${index}`, 1);
    }
    expect(work.get('kind-0')).toBeNull();
    expect(work.get('kind-999')).toBe(1);
  });
});
