import type {Clock} from '@filbertrun/base/clock.js';

/**
 * Share of a server's statements that failed lately. The load that it answers:
 * an instance fails part of what it runs while its health checks are good, and
 * each read that is sent there costs its caller a failure or a second attempt.
 */

/** Time in which what was seen counts for half. */
const HALF_LIFE_MS = 1_000;

/** Weight of statements that are assumed to have succeeded, so that one failure is no trend. */
const ASSUMED_SUCCESSES = 2;

/** Share of failures from which others are asked first. */
const FAILING_SHARE = 0.25;

/** Keeps the share of one server. @public */
export class FailureShare {
  private failures = 0;
  private total = 0;
  private atMs: number;

  private constructor(private readonly clock: Clock) {
    this.atMs = clock.nowMs();
  }

  static create(clock: Clock): FailureShare {
    return new FailureShare(clock);
  }

  record(hasFailed: boolean): void {
    this.decay();
    this.total++;
    this.failures += Number(hasFailed);
  }

  /** Whether so many statements fail that other servers are to be preferred. */
  isFailing(): boolean {
    this.decay();
    return this.failures >= FAILING_SHARE * (this.total + ASSUMED_SUCCESSES);
  }

  private decay(): void {
    const nowMs = this.clock.nowMs();
    const factor = 0.5 ** ((nowMs - this.atMs) / HALF_LIFE_MS);
    this.failures *= factor;
    this.total *= factor;
    this.atMs = nowMs;
  }
}
