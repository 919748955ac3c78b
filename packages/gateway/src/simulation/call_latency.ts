import {
  SeededRandom,
  type RandomSource,
} from '@filbertrun/base/random_source.js';

/** Range of the additional latency of a call. @internal */
export interface LatencyRange {
  readonly minMs: number;
  readonly maxMs: number;
  /** Calls of 100 whose response is lost although they were performed. */
  readonly lostPercent: number;
}

/** Latency of one call. @internal */
export interface DrawnLatency {
  /** Time until the call is performed. */
  readonly requestMs: number;
  /** Time from the call until its response; infinite if that is lost. */
  readonly responseMs: number;
}

const NO_LATENCY: DrawnLatency = {requestMs: 0, responseMs: 0};

/**
 * Additional latency of the calls to one service of the platform. Without a
 * range, calls take no additional time.
 *
 * @internal
 */
export class CallLatency {
  range: LatencyRange | null = null;

  private constructor(private readonly random: RandomSource) {}

  static create(seed = 1): CallLatency {
    return new CallLatency(SeededRandom.create(seed));
  }

  /** Draws the latency of the next call, on the way there or on the way back. */
  draw(): DrawnLatency {
    if (this.range === null) {
      return NO_LATENCY;
    }
    const {minMs, maxMs, lostPercent} = this.range;
    const latencyMs = this.random.nextInteger(minMs, maxMs);
    if (this.random.nextInteger(1, 100) <= lostPercent) {
      return {requestMs: latencyMs, responseMs: Infinity};
    }
    return this.random.nextInteger(0, 1) === 0
      ? {requestMs: latencyMs, responseMs: 0}
      : {requestMs: 0, responseMs: latencyMs};
  }
}
