import {describe, expect, it} from 'vitest';
import type {ConcurrencyControl} from './concurrency_control.js';
import {LatencyGradient} from './latency_gradient.js';
import type {LeaseOutcome} from './pool_types.js';
import {SlowStartLimit} from './testing/slow_start_limit.js';

const OPTIONS = {minimum: 1, maximum: 20, slots: 5};

/** Records responses to requests that reach the limit. */
function record(
  control: ConcurrencyControl,
  count: number,
  latencyMs = 10,
  outcome: LeaseOutcome = 'served',
): void {
  for (let sample = 0; sample < count; sample++) {
    const activeAtStart = control.value;
    control.record({latencyMs, workKind: 'read', activeAtStart, outcome});
  }
}

/** Requirements on both adaptive controls. */
describe.each([
  ['SlowStartLimit', SlowStartLimit.create],
  ['LatencyGradient', LatencyGradient.create],
] as const)('%s', (_, create) => {
  it('starts at the slots, and at 1 after a restart', () => {
    const control = create(OPTIONS);
    expect(control.value).toBe(5);
    control.restart();
    expect(control.value).toBe(1);
  });

  // At the request rates on the page, a pool gets 12 to 36 responses a second,
  // so 8 responses take a few hundred milliseconds.
  it('returns to the slots within 8 good responses', () => {
    const control = create(OPTIONS);
    control.restart();
    record(control, 8);
    expect(control.value).toBeGreaterThanOrEqual(5);
  });

  it.each(['rejected', 'failed', 'timedOut'] as const)(
    'falls at once when a request is %s, and returns within 10 good responses',
    outcome => {
      const control = create(OPTIONS);
      record(control, 1, 10, outcome);
      expect(control.value).toBeLessThan(5);
      record(control, 200, 10, outcome);
      expect(control.value).toBe(1);
      record(control, 10);
      expect(control.value).toBeGreaterThanOrEqual(5);
    },
  );

  it('stays low while one response in three is a failure', () => {
    const control = create(OPTIONS);
    let sum = 0;
    for (let round = 0; round < 100; round++) {
      record(control, 2);
      record(control, 1, 10, 'failed');
      sum += control.value;
    }
    expect(sum / 100).toBeLessThan(2);
  });

  it('does not grow while it is not reached', () => {
    const control = create(OPTIONS);
    for (let sample = 0; sample < 200; sample++) {
      control.record({
        latencyMs: 10,
        workKind: 'read',
        activeAtStart: 4,
        outcome: 'served',
      });
    }
    expect(control.value).toBe(5);
  });

  it('grows above the slots at normal latency, up to its maximum', () => {
    const control = create(OPTIONS);
    record(control, 2_000);
    expect(control.value).toBe(20);
  });

  it('falls when the latency rises, but not below 1', () => {
    const control = create(OPTIONS);
    record(control, 400);
    const before = control.value;
    record(control, 60, 60);
    expect(control.value).toBeLessThan(before);
    record(control, 2_000, 10_000);
    expect(control.value).toBeGreaterThanOrEqual(1);
  });

  it('stays within bounds that change at run time', () => {
    const control = create(OPTIONS);
    control.setBounds(1, 3);
    expect(control.value).toBe(3);
    control.restart();
    record(control, 200);
    expect(control.value).toBe(3);
    control.setBounds(1, 0);
    expect(control.value).toBe(1);
    record(control, 200, 10, 'failed');
    expect(control.value).toBe(1);
  });

  it('takes the latency after a restart for the new baseline', () => {
    const control = create(OPTIONS);
    record(control, 200);
    control.restart();
    record(control, 60, 60);
    expect(control.value).toBeGreaterThanOrEqual(5);
  });

  it('ignores leases that say nothing about the server', () => {
    const control = create(OPTIONS);
    control.restart();
    record(control, 100, 0, 'unused');
    expect(control.value).toBe(1);
  });
});

describe('LatencyGradient', () => {
  it('returns to the slots within 10 good responses after congestion', () => {
    const control = LatencyGradient.create(OPTIONS);
    record(control, 100);
    record(control, 40, 60);
    expect(control.value).toBeLessThan(3);
    record(control, 10);
    expect(control.value).toBeGreaterThanOrEqual(5);
  });

  it('does not take a change of the mix of work for congestion', () => {
    const control = LatencyGradient.create(OPTIONS);
    for (const [workKind, latencyMs] of [
      ['short', 8],
      ['long', 40],
      ['short', 8],
      ['long', 40],
    ] as const) {
      for (let sample = 0; sample < 100; sample++) {
        const before = control.value;
        control.record({
          latencyMs,
          workKind,
          activeAtStart: control.value,
          outcome: 'served',
        });
        expect(control.value).toBeGreaterThanOrEqual(before);
      }
    }
  });
});
