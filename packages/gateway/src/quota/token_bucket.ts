import type {ZoneQuota} from './quota_rules.js';

const MS_PER_SECOND = 1_000;

/**
 * Token bucket that starts empty, so that a proxy that takes over from another
 * one adds no operations to those that the other has just granted.
 *
 * @internal
 */
export class TokenBucket {
  private tokens = 0;

  private constructor(
    private quota: ZoneQuota,
    private updatedAtMs: number,
  ) {}

  static create(quota: ZoneQuota, nowMs: number): TokenBucket {
    return new TokenBucket(quota, nowMs);
  }

  /** Applies a changed quota from now on. */
  setQuota(quota: ZoneQuota, nowMs: number): void {
    this.refill(nowMs);
    this.quota = quota;
    this.tokens = Math.min(this.tokens, quota.maxTokens);
  }

  /** Takes up to `wanted` whole tokens and returns their number. */
  take(wanted: number, nowMs: number): number {
    this.refill(nowMs);
    const taken = Math.max(0, Math.min(wanted, Math.floor(this.tokens)));
    this.tokens -= taken;
    return taken;
  }

  /** Puts back tokens that were taken and not used. */
  giveBack(count: number): void {
    this.tokens = Math.min(this.quota.maxTokens, this.tokens + count);
  }

  /** Time until the next whole token; infinite without a rate. */
  getWaitMs(nowMs: number): number {
    this.refill(nowMs);
    const missing = Math.max(0, 1 - this.tokens);
    return this.quota.maxTokens < 1
      ? Number.POSITIVE_INFINITY
      : (missing / this.quota.operationsPerSecond) * MS_PER_SECOND;
  }

  private refill(nowMs: number): void {
    const {operationsPerSecond, maxTokens} = this.quota;
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    this.updatedAtMs = nowMs;
    this.tokens = Math.min(
      maxTokens,
      this.tokens + (elapsedMs * operationsPerSecond) / MS_PER_SECOND,
    );
  }
}
