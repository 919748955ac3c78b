import {describe, expect, it} from 'vitest';
import {explainRequest, formatRequestHistory} from './explain_request.js';
import {
  parseLogLine,
  type LogRecord,
} from '@filbertrun/observability/log_record.js';

function record(
  second: number,
  entryVm: string,
  event: string,
  fields: Record<string, unknown>,
): LogRecord {
  return {timeMs: second * 1_000, entryVm, event, fields};
}

const RECORDS: readonly LogRecord[] = [
  record(95, 'entry-2', 'changeIntended', {
    databaseGroup: 'g1',
    primary: 'i-1',
  }),
  record(96, 'entry-1', 'backendUnreachable', {backendServer: 'i-9'}),
  record(100, 'entry-1', 'statementRefused', {
    requestId: 'r1',
    databaseGroup: 'g1',
    reason: 'unavailable: no primary',
  }),
  record(100, 'entry-2', 'dependencyLost', {dependency: 'store'}),
  record(50, 'entry-1', 'primaryBelieved', {databaseGroup: 'g1'}),
];

describe('explainRequest', () => {
  it('returns the records of the request and the state changes of its database group', () => {
    const history = explainRequest(RECORDS, 'r1');
    expect(history?.own.map(({event}) => event)).toEqual(['statementRefused']);
    expect(history?.beliefs.map(({event}) => event)).toEqual([
      'changeIntended',
    ]);
  });

  it('includes the choice of the zone reader at any age and the state changes of that reader', () => {
    const records = [
      ...RECORDS,
      record(10, 'entry-1', 'zoneReaderChosen', {reader: 'entry-3'}),
      record(20, 'entry-1', 'zoneReaderChosen', {reader: 'entry-2'}),
      record(30, 'entry-2', 'zoneReaderChosen', {reader: 'entry-2'}),
    ];
    const history = explainRequest(records, 'r1');
    expect(
      history?.beliefs.map(({event, entryVm}) => `${entryVm} ${event}`),
    ).toEqual([
      'entry-1 zoneReaderChosen',
      'entry-2 changeIntended',
      'entry-2 dependencyLost',
    ]);
    expect(history?.beliefs[0]?.fields['reader']).toBe('entry-2');
  });

  // Guards against a forwarded statement whose holder stays out of the account.
  it('follows a forwarded statement to its holder', () => {
    const records = [
      record(10, 'entry-1', 'statementForwarded', {
        requestId: 'r3',
        databaseGroup: 'g3',
        holder: 'entry-2',
      }),
      record(10.1, 'entry-2', 'statementRouted', {
        requestId: 'r3',
        backendServer: 'i-3',
      }),
      record(9, 'entry-2', 'loopDelayed', {delayMs: 300}),
      record(9, 'entry-3', 'holderUnreachable', {holder: 'entry-2'}),
      record(9, 'entry-3', 'holderUnreachable', {holder: 'entry-4'}),
    ];
    const history = explainRequest(records, 'r3');
    expect(history?.own.map(({entryVm}) => entryVm)).toEqual([
      'entry-1',
      'entry-2',
    ]);
    expect(
      history?.beliefs.map(({event, fields}) => [event, fields['holder']]),
    ).toEqual([
      ['loopDelayed', undefined],
      ['holderUnreachable', 'entry-2'],
    ]);
  });

  it('returns null for a request without records', () => {
    expect(explainRequest(RECORDS, 'r2')).toBeNull();
  });

  it('formats times relative to the first record of the request', () => {
    const history = explainRequest(RECORDS, 'r1');
    const text = history === null ? '' : formatRequestHistory('r1', history);
    expect(text).toContain('-5000 ms  entry-2  changeIntended');
    expect(text).toContain('reason=unavailable: no primary');
  });
});

describe('parseLogLine', () => {
  it('parses a record after a prefix', () => {
    const line =
      '  27.4471 entry-1 {"time":"2026-02-05T03:42:01.419Z","entryVm":"entry-1","event":"started","v":0,"incarnation":"x"}';
    expect(parseLogLine(line)).toMatchObject({
      entryVm: 'entry-1',
      event: 'started',
      fields: {incarnation: 'x'},
    });
  });

  it.each(['', 'no record', '{', '{"event":1}'])(
    'returns null for %j',
    line => {
      expect(parseLogLine(line)).toBeNull();
    },
  );
});
