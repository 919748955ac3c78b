import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {ServerSlowdown} from './server_slowdown.js';

describe('ServerSlowdown', () => {
  let clock: VirtualClock;
  let slowdown: ServerSlowdown;

  beforeEach(() => {
    clock = VirtualClock.create();
    slowdown = ServerSlowdown.create(clock);
  });

  it('follows a server that becomes several times slower within a few responses', () => {
    for (let index = 0; index < 6; index++) {
      slowdown.record(60, 10);
    }
    expect(slowdown.value).toBeGreaterThan(5);
  });

  // Guards against a server that was slow once and never gets reads again.
  it('returns to 1 while no response arrives', () => {
    slowdown.record(200, 10);
    clock.advance(8_000);
    expect(slowdown.value).toBeCloseTo(1, 1);
  });

  it('does not depend on the mixture of kinds of work', () => {
    for (const workMs of [8, 40, 8, 40, 40]) {
      slowdown.record(workMs, workMs);
    }
    expect(slowdown.value).toBeCloseTo(1);
  });

  it('limits the effect of a single statement', () => {
    slowdown.record(100_000, 1);
    expect(slowdown.value).toBeLessThan(10);
  });

  it('ignores a sample without expected work', () => {
    slowdown.record(10, 0);
    expect(slowdown.value).toBe(1);
  });

  it('is 1 again after a reset', () => {
    slowdown.record(200, 10);
    slowdown.reset();
    expect(slowdown.value).toBe(1);
  });
});
