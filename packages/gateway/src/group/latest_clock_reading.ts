import type {ClockJumpDetector, ClockReading} from './clock_jump_detector.js';

/**
 * The latest of several clock readings, such as the times as of which data were
 * confirmed to be current.
 *
 * @public
 */
export class LatestClockReading {
  private latest: ClockReading | null = null;

  private constructor(private readonly clockJumpDetector: ClockJumpDetector) {}

  static create(clockJumpDetector: ClockJumpDetector): LatestClockReading {
    return new LatestClockReading(clockJumpDetector);
  }

  /** The latest reading; null before the first one. */
  get value(): ClockReading | null {
    return this.latest;
  }

  /** Records a reading; one of another clock epoch replaces the latest. */
  record(reading: ClockReading): void {
    const isLater =
      this.latest === null ||
      this.latest.epoch !== reading.epoch ||
      this.latest.timeMs < reading.timeMs;
    if (isLater) {
      this.latest = reading;
    }
  }

  /**
   * Time since the latest reading; null if there was none or if a clock jump was
   * detected since then.
   */
  getAgeMs(): number | null {
    return this.latest === null
      ? null
      : this.clockJumpDetector.getElapsedMs(this.latest);
  }
}
