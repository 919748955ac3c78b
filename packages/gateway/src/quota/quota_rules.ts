import type {CustomerLimit} from '../customer/customer.js';

/**
 * Divides a customer's limit among the availability zones. In each zone, one
 * proxy at a time, the quota owner, grants permits for operations from the
 * zone's share. Because the shares are fixed, zones that are cut off from each
 * other cannot exceed the limit together.
 */

/** How many operations a customer may run at all proxies together. @public */
export interface QuotaRules {
  /** Length of the sliding window in which operations are counted. */
  readonly windowMs: number;
  /** Fraction by which the limit may be exceeded. */
  readonly overageFraction: number;
  /** Operations beyond that which are tolerated in each window. */
  readonly slackOperations: number;
  /** Number of availability zones of the deployment. */
  readonly zoneCount: number;
}

/** Share of one availability zone. @public */
export interface ZoneQuota {
  readonly operationsPerSecond: number;
  /** Operations that may run at once after a pause. */
  readonly maxTokens: number;
}

/**
 * Time for which a permit for a waiting operation is valid, counted by its holder
 * from when it asked. Such permits count as used when they are granted, so a
 * window may contain those of this much time before it.
 *
 * @public
 */
export const PERMIT_LIFETIME_MS = 400;

/**
 * Time for which a reserved permit is valid, counted by its holder from when it
 * last reported it to the owner.
 *
 * @public
 */
export const RESERVATION_LIFETIME_MS = 30_000;

/** Fraction of the allowed operations that is granted, for rounding errors. */
const SAFETY_FRACTION = 0.98;

const MS_PER_SECOND = 1_000;

/**
 * Computes the share of a zone. Reserved permits count as tokens until they are
 * used. In a window of length W, all zones together run at most
 * rate * (W + permit lifetime) + tokens operations.
 *
 * @public
 */
export function computeZoneQuota(
  limit: CustomerLimit,
  rules: QuotaRules,
): ZoneQuota {
  const {windowMs, overageFraction, slackOperations, zoneCount} = rules;
  const tolerance = (1 + overageFraction) * SAFETY_FRACTION;
  const rateFraction = windowMs / (windowMs + PERMIT_LIFETIME_MS);
  const zones = Math.max(1, zoneCount);
  return {
    operationsPerSecond:
      (limit.operationsPerSecond * tolerance * rateFraction) / zones,
    maxTokens:
      (limit.burstOperations * tolerance + slackOperations * SAFETY_FRACTION) /
      zones,
  };
}

/** Returns the most operations that may run in one window. @public */
export function computeWindowLimit(
  limit: CustomerLimit,
  rules: QuotaRules,
): number {
  const {windowMs, overageFraction, slackOperations} = rules;
  const base =
    (limit.operationsPerSecond * windowMs) / MS_PER_SECOND +
    limit.burstOperations;
  return base * (1 + overageFraction) + slackOperations;
}
