import type {LogRecord} from '@filbertrun/observability/log_record.js';
import {byTime, formatRecord} from './format_record.js';

/** How long before the first record of a request others are included. */
const CONTEXT_BEFORE_MS = 10_000;

/** How long after the last record of a request others are included. */
const CONTEXT_AFTER_MS = 1_000;

/** Events that concern the whole proxy, not one database group. */
const PROCESS_EVENTS: ReadonlySet<string> = new Set([
  'started',
  'stopping',
  'stopped',
  'readinessChanged',
  'clockDisagreement',
  'loopDelayed',
  'dependencyLost',
  'dependencyRegained',
  'dutyGained',
  'dutyLost',
  'zoneReaderChosen',
]);

/** Fields by which a state change is related to a request. */
const RELATING_FIELDS = [
  'databaseGroup',
  'backendServer',
  'primary',
  'target',
  'holder',
] as const;

/** Event history of a request, which `--json` prints. @public */
export interface RequestHistory {
  /** Records that carry the id of the request, in order of time. */
  readonly own: readonly LogRecord[];
  /**
   * State changes that were logged around that time: about the database groups
   * and backend servers of the request, and about the proxies that handled it
   * and their zone readers.
   */
  readonly beliefs: readonly LogRecord[];
}

/**
 * Collects the event history of a request from the logs of all proxies. Returns
 * null if no record carries the id of the request.
 *
 * @public
 */
export function explainRequest(
  records: readonly LogRecord[],
  requestId: string,
): RequestHistory | null {
  const own = records
    .filter(({fields}) => fields['requestId'] === requestId)
    .sort(byTime);
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) {
    return null;
  }
  const names = collectNames(own);
  const readerChoices = findReaderChoices(records, own);
  const entryVms = new Set(own.map(({entryVm}) => entryVm));
  for (const {fields} of readerChoices) {
    entryVms.add(String(fields['reader']));
  }
  for (const {fields} of own) {
    if (typeof fields['holder'] === 'string') {
      entryVms.add(fields['holder']);
    }
  }
  // A zone reader is often chosen long before the request, so its choice counts
  // at any age.
  const stateChanges: LogRecord[] = [...readerChoices];
  for (const record of records) {
    const isNear =
      record.timeMs >= first.timeMs - CONTEXT_BEFORE_MS &&
      record.timeMs <= last.timeMs + CONTEXT_AFTER_MS;
    const isIncluded = readerChoices.includes(record);
    if (
      isNear &&
      !isIncluded &&
      isRelatedStateChange(record, names, entryVms)
    ) {
      stateChanges.push(record);
    }
  }
  return {own, beliefs: stateChanges.sort(byTime)};
}

/** Formats an event history as text, one record per line. @public */
export function formatRequestHistory(
  requestId: string,
  history: RequestHistory,
): string {
  const startMs = history.own[0]?.timeMs ?? 0;
  const lines = [`request ${requestId}`, '', 'what was decided:'];
  for (const record of history.own) {
    lines.push(formatRecord(record, startMs));
  }
  lines.push('', 'what the proxies believed:');
  for (const record of history.beliefs) {
    lines.push(formatRecord(record, startMs));
  }
  return `${lines.join('\n')}\n`;
}

/**
 * Returns the latest choice of a zone reader by each proxy that handled the
 * request, up to its last record of the request.
 */
function findReaderChoices(
  records: readonly LogRecord[],
  requestRecords: readonly LogRecord[],
): readonly LogRecord[] {
  const latest = new Map<string, LogRecord>();
  for (const record of records) {
    const lastRecord = requestRecords.findLast(
      ({entryVm}) => entryVm === record.entryVm,
    );
    const isBefore =
      lastRecord !== undefined && record.timeMs <= lastRecord.timeMs;
    const known = latest.get(record.entryVm);
    const isNewer = known === undefined || known.timeMs <= record.timeMs;
    if (record.event === 'zoneReaderChosen' && isBefore && isNewer) {
      latest.set(record.entryVm, record);
    }
  }
  return [...latest.values()];
}

/** Returns the database groups, backend servers and holders that the records name. */
function collectNames(
  requestRecords: readonly LogRecord[],
): ReadonlySet<string> {
  const names = new Set<string>();
  for (const {fields} of requestRecords) {
    for (const name of ['databaseGroup', 'backendServer', 'holder']) {
      const value = fields[name];
      if (typeof value === 'string') {
        names.add(value);
      }
    }
  }
  return names;
}

function isRelatedStateChange(
  record: LogRecord,
  names: ReadonlySet<string>,
  entryVms: ReadonlySet<string>,
): boolean {
  const {fields, event, entryVm} = record;
  if (fields['requestId'] !== undefined) {
    return false;
  }
  if (PROCESS_EVENTS.has(event)) {
    return entryVms.has(entryVm);
  }
  return RELATING_FIELDS.some(name => {
    const value = fields[name];
    return typeof value === 'string' && names.has(value);
  });
}
