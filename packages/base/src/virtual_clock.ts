import type {Clock, Timer} from './clock.js';

interface PendingTimer {
  readonly dueMs: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/**
 * A clock that moves only when `advance` is called. Timers that are due at the
 * same time fire in the order in which they were started.
 *
 * @public
 */
export class VirtualClock implements Clock {
  private currentMs = 0;
  private nextSequence = 0;
  private readonly pending = new Set<PendingTimer>();

  private constructor() {}

  static create(): VirtualClock {
    return new VirtualClock();
  }

  nowMs(): number {
    return this.currentMs;
  }

  startTimer(delayMs: number, callback: () => void): Timer {
    const timer: PendingTimer = {
      dueMs: this.currentMs + Math.max(0, delayMs),
      sequence: this.nextSequence++,
      callback,
    };
    this.pending.add(timer);
    return {
      cancel: () => {
        this.pending.delete(timer);
      },
    };
  }

  /** Advances the time by `durationMs` and fires the timers that are due. */
  advance(durationMs: number): void {
    const targetMs = this.currentMs + durationMs;
    for (;;) {
      const next = this.findNextTimer();
      if (next === null || next.dueMs > targetMs) {
        break;
      }
      this.pending.delete(next);
      this.currentMs = next.dueMs;
      next.callback();
    }
    this.currentMs = targetMs;
  }

  /** Returns the time until the next timer is due, or null if there is none. */
  getDelayToNextTimerMs(): number | null {
    const next = this.findNextTimer();
    return next === null ? null : next.dueMs - this.currentMs;
  }

  private findNextTimer(): PendingTimer | null {
    let earliest: PendingTimer | null = null;
    for (const timer of this.pending) {
      if (earliest === null || isDueBefore(timer, earliest)) {
        earliest = timer;
      }
    }
    return earliest;
  }
}

function isDueBefore(left: PendingTimer, right: PendingTimer): boolean {
  if (left.dueMs !== right.dueMs) {
    return left.dueMs < right.dueMs;
  }
  return left.sequence < right.sequence;
}
