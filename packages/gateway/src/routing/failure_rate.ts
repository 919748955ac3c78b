import type {Clock} from '@filbertrun/base/clock.js';

/**
 * Recent failure rate of a server's statements. It detects a server that passes
 * its health checks but fails some of its statements: each read sent there costs
 * the caller a failure or a retry.
 */

/** Half-life of the weight of an observation. */
const HALF_LIFE_MS = 1_000;

/**
 * Number of successes assumed in advance, so that a single failure does not
 * mark the server as failing.
 */
const ASSUMED_SUCCESSES = 2;

/** Failure rate at which other servers are preferred. */
const FAILING_RATE = 0.25;

/** Tracks the exponentially decayed failure rate of one server. @public */
export class FailureRate {
  private failures = 0;
  private total = 0;
  /** Time of the last decay. */
  private decayedAtMs: number;

  private constructor(private readonly clock: Clock) {
    this.decayedAtMs = clock.nowMs();
  }

  static create(clock: Clock): FailureRate {
    return new FailureRate(clock);
  }

  record(hasFailed: boolean): void {
    this.decay();
    this.total++;
    this.failures += Number(hasFailed);
  }

  /** Whether the failure rate is so high that other servers are preferred. */
  isFailing(): boolean {
    this.decay();
    return this.failures >= FAILING_RATE * (this.total + ASSUMED_SUCCESSES);
  }

  private decay(): void {
    const nowMs = this.clock.nowMs();
    const factor = 0.5 ** ((nowMs - this.decayedAtMs) / HALF_LIFE_MS);
    this.failures *= factor;
    this.total *= factor;
    this.decayedAtMs = nowMs;
  }
}
