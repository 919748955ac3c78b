import type {LeaseEvents} from './leased_connection.js';
import type {ConnectionIdentity} from './pool_types.js';
import type {QueuedEntry} from './request_queue.js';
import type {WorkEstimates} from './work_estimates.js';

/** Entry of which the work is measured. @internal */
export interface MeasuredEntry extends QueuedEntry {
  readonly workKind: string | null;
}

interface TrackedLease {
  readonly entry: MeasuredEntry;
  readonly startMs: number;
  activeMs: number;
  /** Start of the current active or suspended period. */
  sinceMs: number;
  isSuspended: boolean;
  wasSuspended: boolean;
}

/** Options of a `LeaseTracker`. @internal */
export interface LeaseTrackerOptions {
  readonly estimates: WorkEstimates;
  readonly getNowMs: () => number;
  /** Called with the work of an entry that has ended. */
  readonly handleMeasured: (entry: MeasuredEntry, workMs: number) => void;
}

/**
 * Measures the work of running leases. The pauses of a transaction are hold
 * time of its connection, not work.
 *
 * @internal
 */
export class LeaseTracker {
  private readonly leases = new Set<TrackedLease>();

  private constructor(private readonly options: LeaseTrackerOptions) {}

  static create(options: LeaseTrackerOptions): LeaseTracker {
    return new LeaseTracker(options);
  }

  /** Starts to track a lease; returns its events, to which it listens. */
  track<C>(entry: MeasuredEntry, events: LeaseEvents<C>): LeaseEvents<C> {
    const nowMs = this.options.getNowMs();
    const lease: TrackedLease = {
      entry,
      startMs: nowMs,
      activeMs: 0,
      sinceMs: nowMs,
      isSuspended: false,
      wasSuspended: false,
    };
    this.leases.add(lease);
    return {
      ...events,
      handleSuspended: () => {
        this.endPeriod(lease, true);
        events.handleSuspended();
      },
      handleResumed: () => {
        this.endPeriod(lease, false);
        events.handleResumed();
      },
      handleReleased: (end, wasActive) => {
        this.leases.delete(lease);
        this.endPeriod(lease, false);
        if (end.condition !== 'unacknowledged') {
          this.record(lease);
        }
        events.handleReleased(end, wasActive);
      },
    };
  }

  /** Identities with a lease that is not suspended. */
  getActiveIdentities(): readonly ConnectionIdentity[] {
    const identities: ConnectionIdentity[] = [];
    for (const {isSuspended, entry} of this.leases) {
      if (!isSuspended) {
        identities.push(entry.identity);
      }
    }
    return identities;
  }

  /** Number of leases by identity. */
  countLeases(): ReadonlyMap<ConnectionIdentity, number> {
    const counts = new Map<ConnectionIdentity, number>();
    for (const {entry} of this.leases) {
      counts.set(entry.identity, (counts.get(entry.identity) ?? 0) + 1);
    }
    return counts;
  }

  /**
   * Returns the expected work of the active lease that ends next, 0 without an
   * active lease. A lease that already runs for longer than expected counts
   * with its duration, so the value grows while the server does not respond.
   */
  getNextReleaseMs(): number {
    const nowMs = this.options.getNowMs();
    let leastMs = Infinity;
    for (const {isSuspended, activeMs, sinceMs, entry} of this.leases) {
      if (!isSuspended) {
        const elapsedMs = activeMs + nowMs - sinceMs;
        leastMs = Math.min(leastMs, Math.max(entry.workMs, elapsedMs));
      }
    }
    return leastMs === Infinity ? 0 : leastMs;
  }

  /**
   * Returns the expected hold time of the suspended leases: the mean of earlier
   * ones, or the mean age of the present ones if that is higher.
   */
  getHoldMs(): number {
    const nowMs = this.options.getNowMs();
    let count = 0;
    let sumMs = 0;
    for (const {isSuspended, startMs} of this.leases) {
      if (isSuspended) {
        count++;
        sumMs += nowMs - startMs;
      }
    }
    return Math.max(this.options.estimates.holdMs, sumMs / Math.max(1, count));
  }

  private endPeriod(lease: TrackedLease, isSuspended: boolean): void {
    const nowMs = this.options.getNowMs();
    if (!lease.isSuspended) {
      lease.activeMs += nowMs - lease.sinceMs;
    }
    lease.sinceMs = nowMs;
    lease.isSuspended = isSuspended;
    lease.wasSuspended ||= isSuspended;
  }

  private record({entry, startMs, activeMs, wasSuspended}: TrackedLease): void {
    const {estimates, handleMeasured, getNowMs} = this.options;
    estimates.recordWork(entry.workKind, activeMs);
    if (wasSuspended) {
      estimates.recordHold(getNowMs() - startMs);
    }
    handleMeasured(entry, activeMs);
  }
}
