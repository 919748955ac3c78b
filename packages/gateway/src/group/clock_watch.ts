import type {Clock} from '@filbertrun/base/clock.js';

/** The time of day. @public */
export interface WallClock {
  nowEpochMs(): number;
}

/** A moment on the monotonic clock within one epoch of it. @public */
export interface ClockReading {
  readonly timeMs: number;
  /** Rises each time that the clocks came to disagree. */
  readonly epoch: number;
}

/** Disagreement of the two clocks that ordinary adjustment does not cause. */
const MAX_CLOCK_DISAGREEMENT_MS = 100;

/**
 * Notices that the machine was suspended. The monotonic clock stands still
 * during a suspension and the time of day does not, so the two disagree
 * afterwards. A step of the time of day looks the same and is treated alike.
 *
 * @public
 */
export class ClockWatch {
  private epoch = 0;
  /** Monotonic time at which the present epoch was noticed. */
  private epochStartMs = Number.NEGATIVE_INFINITY;
  private offsetMs: number;

  private constructor(
    private readonly clock: Clock,
    private readonly wallClock: WallClock,
  ) {
    this.offsetMs = wallClock.nowEpochMs() - clock.nowMs();
  }

  static create(clock: Clock, wallClock: WallClock): ClockWatch {
    return new ClockWatch(clock, wallClock);
  }

  /** The present moment; a new epoch begins when the clocks disagree. */
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
   * Monotonic time from which on no suspension was noticed; times before it are
   * longer ago than they seem.
   */
  getEpochStartMs(): number {
    this.read();
    return this.epochStartMs;
  }

  /** Time since an earlier reading, or null when it lies in another epoch. */
  getElapsedMs(since: ClockReading): number | null {
    const now = this.read();
    return now.epoch === since.epoch ? now.timeMs - since.timeMs : null;
  }
}
