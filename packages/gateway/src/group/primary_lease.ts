import type {ContactStatus} from '../control/contact_tracker.js';
import type {ClockReading, ClockJumpDetector} from './clock_jump_detector.js';
import type {PrimaryRecord, RevisedPrimaryRecord} from './primary_record.js';

/**
 * Linearizable read of the record, with the duration of the lease it grants.
 *
 * @public
 */
export interface LeaseGrant {
  /** Time at which the read was started. */
  readonly readAt: ClockReading;
  readonly durationMs: number;
  /** The store's clock at the time of the read. */
  readonly storeTimeMs: number;
}

/** A primary with its term. @public */
export interface TermPrimary {
  readonly primary: string;
  readonly term: number;
}

/**
 * A proxy's lease to treat one instance as the primary of a database group. A
 * linearizable read of the primary record grants it. It ends when its duration
 * expires, when it is released, or when the machine may have been suspended. It
 * is not valid while the proxy has contact with neither the store nor other
 * proxies.
 *
 * @public
 */
export class PrimaryLease {
  private current: RevisedPrimaryRecord | null = null;
  /** Time at which the current revision was first seen. */
  private seenAt: ClockReading | null = null;
  private grant: LeaseGrant | null = null;
  /** The grant that expires last, of any revision. */
  private registration: LeaseGrant | null = null;
  private releasedRevision = 0;

  private constructor(
    private readonly clockJumpDetector: ClockJumpDetector,
    private readonly contact: ContactStatus,
  ) {}

  static create(
    clockJumpDetector: ClockJumpDetector,
    contact: ContactStatus,
  ): PrimaryLease {
    return new PrimaryLease(clockJumpDetector, contact);
  }

  /** The newest record that was read or announced, or null. */
  get record(): PrimaryRecord | null {
    return this.current?.record ?? null;
  }

  get revision(): number {
    return this.current?.revision ?? 0;
  }

  /** Newest revision that was read, announced or named in a release request. */
  get newestRevision(): number {
    return Math.max(this.revision, this.releasedRevision);
  }

  /** Applies a record from a linearizable read, which grants a lease. */
  apply(revised: RevisedPrimaryRecord, grant: LeaseGrant): void {
    if (revised.revision < this.revision) {
      return;
    }
    const isSameRevision = revised.revision === this.revision;
    if (!isSameRevision || !expiresAfter(this.grant, grant)) {
      this.grant = grant;
    }
    if (!expiresAfter(this.registration, grant)) {
      this.registration = grant;
    }
    this.setCurrent(revised);
  }

  /** Applies a record announced by another proxy, which grants no lease. */
  applyAnnounced(revised: RevisedPrimaryRecord): void {
    if (revised.revision <= this.revision) {
      return;
    }
    this.setCurrent(revised);
    this.grant = null;
  }

  /**
   * Least time for which the current record has been known to this process; 0
   * if the machine may have been suspended since it was first seen.
   */
  getRecordAgeMs(): number {
    return this.seenAt === null
      ? 0
      : (this.clockJumpDetector.getElapsedMs(this.seenAt) ?? 0);
  }

  private setCurrent(revised: RevisedPrimaryRecord): void {
    if (revised.revision !== this.revision) {
      this.seenAt = this.clockJumpDetector.read();
    }
    this.current = revised;
  }

  /** Ends the lease until another read grants it again. */
  dropGrant(): void {
    this.grant = null;
  }

  /** Releases the lease for all revisions up to and including `revision`. */
  release(revision: number): void {
    this.releasedRevision = Math.max(this.releasedRevision, revision);
  }

  /** The primary if the lease is valid now, or null. */
  getPrimary(): TermPrimary | null {
    return this.isHeld() && this.contact.isInContact()
      ? this.getLastKnownPrimary()
      : null;
  }

  /**
   * Whether the lease is unexpired, regardless of contact and releases. The
   * failover leader asks every proxy with an unexpired lease for a release
   * before it changes the primary.
   */
  isHeld(): boolean {
    return this.isUnexpired(this.grant);
  }

  /**
   * Whether the registration of this process was listed and has not expired. Only
   * then does the failover leader ask it for a release. An announced record ends
   * the lease, but not the registration.
   */
  isRegistered(): boolean {
    return this.isUnexpired(this.registration);
  }

  /** The primary of the newest record, with or without a valid lease. */
  getLastKnownPrimary(): TermPrimary | null {
    const {record} = this;
    if (record === null || record.phase !== 'stable') {
      return null;
    }
    if (this.revision <= this.releasedRevision) {
      return null;
    }
    return {primary: record.primary, term: record.term};
  }

  private isUnexpired(grant: LeaseGrant | null): boolean {
    if (grant === null) {
      return false;
    }
    const ageMs = this.clockJumpDetector.getElapsedMs(grant.readAt);
    return ageMs !== null && ageMs < grant.durationMs;
  }
}

/** Whether a grant expires later than another one of the same clock epoch. */
function expiresAfter(grant: LeaseGrant | null, other: LeaseGrant): boolean {
  if (grant === null || grant.readAt.epoch !== other.readAt.epoch) {
    return false;
  }
  const endMs = grant.readAt.timeMs + grant.durationMs;
  return endMs > other.readAt.timeMs + other.durationMs;
}
