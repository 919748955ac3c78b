import type {Clock} from '@filbertrun/base/clock.js';
import type {Customer, CustomerLimit} from '../customer/customer.js';
import {computeZoneQuota, type QuotaRules} from './quota_rules.js';
import {
  TokenBucket,
  type PermitGrant,
  type PermitReport,
} from './token_bucket.js';

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

  /** Applies a proxy's report; null if the customer's quota is not owned. */
  exchange(
    customer: string,
    holder: string,
    report: PermitReport,
  ): PermitGrant | null {
    const known = this.buckets.get(customer);
    if (known === undefined) {
      return null;
    }
    const grant = known.bucket.exchange(holder, report, this.clock.nowMs());
    const retryAfterMs = Math.min(grant.retryAfterMs, MAX_RETRY_AFTER_MS);
    return {...grant, retryAfterMs};
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
    if (!isSameLimit(known.limit, limit)) {
      known.bucket.setQuota(quota, nowMs);
      known.limit = limit;
    }
  }
}

/** Whether two limits are equal. @internal */
export function isSameLimit(
  left: CustomerLimit | null,
  right: CustomerLimit | null,
): boolean {
  return (
    left?.operationsPerSecond === right?.operationsPerSecond &&
    left?.burstOperations === right?.burstOperations
  );
}
