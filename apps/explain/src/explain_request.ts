import type {LogRecord} from '@filbertrun/observability/log_record.js';

/** Time before a request from which beliefs are told. */
const CONTEXT_BEFORE_MS = 10_000;

/** Time after its last record. */
const CONTEXT_AFTER_MS = 1_000;

/** Events that concern the whole proxy, whatever the database group. */
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

/** The story of a request. @public */
export interface RequestStory {
  /** What the proxies recorded of the request itself, in order of time. */
  readonly own: readonly LogRecord[];
  /** What they believed meanwhile of what the request touched. */
  readonly beliefs: readonly LogRecord[];
}

/**
 * Collects what the logs say of a request: its own records, and the beliefs
 * about its database group and backend servers on all proxies around that
 * time. Null when no record names the request.
 *
 * @public
 */
export function explainRequest(
  records: readonly LogRecord[],
  requestId: string,
): RequestStory | null {
  const own = records
    .filter(({fields}) => fields['requestId'] === requestId)
    .sort(byTime);
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) {
    return null;
  }
  const names = collectNames(own);
  const choices = findReaderChoices(records, own);
  const entryVms = new Set(own.map(({entryVm}) => entryVm));
  for (const {fields} of choices) {
    entryVms.add(String(fields['reader']));
  }
  // Who reads for a proxy was often decided long before the request.
  const beliefs: LogRecord[] = [...choices];
  for (const record of records) {
    const isNear =
      record.timeMs >= first.timeMs - CONTEXT_BEFORE_MS &&
      record.timeMs <= last.timeMs + CONTEXT_AFTER_MS;
    const isTold = choices.includes(record);
    if (isNear && !isTold && isBelief(record, names, entryVms)) {
      beliefs.push(record);
    }
  }
  return {own, beliefs: beliefs.sort(byTime)};
}

/** Writes a story as text, one record a line. @public */
export function formatStory(requestId: string, story: RequestStory): string {
  const startMs = story.own[0]?.timeMs ?? 0;
  const lines = [`request ${requestId}`, '', 'what was decided:'];
  for (const record of story.own) {
    lines.push(formatRecord(record, startMs));
  }
  lines.push('', 'what the proxies believed:');
  for (const record of story.beliefs) {
    lines.push(formatRecord(record, startMs));
  }
  return `${lines.join('\n')}\n`;
}

function byTime(left: LogRecord, right: LogRecord): number {
  return left.timeMs - right.timeMs;
}

/** The latest choice of a reader by each proxy that handled the request. */
function findReaderChoices(
  records: readonly LogRecord[],
  own: readonly LogRecord[],
): readonly LogRecord[] {
  const latest = new Map<string, LogRecord>();
  for (const record of records) {
    const lastOwn = own.findLast(({entryVm}) => entryVm === record.entryVm);
    const isBefore = lastOwn !== undefined && record.timeMs <= lastOwn.timeMs;
    const known = latest.get(record.entryVm);
    const isNewer = known === undefined || known.timeMs <= record.timeMs;
    if (record.event === 'zoneReaderChosen' && isBefore && isNewer) {
      latest.set(record.entryVm, record);
    }
  }
  return [...latest.values()];
}

/** The database groups and backend servers that a request touched. */
function collectNames(own: readonly LogRecord[]): ReadonlySet<string> {
  const names = new Set<string>();
  for (const {fields} of own) {
    for (const name of ['databaseGroup', 'backendServer']) {
      const value = fields[name];
      if (typeof value === 'string') {
        names.add(value);
      }
    }
  }
  return names;
}

function isBelief(
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
  return ['databaseGroup', 'backendServer', 'primary', 'target'].some(name => {
    const value = fields[name];
    return typeof value === 'string' && names.has(value);
  });
}

function formatRecord(record: LogRecord, startMs: number): string {
  const offsetMs = record.timeMs - startMs;
  const sign = offsetMs < 0 ? '-' : '+';
  const offset = `${sign}${Math.abs(offsetMs)} ms`.padStart(10);
  const fields = Object.entries(record.fields)
    .filter(([name]) => name !== 'requestId')
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return `${offset}  ${record.entryVm}  ${record.event}  ${fields.join(' ')}`;
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
