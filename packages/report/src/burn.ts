/**
 * Burn of the error budget over several windows, with the thresholds for
 * paging and for a ticket that the Site Reliability Workbook gives for an
 * objective over 30 days ("Alerting on SLOs", multiwindow, multi-burn-rate).
 */

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/** Windows over which burn is shown. @public */
export const BURN_WINDOWS = [
  {name: '5m', durationMs: 5 * MINUTE_MS},
  {name: '30m', durationMs: 30 * MINUTE_MS},
  {name: '1h', durationMs: HOUR_MS},
  {name: '6h', durationMs: 6 * HOUR_MS},
  {name: '3d', durationMs: 72 * HOUR_MS},
] as const;

/** Name of a window. @public */
export type BurnWindowName = (typeof BURN_WINDOWS)[number]['name'];

/** How urgently somebody must act. @public */
export type AlertLevel = 'none' | 'ticket' | 'page';

/** An alert fires when both windows burn at least this fast. */
interface AlertRule {
  readonly level: 'ticket' | 'page';
  readonly burnRate: number;
  readonly longWindow: BurnWindowName;
  readonly shortWindow: BurnWindowName;
}

/** Rules, the most urgent first. */
const ALERT_RULES: readonly AlertRule[] = [
  {level: 'page', burnRate: 14.4, longWindow: '1h', shortWindow: '5m'},
  {level: 'page', burnRate: 6, longWindow: '6h', shortWindow: '30m'},
  {level: 'ticket', burnRate: 1, longWindow: '3d', shortWindow: '6h'},
];

/** Bad events among all events of a window. @public */
export interface EventCounts {
  readonly badEvents: number;
  readonly allEvents: number;
}

/** Burn of one objective over one window. @public */
export interface WindowBurn extends EventCounts {
  readonly window: BurnWindowName;
  /** 1 uses the budget up exactly at the end of the period; null without events. */
  readonly burnRate: number | null;
}

/**
 * How many times faster than allowed the error budget is used up.
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

/** Part of the error budget that is left, negative when overspent. @public */
export function getBudgetLeft(
  counts: EventCounts,
  objectiveShare: number,
): number {
  return 1 - (getBurnRate(counts, objectiveShare) ?? 0);
}

/** The most urgent alert that the windows give. @public */
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
