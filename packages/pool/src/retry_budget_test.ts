import {describe, expect, it} from 'vitest';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {RetryBudget} from './retry_budget.js';

const LIMITS = {retryRatio: 0.1, minRetriesPerSecond: 1, maxTokens: 5};

function countRetries(budget: RetryBudget, attempts: number): number {
  let count = 0;
  for (let attempt = 0; attempt < attempts; attempt++) {
    count += budget.tryTakeRetry() ? 1 : 0;
  }
  return count;
}

describe('RetryBudget', () => {
  it('limits retries to a fraction of the requests', () => {
    const budget = RetryBudget.create(VirtualClock.create(), LIMITS);
    countRetries(budget, 100);
    let retries = 0;
    for (let request = 0; request < 1000; request++) {
      budget.recordRequest();
      retries += countRetries(budget, 1);
    }
    expect(retries).toBeGreaterThan(90);
    expect(retries).toBeLessThanOrEqual(100);
  });

  it('allows some retries while there are few requests', () => {
    const clock = VirtualClock.create();
    const budget = RetryBudget.create(clock, LIMITS);
    expect(countRetries(budget, 100)).toBe(5);
    clock.advance(2000);
    expect(countRetries(budget, 100)).toBe(2);
  });
});
