import type {
  ConcurrencyControl,
  ConcurrencyOptions,
  ConcurrencySample,
} from '../concurrency_control.js';
import {ConcurrencyLimit} from '../concurrency_limit.js';
import {ResponseStreak} from '../response_streak.js';

/** Factor of the limit at a rejection, failure or timeout. */
const REDUCTION_FACTOR = 0.5;

/**
 * Additive increase and multiplicative decrease with a slow start: the limit
 * grows with each good response up to the configured slots, and by the windows
 * of `ConcurrencyLimit` above them. No pool uses it; it is the alternative to
 * which `adaptive_pacing_replay_test.ts` compares `LatencyGradient`.
 *
 * @internal
 */
export class SlowStartLimit implements ConcurrencyControl {
  private readonly streak = ResponseStreak.create();
  /** Limit of the slow start; null when it has reached the slots. */
  private startLimit: number | null = null;
  private windows: ConcurrencyLimit;

  private constructor(private options: ConcurrencyOptions) {
    this.windows = this.createWindows();
  }

  static create(options: ConcurrencyOptions): SlowStartLimit {
    return new SlowStartLimit(options);
  }

  get value(): number {
    return Math.floor(this.startLimit ?? this.windows.value);
  }

  setBounds(minimum: number, maximum: number): void {
    this.options = {...this.options, minimum, maximum};
    this.windows.setBounds(minimum, maximum);
    if (this.startLimit !== null) {
      this.startLimit = this.clampStart(this.startLimit);
    }
  }

  record(sample: ConcurrencySample): void {
    const {value} = this;
    const verdict = this.streak.record(sample.outcome, value);
    if (verdict === 'reduce') {
      this.startLimit = this.clampStart(value * REDUCTION_FACTOR);
      return;
    }
    if (sample.outcome !== 'served') {
      return;
    }
    if (this.startLimit === null) {
      this.windows.record(sample);
      return;
    }
    if (verdict === 'grow' && sample.activeAtStart >= value) {
      this.growStart(this.startLimit);
    }
  }

  restart(): void {
    this.streak.restart();
    this.startLimit = this.clampStart(1);
  }

  private growStart(startLimit: number): void {
    const grown = this.clampStart(startLimit + 1);
    const target = Math.min(this.options.slots, this.options.maximum);
    if (grown < target) {
      this.startLimit = grown;
      return;
    }
    this.startLimit = null;
    this.windows = this.createWindows();
  }

  private createWindows(): ConcurrencyLimit {
    const {minimum, maximum, slots} = this.options;
    return ConcurrencyLimit.create(minimum, maximum, slots);
  }

  private clampStart(limit: number): number {
    const {minimum, maximum} = this.options;
    return Math.max(1, Math.min(maximum, Math.max(minimum, limit)));
  }
}
