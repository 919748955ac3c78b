import {describe, expect, it} from 'vitest';
import {ResponseStreak} from './response_streak.js';

describe('ResponseStreak', () => {
  it('grows after a bad response only with the third good one in a row', () => {
    const streak = ResponseStreak.create();
    expect(streak.record('served', 1)).toBe('grow');
    streak.record('failed', 1);
    expect(streak.record('served', 1)).toBe('keep');
    expect(streak.record('served', 1)).toBe('keep');
    expect(streak.record('served', 1)).toBe('grow');
    streak.record('failed', 1);
    expect(streak.record('served', 1)).toBe('keep');
  });

  it('reduces once for the requests that were in flight together', () => {
    const streak = ResponseStreak.create();
    expect(streak.record('rejected', 3)).toBe('reduce');
    expect(streak.record('rejected', 2)).toBe('keep');
    expect(streak.record('timedOut', 2)).toBe('keep');
    expect(streak.record('failed', 2)).toBe('reduce');
  });

  it('ignores leases that say nothing about the server', () => {
    const streak = ResponseStreak.create();
    streak.record('failed', 1);
    streak.record('served', 1);
    streak.record('served', 1);
    expect(streak.record('unused', 1)).toBe('keep');
    expect(streak.record('served', 1)).toBe('grow');
  });

  it('forgets earlier responses at a restart', () => {
    const streak = ResponseStreak.create();
    streak.record('failed', 3);
    streak.restart();
    expect(streak.record('served', 1)).toBe('grow');
    expect(streak.record('failed', 1)).toBe('reduce');
  });
});
