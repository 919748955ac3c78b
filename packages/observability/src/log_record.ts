import * as z from 'zod';

/** One record of a proxy's log. */

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
  /** The event's own fields, without those that every record has. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that the logger adds to each record. */
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

/** Reads a line; what stands before the record is passed over. Null for other lines. @public */
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
