import asciichart from 'asciichart';
import type {WindowBurn} from './burn.js';
import type {BurnReport, ObjectiveBurn, TimelinePoint} from './burn_report.js';

/**
 * Formats the service-level report as text for a terminal.
 */

/** Height of a chart in lines. */
const CHART_HEIGHT_LINES = 6;

/** Maximum number of write gaps listed, newest kept. */
const LISTED_GAP_LIMIT = 10;

const COLUMN_WIDTHS = {
  application: 20,
  indicator: 14,
  objective: 16,
  budget: 12,
  window: 9,
} as const;

/** Formats the report as text. @public */
export function formatTextReport(report: BurnReport): string {
  const sections = [
    formatHeader(report),
    formatObjectives(report.objectives),
    ...formatCharts(report),
    formatWriteGaps(report),
  ];
  return `${sections.join('\n\n')}\n`;
}

function formatHeader(report: BurnReport): string {
  const lines = [
    `Service-level burn at ${new Date(report.takenAtMs).toISOString()}`,
    `Proxies: ${report.entryVms.join(', ') || 'none'}`,
    `History: ${formatDuration(report.historyMs)}`,
    `Alert: ${report.alert}`,
  ];
  if (report.missingSources.length > 0) {
    lines.push(`No answer from: ${report.missingSources.join(', ')}`);
  }
  return lines.join('\n');
}

function formatObjectives(objectives: readonly ObjectiveBurn[]): string {
  const windows = objectives[0]?.windows ?? [];
  const heading = [
    'application'.padEnd(COLUMN_WIDTHS.application),
    'indicator'.padEnd(COLUMN_WIDTHS.indicator),
    'objective'.padEnd(COLUMN_WIDTHS.objective),
    'budget left'.padStart(COLUMN_WIDTHS.budget),
    ...windows.map(each => each.window.padStart(COLUMN_WIDTHS.window)),
    '  alert',
  ].join('');
  return [heading, ...objectives.map(formatObjective)].join('\n');
}

function formatObjective(burn: ObjectiveBurn): string {
  return [
    burn.application.padEnd(COLUMN_WIDTHS.application),
    burn.indicator.padEnd(COLUMN_WIDTHS.indicator),
    formatTarget(burn).padEnd(COLUMN_WIDTHS.objective),
    `${(burn.budgetLeft * 100).toFixed(1)}%`.padStart(COLUMN_WIDTHS.budget),
    ...burn.windows.map(formatRate),
    `  ${burn.alert}`,
  ].join('');
}

/** Formats an objective, such as `99% <= 50 ms`. @public */
export function formatTarget(burn: ObjectiveBurn): string {
  const share = `${Number((burn.objectiveShare * 100).toFixed(3))}%`;
  return burn.boundMs === null ? share : `${share} <= ${burn.boundMs} ms`;
}

function formatRate(burn: WindowBurn): string {
  const text = burn.burnRate === null ? '-' : `${burn.burnRate.toFixed(2)}x`;
  return text.padStart(COLUMN_WIDTHS.window);
}

function formatCharts(report: BurnReport): readonly string[] {
  const charts: string[] = [];
  for (const [application, timeline] of Object.entries(report.timelines)) {
    if (timeline.some(point => point.statements > 0)) {
      charts.push(formatChart(application, timeline));
    }
  }
  return charts;
}

function formatChart(
  application: string,
  timeline: readonly TimelinePoint[],
): string {
  const statements = timeline.map(point => point.statements);
  const chart = asciichart.plot(statements, {height: CHART_HEIGHT_LINES});
  return `${application}: statements a minute over the last hour\n${chart}`;
}

function formatWriteGaps(report: BurnReport): string {
  if (report.writeGaps.length === 0) {
    return 'Write gaps: none';
  }
  const lines = ['Write gaps, newest last:'];
  for (const gap of report.writeGaps.slice(-LISTED_GAP_LIMIT)) {
    const start = new Date(gap.startMs).toISOString();
    const cause = gap.isPlanned ? 'planned' : 'failure';
    const durationMs = Math.round(gap.durationMs);
    lines.push(`  ${start}  ${gap.databaseGroup}  ${durationMs} ms  ${cause}`);
  }
  return lines.join('\n');
}

/** Formats a duration in whole seconds, minutes or hours. @public */
export function formatDuration(durationMs: number): string {
  const minutes = Math.floor(durationMs / 60_000);
  if (minutes < 1) {
    return `${Math.round(durationMs / 1000)} s`;
  }
  if (minutes < 120) {
    return `${minutes} min`;
  }
  return `${Math.floor(minutes / 60)} h`;
}
