import type {Clock} from '@filbertrun/base/clock.js';

/**
 * Service time of a server relative to the expected one of the same kind of
 * work. Unlike the mean latency, it does not depend on the mixture of short and
 * long statements that the server happened to get.
 */

/** Weight of the newest sample in the moving average. */
const NEWEST_WEIGHT = 0.3;

/**
 * Half-life of the deviation from 1. Without decay, a server that was slow once
 * would get no reads and so could never be seen to have recovered.
 */
const HALF_LIFE_MS = 1_000;

/** Bounds of one sample, so that one statement does not decide alone. */
const MIN_SAMPLE = 0.25;
const MAX_SAMPLE = 20;

/** Tracks the slowdown of one server. @public */
export class ServerSlowdown {
  private mean = 1;
  private updatedAtMs: number;

  private constructor(private readonly clock: Clock) {
    this.updatedAtMs = clock.nowMs();
  }

  static create(clock: Clock): ServerSlowdown {
    return new ServerSlowdown(clock);
  }

  /** Current slowdown: 1 if unknown, above 1 if slower than expected. */
  get value(): number {
    const ageMs = this.clock.nowMs() - this.updatedAtMs;
    return 1 + (this.mean - 1) * 0.5 ** (ageMs / HALF_LIFE_MS);
  }

  record(serviceMs: number, expectedMs: number): void {
    if (expectedMs <= 0) {
      return;
    }
    const sample = Math.min(
      MAX_SAMPLE,
      Math.max(MIN_SAMPLE, serviceMs / expectedMs),
    );
    const {value} = this;
    this.mean = value + (sample - value) * NEWEST_WEIGHT;
    this.updatedAtMs = this.clock.nowMs();
  }

  /** Forgets what was measured, such as when the server was restarted. */
  reset(): void {
    this.mean = 1;
    this.updatedAtMs = this.clock.nowMs();
  }
}
