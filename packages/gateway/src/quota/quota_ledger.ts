import type {Clock} from '@filbertrun/base/clock.js';
import type {Customer, CustomerLimit} from '../customer/customer.js';
import {computeZoneQuota, type QuotaRules} from './quota_rules.js';
import {TokenBucket} from './token_bucket.js';

/** Permits that an owner grants. @public */
export interface PermitGrant {
  readonly grantedCount: number;
  /** Time after which a permit may be available, if fewer were granted. */
  readonly retryAfterMs: number;
}

/** Longest retry delay that is reported. */
const MAX_RETRY_AFTER_MS = 5_000;

interface CustomerBucket {
  readonly bucket: TokenBucket;
  limit: CustomerLimit;
}

/**
 * Token buckets of the customers whose quota this proxy owns in its zone. A
 * bucket is dropped when ownership ends and starts empty when it begins.
 *
 * @public
 */
export class QuotaLedger {
  private readonly buckets = new Map<string, CustomerBucket>();

  private constructor(
    private readonly clock: Clock,
    private readonly rules: QuotaRules,
  ) {}

  static create(clock: Clock, rules: QuotaRules): QuotaLedger {
    return new QuotaLedger(clock, rules);
  }

  /** Begins to own the quotas of customers and stops owning all others. */
  setOwned(customers: readonly Customer[]): void {
    const owned = new Set<string>();
    for (const {name, limit} of customers) {
      if (limit !== null) {
        owned.add(name);
        this.applyLimit(name, limit);
      }
    }
    for (const name of [...this.buckets.keys()]) {
      if (!owned.has(name)) {
        this.buckets.delete(name);
      }
    }
  }

  /** Stops owning a customer's quota. */
  drop(customer: string): void {
    this.buckets.delete(customer);
  }

  /** Grants up to `wanted` permits; null if the quota is not owned. */
  grant(customer: string, wanted: number): PermitGrant | null {
    const known = this.buckets.get(customer);
    if (known === undefined) {
      return null;
    }
    const nowMs = this.clock.nowMs();
    const grantedCount = known.bucket.take(wanted, nowMs);
    const waitMs = known.bucket.getWaitMs(nowMs);
    return {grantedCount, retryAfterMs: Math.min(waitMs, MAX_RETRY_AFTER_MS)};
  }

  private applyLimit(name: string, limit: CustomerLimit): void {
    const nowMs = this.clock.nowMs();
    const known = this.buckets.get(name);
    const quota = computeZoneQuota(limit, this.rules);
    if (known === undefined) {
      const bucket = TokenBucket.create(quota, nowMs);
      this.buckets.set(name, {bucket, limit});
      return;
    }
    if (
      known.limit.operationsPerSecond !== limit.operationsPerSecond ||
      known.limit.burstOperations !== limit.burstOperations
    ) {
      known.bucket.setQuota(quota, nowMs);
      known.limit = limit;
    }
  }
}
