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

  // Guards against reads sent to a server that has just become slow, until its
  // first slow response arrives.
  it('derives a slowdown from the time that a statement has been pending', () => {
    const work = ExpectedWork.create();
    expect(work.estimateSlowdown(1, 500)).toBe(1);
    work.record('checkout', 8);
    work.record('browse', 40);
    expect(work.estimateSlowdown(1, 40)).toBe(1);
    expect(work.estimateSlowdown(1, 120)).toBe(3);
    expect(work.estimateSlowdown(5, 120)).toBe(5);
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
