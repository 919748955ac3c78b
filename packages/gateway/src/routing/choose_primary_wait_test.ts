import {describe, expect, it} from 'vitest';
import {choosePrimaryWaitMs} from './choose_primary_wait.js';

describe('choosePrimaryWaitMs', () => {
  it('waits for a change that is expected to end before the deadline', () => {
    const inputs = {
      availableMs: 1_000,
      changeAgeMs: 600,
      expectedChangeMs: 1_200,
    };
    expect(choosePrimaryWaitMs(inputs)).toBeGreaterThan(600);
  });

  it('refuses immediately when the change is expected to end after the deadline', () => {
    const inputs = {
      availableMs: 500,
      changeAgeMs: 100,
      expectedChangeMs: 1_200,
    };
    expect(choosePrimaryWaitMs(inputs)).toBe(0);
  });

  it('refuses immediately when the change is stuck', () => {
    const inputs = {
      availableMs: 1_000,
      changeAgeMs: 20_000,
      expectedChangeMs: 1_200,
    };
    expect(choosePrimaryWaitMs(inputs)).toBe(0);
  });

  /** Simulates statements during a change that lasts 20 s instead of 1.2 s. */
  it('makes few statements wait without success during a change that does not end', () => {
    let wastedWaitMs = 0;
    for (let arrivalMs = 0; arrivalMs < 20_000; arrivalMs += 10) {
      wastedWaitMs += choosePrimaryWaitMs({
        availableMs: 1_000,
        changeAgeMs: arrivalMs,
        expectedChangeMs: 1_200,
      });
    }
    const baselineMs = 2_000 * 1_000;
    expect(wastedWaitMs).toBeLessThan(baselineMs / 15);
  });
});
