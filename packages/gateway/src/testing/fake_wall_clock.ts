import type {Clock} from '@filbertrun/base/clock.js';
import type {WallClock} from '../group/clock_jump_detector.js';

/** A time of day that follows a clock and can be moved against it. @internal */
export class FakeWallClock implements WallClock {
  private offsetMs = 0;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): FakeWallClock {
    return new FakeWallClock(clock);
  }

  nowEpochMs(): number {
    return this.clock.nowMs() + this.offsetMs;
  }

  /** Moves the time of day, as a step or a suspension does. */
  step(byMs: number): void {
    this.offsetMs += byMs;
  }
}
