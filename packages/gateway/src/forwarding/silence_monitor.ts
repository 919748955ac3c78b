import type {Clock, Timer} from '@filbertrun/base/clock.js';

/** Time without a byte after which the other side is asked for a response. */
const PING_AFTER_MS = 150;

/** Time without a byte after a ping until the other side counts as silent. */
const SILENT_AFTER_PING_MS = 300;

/** Collaborators of a {@link SilenceMonitor}. @internal */
export interface SilenceMonitorOptions {
  readonly clock: Clock;
  ping(): void;
  /** Called when no byte has arrived for too long. */
  handleSilent(): void;
}

/**
 * Detects that no byte arrives while a response is pending. One timer is enough
 * for all exchanges of a stream, and an arrival only records the time; the timer
 * looks at it when it fires.
 *
 * @internal
 */
export class SilenceMonitor {
  private isWaiting = false;
  /** When the wait began or the last byte arrived, whichever is later. */
  private quietSinceMs = 0;
  private pingedAtMs: number | null = null;
  private hasDeferredVerdict = false;
  private timer: Timer | null = null;

  private constructor(private readonly options: SilenceMonitorOptions) {}

  static create(options: SilenceMonitorOptions): SilenceMonitor {
    return new SilenceMonitor(options);
  }

  /** Begins to expect bytes. */
  start(): void {
    this.isWaiting = true;
    this.recordArrival();
    if (this.timer === null) {
      this.startTimer(PING_AFTER_MS);
    }
  }

  /** Expects no bytes until the next `start`. */
  pause(): void {
    this.isWaiting = false;
  }

  /** Ends the monitoring for good. */
  stop(): void {
    this.isWaiting = false;
    this.timer?.cancel();
    this.timer = null;
  }

  /** Records that bytes have arrived. */
  recordArrival(): void {
    this.quietSinceMs = this.options.clock.nowMs();
    if (this.isWaiting && this.pingedAtMs !== null) {
      this.pingedAtMs = null;
      this.hasDeferredVerdict = false;
      // The timer of the ping is due later than the next check.
      this.timer?.cancel();
      this.startTimer(PING_AFTER_MS);
    }
  }

  private startTimer(delayMs: number): void {
    this.timer = this.options.clock.startTimer(delayMs, () => this.check());
  }

  private check(): void {
    this.timer = null;
    if (!this.isWaiting) {
      this.pingedAtMs = null;
      this.hasDeferredVerdict = false;
      return;
    }
    const remainingMs = this.getDueMs() - this.options.clock.nowMs();
    if (remainingMs > 0) {
      this.startTimer(remainingMs);
    } else if (this.pingedAtMs === null) {
      this.pingedAtMs = this.options.clock.nowMs();
      this.startTimer(SILENT_AFTER_PING_MS);
      this.options.ping();
    } else if (!this.hasDeferredVerdict) {
      // After a pause of this process, its timers fire before it reads the bytes
      // that arrived in the pause. They are read before the next timer fires.
      this.hasDeferredVerdict = true;
      this.startTimer(0);
    } else {
      this.options.handleSilent();
    }
  }

  private getDueMs(): number {
    return this.pingedAtMs === null
      ? this.quietSinceMs + PING_AFTER_MS
      : this.pingedAtMs + SILENT_AFTER_PING_MS;
  }
}
