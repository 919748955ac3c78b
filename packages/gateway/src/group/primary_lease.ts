import type {ContactProof} from '../control/contact_watch.js';
import type {ClockReading, ClockWatch} from './clock_watch.js';
import type {PrimaryRecord, RevisedPrimaryRecord} from './primary_record.js';

/** How long a linearizable read of the record may be relied on. @public */
export interface LeaseProof {
  /** Start of the read. */
  readonly readAt: ClockReading;
  readonly durationMs: number;
  /** The store's clock at the read. */
  readonly storeTimeMs: number;
}

/** A primary with the term that it leads. @public */
export interface TermPrimary {
  readonly primary: string;
  readonly term: number;
}

/**
 * A proxy's right to treat one instance as the primary of a database group. It
 * follows from a linearizable read of the primary record and ends with its
 * duration, with a release, when the machine may have been suspended, or while
 * the proxy has no contact with the store and the other proxies.
 *
 * @public
 */
export class PrimaryLease {
  private current: RevisedPrimaryRecord | null = null;
  private proof: LeaseProof | null = null;
  private releasedRevision = 0;

  private constructor(
    private readonly clockWatch: ClockWatch,
    private readonly contact: ContactProof,
  ) {}

  static create(clockWatch: ClockWatch, contact: ContactProof): PrimaryLease {
    return new PrimaryLease(clockWatch, contact);
  }

  /** The newest record that was read, or null. */
  get record(): PrimaryRecord | null {
    return this.current?.record ?? null;
  }

  get revision(): number {
    return this.current?.revision ?? 0;
  }

  /** Newest revision that was read, announced or named by a release. */
  get newestRevision(): number {
    return Math.max(this.revision, this.releasedRevision);
  }

  /** Takes a record from a linearizable read, with what the read proves. */
  learn(revised: RevisedPrimaryRecord, proof: LeaseProof): void {
    if (revised.revision < this.revision) {
      return;
    }
    const isSameRevision = revised.revision === this.revision;
    if (!isSameRevision || !this.isLonger(proof)) {
      this.proof = proof;
    }
    this.current = revised;
  }

  /** Takes a record that another proxy announced; it gives no lease. */
  learnUnproven(revised: RevisedPrimaryRecord): void {
    if (revised.revision <= this.revision) {
      return;
    }
    this.current = revised;
    this.proof = null;
  }

  /** Ends the lease until another read proves the record. */
  dropProof(): void {
    this.proof = null;
  }

  /** Gives the lease up for every revision up to `revision`. */
  release(revision: number): void {
    this.releasedRevision = Math.max(this.releasedRevision, revision);
  }

  /** The primary that may be relied on now, or null. */
  getPrimary(): TermPrimary | null {
    return this.isProven() && this.contact.isInContact()
      ? this.getLastKnownPrimary()
      : null;
  }

  /** Whether the registration of this proxy stands, so that it is asked to release. */
  isProven(): boolean {
    if (this.proof === null) {
      return false;
    }
    const ageMs = this.clockWatch.getElapsedMs(this.proof.readAt);
    return ageMs !== null && ageMs < this.proof.durationMs;
  }

  /** The primary of the newest record, whether or not a lease holds. */
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

  /** Whether the present proof lasts longer than another one. */
  private isLonger(other: LeaseProof): boolean {
    const {proof} = this;
    if (proof === null || proof.readAt.epoch !== other.readAt.epoch) {
      return false;
    }
    const endMs = proof.readAt.timeMs + proof.durationMs;
    return endMs > other.readAt.timeMs + other.durationMs;
  }
}
