import type {LogRecord} from '@filbertrun/observability/log_record.js';
import {describe, expect, it} from 'vitest';
import {
  explainConfiguration,
  formatConfigurationHistory,
} from './explain_configuration.js';

function record(
  timeMs: number,
  entryVm: string,
  event: string,
  fields: Record<string, unknown> = {},
): LogRecord {
  return {timeMs, entryVm, event, fields};
}

const TAKEN = {version: 7, previousVersion: 6, source: 'store'};

const RECORDS = [
  record(9_000, 'entry-2', 'tableReadFailed', {
    table: 'configuration',
    reason: 'unavailable: no response within 3950 ms, 900 bytes of it received',
  }),
  record(9_500, 'entry-2', 'tableReadFailed', {table: 'backend servers'}),
  record(10_000, 'entry-1', 'configurationTaken', {
    ...TAKEN,
    responseBytes: 700,
    durationMs: 30,
  }),
  record(10_400, 'entry-2', 'zoneUpdateFailed', {reader: 'entry-1'}),
  record(14_000, 'entry-2', 'configurationTaken', {...TAKEN, version: 9}),
  record(15_000, 'entry-2', 'zoneUpdateFailed', {reader: 'entry-1'}),
  record(9_000, 'entry-3', 'started'),
];

describe('explainConfiguration', () => {
  it('tells when each proxy had the version or a newer one', () => {
    const history = explainConfiguration(RECORDS, 7);
    expect(
      history?.arrivals.map(({entryVm, taken}) => [
        entryVm,
        taken?.timeMs ?? null,
      ]),
    ).toEqual([
      ['entry-1', 10_000],
      ['entry-2', 14_000],
      ['entry-3', null],
    ]);
  });

  it('lists what a proxy tried until it had the version', () => {
    const steps = explainConfiguration(RECORDS, 7)?.arrivals[1]?.steps ?? [];
    expect(steps.map(({event, timeMs}) => [timeMs, event])).toEqual([
      [9_000, 'tableReadFailed'],
      [10_400, 'zoneUpdateFailed'],
      [14_000, 'configurationTaken'],
    ]);
  });

  it('is null if no proxy knew the version', () => {
    expect(explainConfiguration(RECORDS, 10)).toBeNull();
  });

  it('prints one row for each proxy', () => {
    const history = explainConfiguration(RECORDS, 7);
    const text = history === null ? '' : formatConfigurationHistory(history);
    expect(text).toContain('entry-1  +0 ms     7 (from 6)  store   700 B');
    expect(text).toContain('entry-2  +4000 ms  9 (from 6)  store');
    expect(text).toContain('entry-3  never');
  });
});
