import type {
  ServiceLevelSnapshot,
  WriteGap,
} from '@filbertrun/observability/service_level_snapshot.js';
import {
  BURN_WINDOWS,
  getAlertLevel,
  getBudgetLeft,
  getBurnRate,
  type AlertLevel,
  type EventCounts,
  type WindowBurn,
} from './burn.js';
import {
  countSlowStatements,
  getApplications,
  sumCounts,
  type WindowCounts,
} from './event_counts.js';
import {
  getApplicationObjectives,
  type ApplicationObjectives,
  type Objectives,
} from './objectives.js';

/**
 * Builds the service-level report from the snapshots of all proxies.
 */

/** Service-level indicator that an objective sets a target for. @public */
export type Indicator =
  'availability' | 'latency' | 'replicaShare' | 'failoverGap';

/** Burn rates, remaining error budget and alert of one objective. @public */
export interface ObjectiveBurn {
  /** Application, or `*` for an objective of the whole system. */
  readonly application: string;
  readonly indicator: Indicator;
  readonly objectiveShare: number;
  /** Upper bound of a latency or failover gap; null for other indicators. */
  readonly boundMs: number | null;
  readonly windows: readonly WindowBurn[];
  /** Share of the error budget that is left over the longest window. */
  readonly budgetLeft: number;
  readonly alert: AlertLevel;
}

/** Counts of one time step of a plot. @public */
export interface TimelinePoint {
  readonly startMs: number;
  readonly statements: number;
  readonly failures: number;
  readonly reads: number;
  readonly replicaReads: number;
}

/** Service-level report on all proxies. @public */
export interface BurnReport {
  readonly takenAtMs: number;
  readonly entryVms: readonly string[];
  /** Sources that gave no snapshot. */
  readonly missingSources: readonly string[];
  /** How far back the counts reach; a proxy loses its counts on a restart. */
  readonly historyMs: number;
  readonly objectives: readonly ObjectiveBurn[];
  readonly writeGaps: readonly WriteGap[];
  readonly timelines: Readonly<Record<string, readonly TimelinePoint[]>>;
  readonly alert: AlertLevel;
}

/** Inputs of `createBurnReport`. @public */
export interface BurnReportInput {
  readonly snapshots: readonly ServiceLevelSnapshot[];
  readonly missingSources: readonly string[];
  readonly objectives: Objectives;
  /** Milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

/** Number of time steps of a plot. */
const TIMELINE_STEPS = 60;

/** Time range of a plot. */
const TIMELINE_MS = 3_600_000;

/** Computes burn rates, write gaps and timelines. @public */
export function createBurnReport(input: BurnReportInput): BurnReport {
  const applications = getApplications(input.snapshots);
  const burns: ObjectiveBurn[] = [];
  for (const application of applications) {
    burns.push(...createApplicationBurns(input, application));
  }
  burns.push(createFailoverGapBurn(input));
  const timelines: Record<string, readonly TimelinePoint[]> = {};
  for (const application of applications) {
    timelines[application] = createTimeline(input, application);
  }
  return {
    takenAtMs: input.nowMs,
    entryVms: input.snapshots.map(snapshot => snapshot.entryVm).sort(),
    missingSources: input.missingSources,
    historyMs: getHistoryMs(input, applications),
    objectives: burns,
    writeGaps: collectWriteGaps(input.snapshots),
    timelines,
    alert: getMostUrgent(burns),
  };
}

type CountEvents = (counts: WindowCounts) => EventCounts;

function createApplicationBurns(
  input: BurnReportInput,
  application: string,
): readonly ObjectiveBurn[] {
  const objectives = getApplicationObjectives(input.objectives, application);
  const burns: ObjectiveBurn[] = [];
  for (const definition of getIndicatorDefinitions(objectives)) {
    const windows = BURN_WINDOWS.map(window => {
      const span = {
        startMs: input.nowMs - window.durationMs,
        endMs: input.nowMs,
      };
      const counts = sumCounts(input.snapshots, application, span);
      return createWindowBurn(
        window.name,
        definition.countEvents(counts),
        definition.objectiveShare,
      );
    });
    burns.push(createObjectiveBurn({application, ...definition, windows}));
  }
  return burns;
}

interface IndicatorDefinition {
  readonly indicator: Indicator;
  readonly objectiveShare: number;
  readonly boundMs: number | null;
  readonly countEvents: CountEvents;
}

function getIndicatorDefinitions(
  objectives: ApplicationObjectives,
): readonly IndicatorDefinition[] {
  const definitions: IndicatorDefinition[] = [];
  if (objectives.availabilityShare !== undefined) {
    definitions.push({
      indicator: 'availability',
      objectiveShare: objectives.availabilityShare,
      boundMs: null,
      countEvents: counts => ({
        badEvents: counts.failures,
        allEvents: counts.statements,
      }),
    });
  }
  const {latencyShare, latencyBoundMs} = objectives;
  if (latencyShare !== undefined && latencyBoundMs !== undefined) {
    definitions.push({
      indicator: 'latency',
      objectiveShare: latencyShare,
      boundMs: latencyBoundMs,
      countEvents: counts => ({
        badEvents: countSlowStatements(counts, latencyBoundMs),
        allEvents: counts.statements,
      }),
    });
  }
  if (objectives.replicaReadShare !== undefined) {
    definitions.push({
      indicator: 'replicaShare',
      objectiveShare: objectives.replicaReadShare,
      boundMs: null,
      countEvents: counts => ({
        badEvents: counts.reads - counts.replicaReads,
        allEvents: counts.reads,
      }),
    });
  }
  return definitions;
}

function createFailoverGapBurn(input: BurnReportInput): ObjectiveBurn {
  const {failoverGapMs, failoverGapShare} = input.objectives;
  const gaps = collectWriteGaps(input.snapshots);
  const windows = BURN_WINDOWS.map(window => {
    const startMs = input.nowMs - window.durationMs;
    const recent = gaps.filter(gap => gap.startMs >= startMs);
    const late = recent.filter(gap => gap.durationMs > failoverGapMs);
    const counts = {badEvents: late.length, allEvents: recent.length};
    return createWindowBurn(window.name, counts, failoverGapShare);
  });
  return createObjectiveBurn({
    application: '*',
    indicator: 'failoverGap',
    objectiveShare: failoverGapShare,
    boundMs: failoverGapMs,
    windows,
  });
}

function createWindowBurn(
  window: WindowBurn['window'],
  counts: EventCounts,
  objectiveShare: number,
): WindowBurn {
  return {window, ...counts, burnRate: getBurnRate(counts, objectiveShare)};
}

function createObjectiveBurn(
  parts: Omit<ObjectiveBurn, 'budgetLeft' | 'alert'>,
): ObjectiveBurn {
  const {application, indicator, objectiveShare, boundMs, windows} = parts;
  const longest = windows.at(-1) ?? {badEvents: 0, allEvents: 0};
  return {
    application,
    indicator,
    objectiveShare,
    boundMs,
    windows,
    budgetLeft: getBudgetLeft(longest, objectiveShare),
    alert: getAlertLevel(windows),
  };
}

function createTimeline(
  input: BurnReportInput,
  application: string,
): readonly TimelinePoint[] {
  const stepMs = TIMELINE_MS / TIMELINE_STEPS;
  const lastStartMs = Math.floor(input.nowMs / stepMs) * stepMs;
  const points: TimelinePoint[] = [];
  for (let step = TIMELINE_STEPS - 1; step >= 0; step -= 1) {
    const startMs = lastStartMs - step * stepMs;
    const span = {startMs, endMs: startMs + stepMs};
    const counts = sumCounts(input.snapshots, application, span);
    const {statements, failures, reads, replicaReads} = counts;
    points.push({startMs, statements, failures, reads, replicaReads});
  }
  return points;
}

/**
 * Merges overlapping write gaps of a database group. Several proxies can record
 * the same gap; the longest record is kept.
 */
function collectWriteGaps(
  snapshots: readonly ServiceLevelSnapshot[],
): readonly WriteGap[] {
  const all = snapshots.flatMap(snapshot => snapshot.writeGaps);
  const ordered = [...all].sort((left, right) => left.startMs - right.startMs);
  const distinct: WriteGap[] = [];
  for (const gap of ordered) {
    const index = distinct.findLastIndex(
      each => each.databaseGroup === gap.databaseGroup,
    );
    const merged = distinct[index];
    if (
      merged === undefined ||
      gap.startMs > merged.startMs + merged.durationMs
    ) {
      distinct.push(gap);
    } else if (gap.durationMs > merged.durationMs) {
      distinct[index] = gap;
    }
  }
  return distinct;
}

function getHistoryMs(
  input: BurnReportInput,
  applications: readonly string[],
): number {
  const span = {startMs: 0, endMs: input.nowMs + 1};
  let earliestMs = input.nowMs;
  for (const application of applications) {
    const counts = sumCounts(input.snapshots, application, span);
    earliestMs = Math.min(earliestMs, counts.earliestMs ?? earliestMs);
  }
  return input.nowMs - earliestMs;
}

function getMostUrgent(burns: readonly ObjectiveBurn[]): AlertLevel {
  if (burns.some(burn => burn.alert === 'page')) {
    return 'page';
  }
  return burns.some(burn => burn.alert === 'ticket') ? 'ticket' : 'none';
}
