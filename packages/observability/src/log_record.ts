import * as z from 'zod';

/** Parses the JSON records of a proxy's log. */

const recordSchema = z.looseObject({
  time: z.iso.datetime(),
  entryVm: z.string(),
  event: z.string(),
});

/** A log record with the fields of its event. @public */
export interface LogRecord {
  readonly timeMs: number;
  readonly entryVm: string;
  readonly event: string;
  /** Fields of the event, without those common to all records. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields common to all records. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'time',
  'entryVm',
  'event',
  'name',
  'hostname',
  'pid',
  'level',
  'msg',
  'v',
]);

/**
 * Parses a line, ignoring any prefix before the JSON object. Returns null if
 * the line holds no log record.
 *
 * @public
 */
export function parseLogLine(line: string): LogRecord | null {
  const start = line.indexOf('{');
  if (start < 0) {
    return null;
  }
  let value: unknown;
  try {
    value = JSON.parse(line.slice(start));
  } catch {
    return null;
  }
  const parsed = recordSchema.safeParse(value);
  if (!parsed.success) {
    return null;
  }
  const fields: Record<string, unknown> = {};
  for (const [name, field] of Object.entries(parsed.data)) {
    if (!COMMON_FIELDS.has(name)) {
      fields[name] = field;
    }
  }
  const {time, entryVm, event} = parsed.data;
  return {timeMs: Date.parse(time), entryVm, event, fields};
}
