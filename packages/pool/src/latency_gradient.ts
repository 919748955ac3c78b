import type {
  ConcurrencyControl,
  ConcurrencyOptions,
  ConcurrencySample,
} from './concurrency_control.js';
import {LatencyBaselines} from './latency_baselines.js';
import {ResponseStreak} from './response_streak.js';

/** Factor of the limit at a rejection, failure or timeout. */
const REDUCTION_FACTOR = 0.5;

/**
 * Relative latency up to which a server does not count as congested. At 1.5, an
 * overloaded server with exponentially distributed durations was held back: 921
 * of 1,699 statements were in time in a replay, at 1.75 995.
 */
const TOLERATED_RATIO = 1.75;

/** Smallest factor by which the gradient reduces the limit per round trip. */
const MIN_GRADIENT = 0.5;

/**
 * Concurrency limit from the gradient of the latency: the short-term mean of the
 * latency relative to the long-term mean of the same kind of work. The limit
 * falls in proportion while the ratio is above `TOLERATED_RATIO`. Otherwise it
 * grows, if it is reached, with each good response up to the configured slots,
 * and above them by one per round of responses.
 *
 * @internal
 */
export class LatencyGradient implements ConcurrencyControl {
  private readonly streak = ResponseStreak.create();
  private readonly baselines = LatencyBaselines.create();
  private limit: number;

  private constructor(private options: ConcurrencyOptions) {
    this.limit = this.clamp(options.slots);
  }

  static create(options: ConcurrencyOptions): LatencyGradient {
    return new LatencyGradient(options);
  }

  get value(): number {
    return Math.floor(this.limit);
  }

  setBounds(minimum: number, maximum: number): void {
    this.options = {...this.options, minimum, maximum};
    this.limit = this.clamp(this.limit);
  }

  record(sample: ConcurrencySample): void {
    const {outcome, latencyMs, workKind} = sample;
    const verdict = this.streak.record(outcome, this.value);
    if (verdict === 'reduce') {
      this.limit = this.clamp(this.limit * REDUCTION_FACTOR);
      return;
    }
    if (outcome !== 'served') {
      return;
    }
    this.baselines.record(workKind, latencyMs);
    if (this.baselines.shortTermRatio > TOLERATED_RATIO) {
      this.followGradient();
    } else if (verdict === 'grow' && sample.activeAtStart >= this.value) {
      this.grow();
    }
  }

  restart(): void {
    this.streak.restart();
    this.baselines.restart();
    this.limit = this.clamp(1);
  }

  /** Reduces the limit by the whole gradient over one round of responses. */
  private followGradient(): void {
    const gradient = Math.max(
      MIN_GRADIENT,
      TOLERATED_RATIO / this.baselines.shortTermRatio,
    );
    this.limit = this.clamp(this.limit - (1 - gradient));
  }

  private grow(): void {
    const isBelowSlots = this.limit < this.options.slots;
    this.limit = this.clamp(this.limit + (isBelowSlots ? 1 : 1 / this.limit));
  }

  private clamp(limit: number): number {
    const {minimum, maximum} = this.options;
    return Math.max(1, Math.min(maximum, Math.max(minimum, limit)));
  }
}
