import type {ClockReading, ClockWatch} from './clock_watch.js';
import type {PrimaryRecord, RevisedPrimaryRecord} from './primary_record.js';

/**
 * Time after the start of a read of the record for which the proxy may rely on
 * it. It outlasts the usual outage of the store; a change of primary waits for
 * it only where a proxy can't be asked to release.
 *
 * @public
 */
export const PRIMARY_LEASE_DURATION_MS = 7_000;

/** A primary with the term that it leads. @public */
export interface TermPrimary {
  readonly primary: string;
  readonly term: number;
}

/**
 * A proxy's right to treat one instance as the primary of a database group. It
 * follows from a linearizable read of the primary record and ends with its
 * duration, with a release, or when the machine may have been suspended.
 *
 * @public
 */
export class PrimaryLease {
  private current: RevisedPrimaryRecord | null = null;
  private readAt: ClockReading | null = null;
  private releasedRevision = 0;

  private constructor(private readonly clockWatch: ClockWatch) {}

  static create(clockWatch: ClockWatch): PrimaryLease {
    return new PrimaryLease(clockWatch);
  }

  /** The newest record that was read, or null. */
  get record(): PrimaryRecord | null {
    return this.current?.record ?? null;
  }

  get revision(): number {
    return this.current?.revision ?? 0;
  }

  /** Takes a record from a linearizable read that began at `readAt`. */
  learn(revised: RevisedPrimaryRecord, readAt: ClockReading): void {
    if (revised.revision < this.revision) {
      return;
    }
    const isOlderRead =
      revised.revision === this.revision &&
      this.readAt !== null &&
      this.readAt.epoch === readAt.epoch &&
      this.readAt.timeMs > readAt.timeMs;
    if (!isOlderRead) {
      this.readAt = readAt;
    }
    this.current = revised;
  }

  /** Takes a record that another proxy announced; it gives no lease. */
  learnUnproven(revised: RevisedPrimaryRecord): void {
    if (revised.revision <= this.revision) {
      return;
    }
    this.current = revised;
    this.readAt = null;
  }

  /** Gives the lease up for every revision up to `revision`. */
  release(revision: number): void {
    this.releasedRevision = Math.max(this.releasedRevision, revision);
  }

  /** The primary that may be relied on now, or null. */
  getPrimary(): TermPrimary | null {
    if (this.readAt === null) {
      return null;
    }
    const ageMs = this.clockWatch.getElapsedMs(this.readAt);
    if (ageMs === null || ageMs >= PRIMARY_LEASE_DURATION_MS) {
      return null;
    }
    return this.getLastKnownPrimary();
  }

  /** The primary of the newest record, whether or not a lease holds. */
  getLastKnownPrimary(): TermPrimary | null {
    const record = this.record;
    if (record === null || record.phase !== 'stable') {
      return null;
    }
    if (this.revision <= this.releasedRevision) {
      return null;
    }
    return {primary: record.primary, term: record.term};
  }
}
