/** Weight of a new sample. */
const NEWEST_WEIGHT = 0.1;

/**
 * Exponential moving mean with a default before the first sample.
 *
 * @internal
 */
export class MovingMean {
  private mean: number | null = null;

  private constructor(private readonly initial: number) {}

  static create(initial: number): MovingMean {
    return new MovingMean(initial);
  }

  get value(): number {
    return this.mean ?? this.initial;
  }

  record(sample: number): void {
    this.mean =
      this.mean === null
        ? sample
        : this.mean + (sample - this.mean) * NEWEST_WEIGHT;
  }
}
