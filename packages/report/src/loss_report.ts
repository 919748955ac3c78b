import type {LogRecord} from '@filbertrun/observability/log_record.js';
import {LossCauseFinder, type LossCause} from './loss_cause.js';

/**
 * Counts the statements that were not served (losses) in the logs of all
 * proxies, by second, database group, statement class, reason and cause.
 */

/** Number of losses that are equal in all other fields. @public */
export interface LossCount {
  readonly second: number;
  readonly databaseGroup: string;
  /** Consistency class of the route, or the outcome if that is known. */
  readonly statementClass: string;
  readonly reason: string;
  readonly cause: LossCause;
  readonly count: number;
}

/** Report on unserved statements. @public */
export interface LossReport {
  /** Time of second 0, in milliseconds since the Unix epoch. */
  readonly startMs: number;
  readonly losses: readonly LossCount[];
  readonly totals: readonly {
    readonly cause: LossCause;
    readonly count: number;
  }[];
  /** Log lines that the proxies dropped to limit the size of their logs. */
  readonly droppedLines: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Events that report an unserved statement, with their statement class; null
 * takes the class from the record.
 */
const LOSS_EVENTS: ReadonlyMap<string, string | null> = new Map([
  ['statementRefused', null],
  ['outcomeUnknown', 'outcome unknown'],
  ['transactionLost', 'transaction lost'],
]);

/** Creates the report; the records may be in any order. @public */
export function createLossReport(records: readonly LogRecord[]): LossReport {
  const ordered = [...records].sort(
    (left, right) => left.timeMs - right.timeMs,
  );
  const startMs = ordered[0]?.timeMs ?? 0;
  const causes = LossCauseFinder.create(ordered);
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
  causes: LossCauseFinder,
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

/** Maximum number of reasons in the text format. */
const MAX_REASON_ROWS = 15;

/** Formats the report as text. @public */
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

/** Sums counts by title, in the order of the losses. @internal */
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
