import type {LogRecord} from '@filbertrun/observability/log_record.js';
import {LossCauses, type LossCause} from './loss_cause.js';

/**
 * Tells from the logs of all proxies which statements were not served: by
 * second, database group, class of read and reason, and what each was waiting
 * for.
 */

/** Losses of one kind. @public */
export interface LossCount {
  readonly second: number;
  readonly databaseGroup: string;
  /** Class of the route, or what became of the statement. */
  readonly statementClass: string;
  readonly reason: string;
  readonly cause: LossCause;
  readonly count: number;
}

/** The whole report. @public */
export interface LossReport {
  /** Time of second 0. */
  readonly startMs: number;
  readonly losses: readonly LossCount[];
  readonly totals: readonly {
    readonly cause: LossCause;
    readonly count: number;
  }[];
  /** Lines that the proxies did not write to keep their logs small. */
  readonly droppedLines: number;
}

const MS_PER_SECOND = 1_000;

/** Events that say that a caller was not served, with their class. */
const LOSS_EVENTS: ReadonlyMap<string, string | null> = new Map([
  ['statementRefused', null],
  ['outcomeUnknown', 'outcome unknown'],
  ['transactionLost', 'transaction lost'],
]);

/** Makes the report. @public */
export function createLossReport(records: readonly LogRecord[]): LossReport {
  const ordered = [...records].sort(
    (left, right) => left.timeMs - right.timeMs,
  );
  const startMs = ordered[0]?.timeMs ?? 0;
  const causes = LossCauses.create(ordered);
  const counts = new Map<string, LossCount>();
  const totals = new Map<LossCause, number>();
  let droppedLines = 0;
  for (const record of ordered) {
    if (record.event === 'logLinesDropped') {
      droppedLines += Number(record.fields['count'] ?? 0);
    }
    const loss = readLoss(record, startMs, causes);
    if (loss === null) {
      continue;
    }
    const key = JSON.stringify(loss);
    const count = (counts.get(key)?.count ?? 0) + 1;
    counts.set(key, {...loss, count});
    totals.set(loss.cause, (totals.get(loss.cause) ?? 0) + 1);
  }
  return {
    startMs,
    losses: [...counts.values()],
    totals: [...totals]
      .map(([cause, count]) => ({cause, count}))
      .sort((left, right) => right.count - left.count),
    droppedLines,
  };
}

function readLoss(
  record: LogRecord,
  startMs: number,
  causes: LossCauses,
): Omit<LossCount, 'count'> | null {
  const statementClass = LOSS_EVENTS.get(record.event);
  if (statementClass === undefined) {
    return null;
  }
  const {fields, timeMs} = record;
  return {
    second: Math.floor((timeMs - startMs) / MS_PER_SECOND),
    databaseGroup: String(fields['databaseGroup'] ?? 'unknown'),
    statementClass: statementClass ?? String(fields['consistency'] ?? ''),
    reason: String(fields['reason'] ?? ''),
    cause: causes.find(record),
  };
}

/** Rows of the text form that stand for single reasons. */
const MAX_REASON_ROWS = 15;

/** Writes the report as text. @public */
export function formatLossText(report: LossReport): string {
  const lines = ['what statements that were not served waited for:'];
  for (const {cause, count} of report.totals) {
    lines.push(`${String(count).padStart(8)}  ${cause}`);
  }
  lines.push('', 'by second, cause and class:');
  for (const [title, count] of sumBy(
    report.losses,
    ({second, cause, statementClass}) =>
      `${String(second).padStart(5)} s  ${cause}, ${statementClass}`,
  )) {
    lines.push(`${String(count).padStart(8)}  ${title}`);
  }
  lines.push('', 'most frequent reasons:');
  const reasons = [
    ...sumBy(
      report.losses,
      ({databaseGroup, reason}) => `${databaseGroup}: ${reason}`,
    ),
  ].sort(([, left], [, right]) => right - left);
  for (const [title, count] of reasons.slice(0, MAX_REASON_ROWS)) {
    lines.push(`${String(count).padStart(8)}  ${title}`);
  }
  lines.push('', `log lines that were not written: ${report.droppedLines}`);
  return `${lines.join('\n')}\n`;
}

/** Adds counts up by a title, in the order of the losses. @internal */
export function sumBy(
  losses: readonly LossCount[],
  getTitle: (loss: LossCount) => string,
): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  for (const loss of losses) {
    const title = getTitle(loss);
    sums.set(title, (sums.get(title) ?? 0) + loss.count);
  }
  return sums;
}
