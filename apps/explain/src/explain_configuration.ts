import type {LogRecord} from '@filbertrun/observability/log_record.js';
import * as z from 'zod';
import {byTime, formatOffset, formatRecord} from './format_record.js';
import {formatTable} from './format_table.js';

/** How long before the version was first known other records are included. */
const CONTEXT_BEFORE_MS = 15_000;

/** Events that tell how a proxy got a version or why it did not. */
const STEP_EVENTS: ReadonlySet<string> = new Set([
  'started',
  'stopping',
  'configurationTaken',
  'configurationRejected',
  'tableReadFailed',
  'zoneReaderChosen',
  'zoneUpdateFailed',
  'dependencyLost',
  'dependencyRegained',
  'clockDisagreement',
  'loopDelayed',
  'taskFailed',
  'logLinesDropped',
]);

/** Names under which tables and dependencies concern the configuration. */
const CONFIGURATION_SUBJECTS: ReadonlySet<unknown> = new Set([
  'configuration',
  'table configuration',
  undefined,
]);

const takenSchema = z.object({
  version: z.number(),
  previousVersion: z.number(),
  source: z.string(),
  responseBytes: z.number().nullable().default(null),
  durationMs: z.number().nullable().default(null),
});

/** When and from whom a proxy got a version. @public */
export interface VersionArrival {
  readonly entryVm: string;
  /** Null if the log shows neither this version nor a newer one. */
  readonly taken: (z.infer<typeof takenSchema> & {timeMs: number}) | null;
  /** What it did to get the version, in order of time. */
  readonly steps: readonly LogRecord[];
}

/** How one version of the configuration reached the proxies. @public */
export interface ConfigurationHistory {
  readonly version: number;
  /** When the first proxy knew the version or a newer one. */
  readonly firstKnownMs: number;
  /** One entry for each proxy, the latest arrival last. */
  readonly arrivals: readonly VersionArrival[];
}

/**
 * Collects from the logs of all proxies how a version reached each of them; a
 * newer version counts as well. Returns null if no proxy knew it.
 *
 * @public
 */
export function explainConfiguration(
  records: readonly LogRecord[],
  version: number,
): ConfigurationHistory | null {
  const byProxy = new Map<string, LogRecord[]>();
  for (const record of [...records].sort(byTime)) {
    const known = byProxy.get(record.entryVm) ?? [];
    known.push(record);
    byProxy.set(record.entryVm, known);
  }
  const found = [...byProxy].map(([entryVm, own]) => ({
    entryVm,
    own,
    taken: findTaken(own, version),
  }));
  const firstKnownMs = Math.min(
    ...found.map(({taken}) => taken?.timeMs ?? Infinity),
  );
  if (firstKnownMs === Infinity) {
    return null;
  }
  const fromMs = firstKnownMs - CONTEXT_BEFORE_MS;
  const arrivals = found
    .map(({entryVm, own, taken}) => ({
      entryVm,
      taken,
      steps: own.filter(
        record =>
          record.timeMs >= fromMs &&
          record.timeMs <= (taken?.timeMs ?? Infinity) &&
          isStep(record),
      ),
    }))
    .sort(
      (left, right) =>
        (left.taken?.timeMs ?? Infinity) - (right.taken?.timeMs ?? Infinity),
    );
  return {version, firstKnownMs, arrivals};
}

/** Formats the history as a table, then the steps of each proxy. @public */
export function formatConfigurationHistory(
  history: ConfigurationHistory,
): string {
  const {version, firstKnownMs, arrivals} = history;
  const rows = arrivals.map(({entryVm, taken, steps}) => {
    const failureCount = steps.filter(({event}) =>
      FAILED_EVENTS.has(event),
    ).length;
    return taken === null
      ? [entryVm, 'never', '', '', '', '', String(failureCount)]
      : [
          entryVm,
          formatOffset(taken.timeMs, firstKnownMs).trim(),
          `${taken.version} (from ${taken.previousVersion})`,
          taken.source,
          taken.responseBytes === null ? '' : `${taken.responseBytes} B`,
          taken.durationMs === null ? '' : `${Math.round(taken.durationMs)} ms`,
          String(failureCount),
        ];
  });
  const header = [
    'proxy',
    'known',
    'version',
    'source',
    'bytes',
    'in flight',
    'failed reads',
  ];
  const lines = [
    `version ${version} of the configuration`,
    '',
    ...formatTable([header, ...rows]),
  ];
  for (const {steps} of arrivals) {
    lines.push('');
    for (const record of steps) {
      lines.push(formatRecord(record, firstKnownMs));
    }
  }
  return `${lines.join('\n')}\n`;
}

const FAILED_EVENTS: ReadonlySet<string> = new Set([
  'tableReadFailed',
  'zoneUpdateFailed',
]);

function findTaken(
  records: readonly LogRecord[],
  version: number,
): VersionArrival['taken'] {
  for (const {event, fields, timeMs} of records) {
    const parsed = takenSchema.safeParse(fields);
    const isNewEnough = parsed.success && parsed.data.version >= version;
    if (event === 'configurationTaken' && isNewEnough) {
      return {...parsed.data, timeMs};
    }
  }
  return null;
}

function isStep({event, fields}: LogRecord): boolean {
  return (
    STEP_EVENTS.has(event) &&
    CONFIGURATION_SUBJECTS.has(fields['table']) &&
    CONFIGURATION_SUBJECTS.has(fields['dependency'])
  );
}
