import {escapeHtml, formatPage, renderPlot} from './html_page.js';
import {sumBy, type LossCount, type LossReport} from './loss_report.js';

/** Formats the report on unserved statements as an HTML page. */

/** Maximum number of rows in the table of reasons. */
const MAX_REASON_ROWS = 40;

/** Formats the report as HTML. @public */
export function formatLossHtml(report: LossReport): string {
  const {losses} = report;
  return formatPage('filbertrun: statements that were not served', [
    '<h1>Statements that were not served</h1>',
    `<p class="note">From ${new Date(report.startMs).toISOString()}. Log lines that were not written: ${report.droppedLines}.</p>`,
    plotBySecond('What they waited for, by second', losses, each => each.cause),
    plotBySecond('By class, by second', losses, each => each.statementClass),
    plotBySecond('By database group', losses, each => each.databaseGroup),
    formatTotals(report),
    formatReasons(losses),
  ]);
}

function plotBySecond(
  title: string,
  losses: readonly LossCount[],
  getName: (loss: LossCount) => string,
): string {
  const lastSecond = Math.max(0, ...losses.map(({second}) => second));
  const names = new Set(losses.map(getName));
  const series = [...names].map(name => {
    const data = new Array<number>(lastSecond + 1).fill(0);
    for (const loss of losses) {
      if (getName(loss) === name) {
        data[loss.second] = (data[loss.second] ?? 0) + loss.count;
      }
    }
    return {name, type: 'bar' as const, stack: 'losses', data};
  });
  return renderPlot(title, {
    legend: {type: 'scroll', bottom: 0},
    grid: {left: 60, right: 20, top: 20, bottom: 60},
    xAxis: {
      type: 'category',
      data: Array.from({length: lastSecond + 1}, (_unused, index) => index),
    },
    yAxis: {type: 'value', name: 'a second'},
    series,
  });
}

function formatTotals({totals}: LossReport): string {
  const rows = totals.map(
    ({cause, count}) =>
      `<tr><td>${escapeHtml(cause)}</td><td class="number">${count}</td></tr>`,
  );
  return `<h2>By cause</h2><table>${rows.join('\n')}</table>`;
}

function formatReasons(losses: readonly LossCount[]): string {
  const sums = sumBy(
    losses,
    ({cause, databaseGroup, statementClass, reason}) =>
      `${cause}: ${databaseGroup}, ${statementClass}, ${reason}`,
  );
  const rows = [...sums]
    .sort(([, left], [, right]) => right - left)
    .slice(0, MAX_REASON_ROWS)
    .map(
      ([title, count]) =>
        `<tr><td>${escapeHtml(title)}</td><td class="number">${count}</td></tr>`,
    );
  return `<h2>Reasons</h2><table>${rows.join('\n')}</table>`;
}
