import type {Clock} from '@filbertrun/base/clock.js';

/** The wall clock. @public */
export interface WallClock {
  nowEpochMs(): number;
}

/** Monotonic time with the epoch in which it was read. @public */
export interface ClockReading {
  readonly timeMs: number;
  /** Incremented whenever the monotonic clock and the wall clock diverge. */
  readonly epoch: number;
}

/** Divergence of the clocks that ordinary clock adjustment does not exceed. */
const MAX_CLOCK_DISAGREEMENT_MS = 100;

/**
 * Detects suspensions of the machine. During a suspension the monotonic clock
 * stops but the wall clock does not, so they diverge. A step of the wall clock
 * is indistinguishable from a suspension and is handled the same way.
 *
 * @public
 */
export class ClockJumpDetector {
  private epoch = 0;
  /** Monotonic time at which the current epoch was detected. */
  private epochStartMs = Number.NEGATIVE_INFINITY;
  private offsetMs: number;

  private constructor(
    private readonly clock: Clock,
    private readonly wallClock: WallClock,
  ) {
    this.offsetMs = wallClock.nowEpochMs() - clock.nowMs();
  }

  static create(clock: Clock, wallClock: WallClock): ClockJumpDetector {
    return new ClockJumpDetector(clock, wallClock);
  }

  /** Reads the clock; starts a new epoch if the clocks have diverged. */
  read(): ClockReading {
    const timeMs = this.clock.nowMs();
    const offsetMs = this.wallClock.nowEpochMs() - timeMs;
    if (Math.abs(offsetMs - this.offsetMs) > MAX_CLOCK_DISAGREEMENT_MS) {
      this.epoch++;
      this.epochStartMs = timeMs;
      this.offsetMs = offsetMs;
    }
    return {timeMs, epoch: this.epoch};
  }

  /**
   * Returns the monotonic time since which no suspension was detected. For an
   * earlier time, the monotonic clock understates the elapsed time.
   */
  getEpochStartMs(): number {
    this.read();
    return this.epochStartMs;
  }

  /** Time since an earlier reading, or null if it is from another epoch. */
  getElapsedMs(since: ClockReading): number | null {
    const now = this.read();
    return now.epoch === since.epoch ? now.timeMs - since.timeMs : null;
  }
}
