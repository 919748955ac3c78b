import {describe, expect, it} from 'vitest';
import {
  BURN_WINDOWS,
  getAlertLevel,
  getBudgetLeft,
  getBurnRate,
  type BurnWindowName,
  type WindowBurn,
} from './burn.js';

function createBurns(
  rates: Partial<Record<BurnWindowName, number>>,
): readonly WindowBurn[] {
  return BURN_WINDOWS.map(window => ({
    window: window.name,
    badEvents: 0,
    allEvents: 0,
    burnRate: rates[window.name] ?? null,
  }));
}

describe('getBurnRate and getBudgetLeft', () => {
  it('give a burn rate of 1 when exactly the allowed share of events is bad', () => {
    const counts = {badEvents: 1, allEvents: 1000};
    expect(getBurnRate(counts, 0.999)).toBeCloseTo(1);
    expect(getBudgetLeft(counts, 0.999)).toBeCloseTo(0);
  });

  it('give no burn rate and the full budget without events', () => {
    const counts = {badEvents: 0, allEvents: 0};
    expect(getBurnRate(counts, 0.99)).toBeNull();
    expect(getBudgetLeft(counts, 0.99)).toBe(1);
  });

  it('give a negative budget when it is overspent', () => {
    expect(getBudgetLeft({badEvents: 3, allEvents: 100}, 0.99)).toBeCloseTo(-2);
  });
});

describe('getAlertLevel', () => {
  it('pages when both the long and the short window burn fast', () => {
    expect(getAlertLevel(createBurns({'5m': 20, '1h': 15}))).toBe('page');
  });

  it('does not page when the burn has stopped within the short window', () => {
    expect(getAlertLevel(createBurns({'5m': 0, '1h': 15}))).toBe('none');
  });

  it('pages on a slower burn over six hours', () => {
    expect(getAlertLevel(createBurns({'30m': 6, '6h': 6.5}))).toBe('page');
  });

  it('opens a ticket on a slow burn over three days', () => {
    expect(getAlertLevel(createBurns({'6h': 1.2, '3d': 1}))).toBe('ticket');
  });

  it('returns no alert without events', () => {
    expect(getAlertLevel(createBurns({}))).toBe('none');
  });
});
