import type {Clock} from '@filbertrun/base/clock.js';
import type {ConnectionIdentity} from './pool_types.js';

/**
 * Recent rate of leases by identity. It decides which idle connection is closed
 * for another identity: with 20 connections for 88 identities, closing the one
 * that has been idle for longest keeps connections of identities that are rarely
 * used and closes those of frequent ones.
 */

/** Time constant of the decay, long enough for about one request a second. */
const DECAY_MS = 10_000;

/** Number of identities at which those without recent use are removed. */
const MAX_IDENTITIES = 1_024;

/** Count below which an identity is without recent use. */
const MIN_COUNT = 0.01;

interface DecayingCount {
  count: number;
  updatedMs: number;
}

/** Rates of leases that decay exponentially. @internal */
export class IdentityUse {
  private readonly counts = new Map<ConnectionIdentity, DecayingCount>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): IdentityUse {
    return new IdentityUse(clock);
  }

  /** Records a lease. */
  record(identity: ConnectionIdentity): void {
    const count = this.getCount(identity) + 1;
    this.counts.set(identity, {count, updatedMs: this.clock.nowMs()});
    if (this.counts.size > MAX_IDENTITIES) {
      this.removeUnused();
    }
  }

  /**
   * Expected uses per millisecond of an identity's connection that has `others`
   * open beside it: the rate of leases times the probability that all others are
   * in use, which falls fast once they exceed the mean number in use.
   */
  getValue(
    identity: ConnectionIdentity,
    others: number,
    meanWorkMs: number,
  ): number {
    const ratePerMs = this.getCount(identity) / DECAY_MS;
    if (others === 0) {
      return ratePerMs;
    }
    const meanInUse = ratePerMs * meanWorkMs;
    return ratePerMs * Math.min(1, meanInUse / others) ** others;
  }

  private getCount(identity: ConnectionIdentity): number {
    const entry = this.counts.get(identity);
    if (entry === undefined) {
      return 0;
    }
    const elapsedMs = this.clock.nowMs() - entry.updatedMs;
    return entry.count * Math.exp(-elapsedMs / DECAY_MS);
  }

  private removeUnused(): void {
    for (const identity of this.counts.keys()) {
      if (this.getCount(identity) < MIN_COUNT) {
        this.counts.delete(identity);
      }
    }
  }
}
