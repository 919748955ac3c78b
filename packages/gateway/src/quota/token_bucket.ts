import {RESERVATION_LIFETIME_MS, type ZoneQuota} from './quota_rules.js';

/** What a proxy reports and asks for, for one customer. @public */
export interface PermitReport {
  /** Reserved permits that it holds, without those that it returns. */
  readonly heldCount: number;
  /** Reserved permits that it returns unused. */
  readonly returnedCount: number;
  /** Permits for operations that wait. */
  readonly neededCount: number;
  /** Permits to reserve for operations to come. */
  readonly wantedCount: number;
}

/** What the quota owner grants, for one customer. @public */
export interface PermitGrant {
  /** Reserved permits that the proxy may go on holding. */
  readonly confirmedCount: number;
  /** Permits for operations that wait; they count as used. */
  readonly grantedCount: number;
  readonly reservedCount: number;
  /** Time until a token is expected if fewer permits were granted than needed. */
  readonly retryAfterMs: number;
}

/** Reserved permits of one proxy. */
interface Reservation {
  readonly count: number;
  readonly untilMs: number;
}

const MS_PER_SECOND = 1_000;

/** Time for which the owner keeps a reservation longer than its holder. */
const RESERVATION_MARGIN_MS = 500;

/** Fraction of the available tokens that one proxy may reserve at once. */
const MAX_RESERVED_FRACTION = 0.34;

/**
 * Token bucket with reservations. Tokens and reserved permits together never
 * exceed the quota's maximum. A reserved permit that is neither held nor returned
 * at the next report, or that expires, counts as used. The bucket starts empty,
 * so a proxy that takes over from another one adds nothing to what that one has
 * granted.
 *
 * @internal
 */
export class TokenBucket {
  private tokens = 0;
  private readonly reservations = new Map<string, Reservation>();

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
    this.limitTokens();
  }

  /** Applies a proxy's report and grants permits. */
  exchange(holder: string, report: PermitReport, nowMs: number): PermitGrant {
    this.refill(nowMs);
    const known = this.reservations.get(holder)?.count ?? 0;
    const returned = Math.min(report.returnedCount, known);
    const confirmedCount = Math.min(report.heldCount, known - returned);
    this.reserve(holder, confirmedCount, nowMs);
    this.tokens += returned;
    this.limitTokens();
    const grantedCount = this.take(report.neededCount);
    const mayReserve = Math.ceil(this.tokens * MAX_RESERVED_FRACTION);
    const reservedCount = this.take(Math.min(report.wantedCount, mayReserve));
    this.reserve(holder, confirmedCount + reservedCount, nowMs);
    const retryAfterMs = this.getWaitMs();
    return {confirmedCount, grantedCount, reservedCount, retryAfterMs};
  }

  /** Takes up to `count` whole tokens and returns their number. */
  private take(count: number): number {
    const taken = Math.max(0, Math.min(count, Math.floor(this.tokens)));
    this.tokens -= taken;
    return taken;
  }

  private reserve(holder: string, count: number, nowMs: number): void {
    if (count === 0) {
      this.reservations.delete(holder);
      return;
    }
    const untilMs = nowMs + RESERVATION_LIFETIME_MS + RESERVATION_MARGIN_MS;
    this.reservations.set(holder, {count, untilMs});
  }

  /** Time until the next whole token; infinite if there can be none. */
  private getWaitMs(): number {
    const missing = Math.max(0, 1 - this.tokens);
    const {maxTokens, operationsPerSecond} = this.quota;
    return maxTokens < 1
      ? Number.POSITIVE_INFINITY
      : (missing / operationsPerSecond) * MS_PER_SECOND;
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    this.updatedAtMs = nowMs;
    for (const [holder, {untilMs}] of this.reservations) {
      if (untilMs <= nowMs) {
        this.reservations.delete(holder);
      }
    }
    this.tokens += (elapsedMs * this.quota.operationsPerSecond) / MS_PER_SECOND;
    this.limitTokens();
  }

  private limitTokens(): void {
    let reserved = 0;
    for (const {count} of this.reservations.values()) {
      reserved += count;
    }
    const maxTokens = Math.max(0, this.quota.maxTokens - reserved);
    this.tokens = Math.min(this.tokens, maxTokens);
  }
}
