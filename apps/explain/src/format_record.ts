import type {LogRecord} from '@filbertrun/observability/log_record.js';

/** Formats log records as text, one per line. */

/** Length at which a value is cut; `--json` prints all of it. */
const MAX_VALUE_LENGTH = 300;

/** Orders records by time. @public */
export function byTime(left: LogRecord, right: LogRecord): number {
  return left.timeMs - right.timeMs;
}

/** Formats a time as the difference from a start. @public */
export function formatOffset(timeMs: number, startMs: number): string {
  const offsetMs = timeMs - startMs;
  const sign = offsetMs < 0 ? '-' : '+';
  return `${sign}${Math.abs(offsetMs)} ms`.padStart(10);
}

/** Formats a record with all its fields but the request id. @public */
export function formatRecord(record: LogRecord, startMs: number): string {
  const offset = formatOffset(record.timeMs, startMs);
  const fields = Object.entries(record.fields)
    .filter(([name]) => name !== 'requestId')
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return `${offset}  ${record.entryVm}  ${record.event}  ${fields.join(' ')}`;
}

function formatValue(value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return text.length > MAX_VALUE_LENGTH
    ? `${text.slice(0, MAX_VALUE_LENGTH)}...`
    : text;
}
