/**
 * Burn rates of the error budget over several windows. The thresholds for
 * paging and for opening a ticket are those of the Site Reliability Workbook
 * for an objective over 30 days ("Alerting on SLOs", multiwindow,
 * multi-burn-rate alerts).
 */

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/** Windows over which the burn rate is computed, shortest first. @public */
export const BURN_WINDOWS = [
  {name: '5m', durationMs: 5 * MINUTE_MS},
  {name: '30m', durationMs: 30 * MINUTE_MS},
  {name: '1h', durationMs: HOUR_MS},
  {name: '6h', durationMs: 6 * HOUR_MS},
  {name: '3d', durationMs: 72 * HOUR_MS},
] as const;

/** Name of one of `BURN_WINDOWS`. @public */
export type BurnWindowName = (typeof BURN_WINDOWS)[number]['name'];

/** Alert that an on-call engineer gets. @public */
export type AlertLevel = 'none' | 'ticket' | 'page';

/**
 * Fires when the burn rate of both windows is at least `burnRate`. The short
 * window ends the alert soon after the failures have stopped.
 */
interface AlertRule {
  readonly level: 'ticket' | 'page';
  readonly burnRate: number;
  readonly longWindow: BurnWindowName;
  readonly shortWindow: BurnWindowName;
}

/** Alert rules, most urgent first. */
const ALERT_RULES: readonly AlertRule[] = [
  {level: 'page', burnRate: 14.4, longWindow: '1h', shortWindow: '5m'},
  {level: 'page', burnRate: 6, longWindow: '6h', shortWindow: '30m'},
  {level: 'ticket', burnRate: 1, longWindow: '3d', shortWindow: '6h'},
];

/** Number of bad events and of all events in a window. @public */
export interface EventCounts {
  readonly badEvents: number;
  readonly allEvents: number;
}

/** Burn rate of one objective over one window. @public */
export interface WindowBurn extends EventCounts {
  readonly window: BurnWindowName;
  /** 1 spends the budget exactly over the period; null without events. */
  readonly burnRate: number | null;
}

/**
 * Computes how many times faster than allowed the error budget is spent; null
 * without events.
 *
 * @public
 */
export function getBurnRate(
  counts: EventCounts,
  objectiveShare: number,
): number | null {
  if (counts.allEvents === 0) {
    return null;
  }
  const badShare = counts.badEvents / counts.allEvents;
  return badShare / (1 - objectiveShare);
}

/** Returns the remaining share of the error budget, can be negative. @public */
export function getBudgetLeft(
  counts: EventCounts,
  objectiveShare: number,
): number {
  return 1 - (getBurnRate(counts, objectiveShare) ?? 0);
}

/** Returns the most urgent alert that fires. @public */
export function getAlertLevel(burns: readonly WindowBurn[]): AlertLevel {
  for (const rule of ALERT_RULES) {
    const isFiring =
      getRate(burns, rule.longWindow) >= rule.burnRate &&
      getRate(burns, rule.shortWindow) >= rule.burnRate;
    if (isFiring) {
      return rule.level;
    }
  }
  return 'none';
}

function getRate(burns: readonly WindowBurn[], window: BurnWindowName): number {
  const burn = burns.find(each => each.window === window);
  return burn?.burnRate ?? 0;
}
