import type {Clock} from '@filbertrun/base/clock.js';

/**
 * Recent minimum of the round-trip time to a server. The minimum is used because
 * connect times also contain delays of this proxy's event loop and of a busy
 * server, never less than the network's latency.
 */

/**
 * Period that the minimum covers. Pooled connections live for tens of seconds,
 * so that a shorter period would often hold no sample.
 */
const RECENT_MS = 60_000;

/** Number of newest samples that are kept. */
const MAX_SAMPLES = 8;

interface Sample {
  readonly roundTripMs: number;
  readonly atMs: number;
}

/** Tracks the round-trip time to one server. @public */
export class RoundTripTracker {
  private samples: Sample[] = [];
  private lastKnownMs: number | null = null;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): RoundTripTracker {
    return new RoundTripTracker(clock);
  }

  /** The recent minimum, or the last known one; null before any sample. */
  get value(): number | null {
    const recentSinceMs = this.clock.nowMs() - RECENT_MS;
    let minimumMs: number | null = null;
    for (const {roundTripMs, atMs} of this.samples) {
      if (atMs >= recentSinceMs) {
        minimumMs = Math.min(minimumMs ?? roundTripMs, roundTripMs);
      }
    }
    return minimumMs ?? this.lastKnownMs;
  }

  record(roundTripMs: number): void {
    if (!Number.isFinite(roundTripMs) || roundTripMs < 0) {
      return;
    }
    this.samples.push({roundTripMs, atMs: this.clock.nowMs()});
    this.samples = this.samples.slice(-MAX_SAMPLES);
    this.lastKnownMs = roundTripMs;
  }

  /**
   * Starts a new measurement, because the network path may have changed. Until
   * the next sample, the last known value remains the estimate: an unknown
   * distance would attract reads to a remote server as soon as it returns.
   */
  restart(): void {
    this.lastKnownMs = this.value;
    this.samples = [];
  }
}
