import type * as echarts from 'echarts';
import type {BurnReport, ObjectiveBurn, TimelinePoint} from './burn_report.js';
import {escapeHtml, formatPage, renderPlot} from './html_page.js';
import {formatDuration, formatTarget} from './text_report.js';

/**
 * Formats the service-level report as a self-contained HTML page with SVG
 * plots.
 */

/** Burn rates marked in the plot, with the alert that each one triggers. */
const MARKED_RATES = [
  {rate: 14.4, label: 'page 14.4x'},
  {rate: 6, label: 'page 6x'},
  {rate: 1, label: 'ticket 1x'},
] as const;

/** Lower rates are drawn at this value, since the axis is logarithmic. */
const MIN_PLOTTED_RATE = 0.01;

/** Formats the report as HTML. @public */
export function formatHtmlReport(report: BurnReport): string {
  const plots: string[] = [plotBurn(report.objectives)];
  for (const [application, timeline] of Object.entries(report.timelines)) {
    plots.push(plotTimeline(application, timeline));
  }
  plots.push(plotWriteGaps(report));
  return formatPage('filbertrun: service-level burn', [
    formatSummary(report),
    formatTable(report.objectives),
    ...plots.filter(plot => plot !== ''),
  ]);
}

function formatSummary(report: BurnReport): string {
  const missing =
    report.missingSources.length === 0
      ? ''
      : ` No answer from ${escapeHtml(report.missingSources.join(', '))}.`;
  const takenAt = new Date(report.takenAtMs).toISOString();
  return [
    '<h1>Service-level burn</h1>',
    `<p class="note">${takenAt}. Proxies: ${escapeHtml(report.entryVms.join(', '))}.`,
    ` Counts reach back ${formatDuration(report.historyMs)}.${missing}</p>`,
    `<p class="${report.alert}"><strong>Alert: ${report.alert}</strong></p>`,
  ].join('\n');
}

function formatTable(objectives: readonly ObjectiveBurn[]): string {
  const windows = objectives[0]?.windows ?? [];
  const heading = windows
    .map(each => `<th class="number">${each.window}</th>`)
    .join('');
  const rows = objectives.map(formatRow).join('\n');
  return `<table><thead><tr><th>Application</th><th>Indicator</th><th>Objective</th>
<th class="number">Budget left</th>${heading}<th>Alert</th></tr></thead><tbody>
${rows}</tbody></table>`;
}

function formatRow(burn: ObjectiveBurn): string {
  const cells = burn.windows.map(each => {
    const rate = each.burnRate === null ? '–' : `${each.burnRate.toFixed(2)}×`;
    return `<td class="number">${rate}</td>`;
  });
  const budget = `${(burn.budgetLeft * 100).toFixed(1)}%`;
  return [
    `<tr class="${burn.alert}"><td>${escapeHtml(burn.application)}</td>`,
    `<td>${burn.indicator}</td><td>${escapeHtml(formatTarget(burn))}</td>`,
    `<td class="number">${budget}</td>${cells.join('')}`,
    `<td>${burn.alert}</td></tr>`,
  ].join('');
}

function plotBurn(objectives: readonly ObjectiveBurn[]): string {
  const windows = objectives[0]?.windows ?? [];
  const series = objectives.map(burn => ({
    name: `${burn.application} ${burn.indicator}`,
    type: 'bar' as const,
    data: burn.windows.map(each =>
      each.burnRate === null ? null : Math.max(MIN_PLOTTED_RATE, each.burnRate),
    ),
  }));
  const [first, ...rest] = series;
  if (first === undefined) {
    return '';
  }
  const marks = MARKED_RATES.map(mark => ({
    yAxis: mark.rate,
    label: {formatter: mark.label, position: 'insideEndTop' as const},
  }));
  const markLine = {symbol: 'none', silent: true, data: marks};
  return renderPlot('Burn rate by window', {
    legend: {type: 'scroll', bottom: 0},
    grid: {left: 60, right: 20, top: 20, bottom: 60},
    xAxis: {type: 'category', data: windows.map(each => each.window)},
    yAxis: {
      type: 'log',
      min: MIN_PLOTTED_RATE,
      startValue: MIN_PLOTTED_RATE,
      name: 'rate',
    },
    series: [{...first, markLine}, ...rest],
  });
}

function plotTimeline(
  application: string,
  timeline: readonly TimelinePoint[],
): string {
  if (timeline.every(point => point.statements === 0)) {
    return '';
  }
  return renderPlot(`${application}: the last hour`, {
    legend: {bottom: 0},
    grid: {left: 60, right: 60, top: 30, bottom: 60},
    xAxis: {
      type: 'category',
      data: timeline.map(point => formatClock(point.startMs)),
    },
    yAxis: [
      {type: 'value', name: 'a minute'},
      {type: 'value', name: 'replica share', min: 0, max: 1},
    ],
    series: [
      createBars('answered', timeline, each => each.statements - each.failures),
      createBars('not answered', timeline, each => each.failures),
      {
        name: 'replica share of reads',
        type: 'line',
        yAxisIndex: 1,
        showSymbol: false,
        data: timeline.map(point =>
          point.reads === 0 ? null : point.replicaReads / point.reads,
        ),
      },
    ],
  });
}

function createBars(
  name: string,
  timeline: readonly TimelinePoint[],
  getCount: (point: TimelinePoint) => number,
): echarts.BarSeriesOption {
  return {name, type: 'bar', stack: 'statements', data: timeline.map(getCount)};
}

function plotWriteGaps(report: BurnReport): string {
  if (report.writeGaps.length === 0) {
    return '<h2>Write gaps</h2><p class="note">None.</p>';
  }
  return renderPlot('Write gaps (ms)', {
    grid: {left: 60, right: 20, top: 20, bottom: 60},
    xAxis: {
      type: 'category',
      data: report.writeGaps.map(
        gap => `${formatClock(gap.startMs)} ${gap.databaseGroup}`,
      ),
    },
    yAxis: {type: 'value', name: 'ms'},
    series: [
      {
        type: 'bar',
        barMaxWidth: 40,
        data: report.writeGaps.map(gap => Math.round(gap.durationMs)),
      },
    ],
  });
}

function formatClock(timeMs: number): string {
  return new Date(timeMs).toISOString().slice(11, 16);
}
