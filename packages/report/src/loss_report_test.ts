import type {LogRecord} from '@filbertrun/observability/log_record.js';
import {describe, expect, it} from 'vitest';
import {formatLossHtml} from './loss_html.js';
import {createLossReport, formatLossText} from './loss_report.js';

function record(
  timeMs: number,
  event: string,
  fields: Record<string, unknown> = {},
  entryVm = 'entry-1',
): LogRecord {
  return {timeMs, entryVm, event, fields: {databaseGroup: 'g1', ...fields}};
}

function refused(timeMs: number, reason: string, entryVm?: string): LogRecord {
  return record(
    timeMs,
    'statementRefused',
    {reason, consistency: 'strict'},
    entryVm,
  );
}

/** A primary that fails at 1.0 s; writes resume on another one at 2.4 s. */
const CHANGE: readonly LogRecord[] = [
  record(0, 'primaryBelieved'),
  record(1_000, 'backendUnreachable', {backendServer: 'p'}),
  record(1_400, 'changeIntended', {primary: 'p'}),
  record(1_700, 'promotionOrdered'),
  record(2_000, 'changeCompleted', {waitingFor: ['entry-2']}),
  record(2_400, 'writesOpened'),
];

describe('createLossReport', () => {
  it('attributes losses to the step of a change of primary in progress', () => {
    const report = createLossReport([
      refused(2_200, 'no primary'),
      refused(1_900, 'no primary'),
      refused(1_500, 'no primary'),
      refused(1_100, 'unavailable: the server is out of reach'),
      refused(2_500, 'overloaded: no connection: overloaded'),
      ...CHANGE,
    ]);
    expect(report.losses.map(({second, cause}) => [second, cause])).toEqual([
      [1, 'detection'],
      [1, 'release and fence'],
      [1, 'promotion'],
      [2, 'lease'],
      [2, 'connection'],
    ]);
  });

  it('attributes a rejection by a full queue to the queue during a change of primary', () => {
    const report = createLossReport([
      ...CHANGE,
      refused(1_500, 'rejected: BUSY'),
    ]);
    expect(report.totals).toEqual([{cause: 'slot', count: 1}]);
  });

  it('attributes losses shortly after a process start to the start', () => {
    const report = createLossReport([
      record(0, 'started', {}, 'entry-2'),
      refused(500, 'no connection: overloaded', 'entry-2'),
      refused(500, 'no connection: overloaded', 'entry-3'),
    ]);
    expect(report.totals).toEqual([
      {cause: 'process start', count: 1},
      {cause: 'connection', count: 1},
    ]);
  });

  it('sums equal losses and counts the dropped log lines', () => {
    const report = createLossReport([
      refused(100, 'rejected: BUSY'),
      refused(200, 'rejected: BUSY'),
      record(300, 'logLinesDropped', {count: 7}),
    ]);
    expect(report.losses.map(({count}) => count)).toEqual([2]);
    expect(report.droppedLines).toBe(7);
  });

  it('formats the report as text and as escaped HTML', () => {
    const report = createLossReport([
      ...CHANGE,
      refused(1_500, 'no <primary>'),
    ]);
    expect(formatLossText(report)).toContain('1  release and fence');
    const page = formatLossHtml(report);
    expect(page).toContain('<svg');
    expect(page).toContain('no &lt;primary&gt;');
  });
});
