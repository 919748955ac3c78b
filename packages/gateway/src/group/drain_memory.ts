import type {Clock} from '@filbertrun/base/clock.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';

/**
 * Part of its drain that a server has left of which this process saw nothing
 * before: it may have begun long ago.
 */
const UNSEEN_DRAIN_PART = 0.5;

/** Drains that are remembered; a server that left for good stays away. */
const MAX_REMEMBERED = 1_000;

interface RememberedDrain {
  readonly startedAtEpochMs: number | null;
  readonly sinceMs: number;
}

/**
 * Since when servers have been draining. It outlives their entries, which
 * expire and come back while the store is down or a server is cut off.
 *
 * @public
 */
export class DrainMemory {
  private readonly drains = new Map<BackendServerId, RememberedDrain>();

  private constructor(
    private readonly clock: Clock,
    private readonly drainDurationMs: number,
  ) {}

  static create(clock: Clock, drainDurationMs: number): DrainMemory {
    return new DrainMemory(clock, drainDurationMs);
  }

  /**
   * Time since which a server has been draining; null when it is not. `wasActive`
   * says that this process has seen it active until now.
   */
  note(entry: BackendServerEntry, wasActive: boolean): number | null {
    const {backendServer, startedAtEpochMs, state} = entry;
    if (state !== 'draining') {
      this.drains.delete(backendServer);
      return null;
    }
    const known = this.drains.get(backendServer);
    if (known?.startedAtEpochMs === startedAtEpochMs) {
      return known.sinceMs;
    }
    const unseenMs = wasActive ? 0 : this.drainDurationMs * UNSEEN_DRAIN_PART;
    const sinceMs = this.clock.nowMs() - unseenMs;
    this.drains.set(backendServer, {startedAtEpochMs, sinceMs});
    this.forgetOldest();
    return sinceMs;
  }

  private forgetOldest(): void {
    for (const backendServer of this.drains.keys()) {
      if (this.drains.size <= MAX_REMEMBERED) {
        return;
      }
      this.drains.delete(backendServer);
    }
  }
}
