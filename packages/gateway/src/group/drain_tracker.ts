import type {Clock} from '@filbertrun/base/clock.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';

/**
 * Fraction of the drain duration that is assumed to have passed when a server
 * is first observed as draining: its drain may have begun long before.
 */
const UNOBSERVED_DRAIN_FRACTION = 0.5;

/**
 * Maximum number of tracked drains. The oldest are evicted, since drains of
 * servers that were removed for good would otherwise accumulate.
 */
const MAX_TRACKED_DRAINS = 1_000;

interface TrackedDrain {
  readonly startedAtEpochMs: number | null;
  readonly sinceMs: number;
}

/**
 * Tracks since when servers have been draining. The times are kept when
 * directory entries expire, because entries reappear after an outage of the
 * store or a network partition.
 *
 * @public
 */
export class DrainTracker {
  private readonly drains = new Map<BackendServerId, TrackedDrain>();

  private constructor(
    private readonly clock: Clock,
    private readonly drainDurationMs: number,
    private readonly getUnwatchedMs: () => number,
  ) {}

  /**
   * `getUnwatchedMs` returns how long the directory had not been watched when the
   * change that is being applied was received.
   */
  static create(
    clock: Clock,
    drainDurationMs: number,
    getUnwatchedMs: () => number,
  ): DrainTracker {
    return new DrainTracker(clock, drainDurationMs, getUnwatchedMs);
  }

  /**
   * Updates the state of a server and returns the time since which it has been
   * draining, or null if it is not. `wasActive` tells whether the server was
   * active in its previous entry.
   */
  update(entry: BackendServerEntry, wasActive: boolean): number | null {
    const {backendServer, startedAtEpochMs, state} = entry;
    if (state !== 'draining') {
      this.drains.delete(backendServer);
      return null;
    }
    const known = this.drains.get(backendServer);
    if (known?.startedAtEpochMs === startedAtEpochMs) {
      return known.sinceMs;
    }
    const unobservedMs = wasActive
      ? this.getUnwatchedMs()
      : this.drainDurationMs * UNOBSERVED_DRAIN_FRACTION;
    const sinceMs = this.clock.nowMs() - unobservedMs;
    this.drains.set(backendServer, {startedAtEpochMs, sinceMs});
    this.evictOldest();
    return sinceMs;
  }

  private evictOldest(): void {
    for (const backendServer of this.drains.keys()) {
      if (this.drains.size <= MAX_TRACKED_DRAINS) {
        return;
      }
      this.drains.delete(backendServer);
    }
  }
}
