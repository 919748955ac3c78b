import type {Clock} from '@filbertrun/base/clock.js';
import type {WallClock} from '../group/clock_jump_detector.js';

/** A wall clock that follows another clock at an adjustable offset. @internal */
export class FakeWallClock implements WallClock {
  private offsetMs = 0;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): FakeWallClock {
    return new FakeWallClock(clock);
  }

  nowEpochMs(): number {
    return this.clock.nowMs() + this.offsetMs;
  }

  /** Steps the wall clock, as a clock adjustment or a suspension does. */
  step(byMs: number): void {
    this.offsetMs += byMs;
  }
}
