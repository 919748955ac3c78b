import {describe, expect, it} from 'vitest';
import {explainRequest, formatStory} from './explain_request.js';
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
  it('tells the decisions and the beliefs about what the request touched', () => {
    const story = explainRequest(RECORDS, 'r1');
    expect(story?.own.map(({event}) => event)).toEqual(['statementRefused']);
    expect(story?.beliefs.map(({event}) => event)).toEqual(['changeIntended']);
  });

  it('follows a belief through the reader of the zone, however long ago it was chosen', () => {
    const records = [
      ...RECORDS,
      record(10, 'entry-1', 'zoneReaderChosen', {reader: 'entry-3'}),
      record(20, 'entry-1', 'zoneReaderChosen', {reader: 'entry-2'}),
      record(30, 'entry-2', 'zoneReaderChosen', {reader: 'entry-2'}),
    ];
    const story = explainRequest(records, 'r1');
    expect(
      story?.beliefs.map(({event, entryVm}) => `${entryVm} ${event}`),
    ).toEqual([
      'entry-1 zoneReaderChosen',
      'entry-2 changeIntended',
      'entry-2 dependencyLost',
    ]);
    expect(story?.beliefs[0]?.fields['reader']).toBe('entry-2');
  });

  it('gives null for a request that no record names', () => {
    expect(explainRequest(RECORDS, 'r2')).toBeNull();
  });

  it('writes times against the first record', () => {
    const story = explainRequest(RECORDS, 'r1');
    const text = story === null ? '' : formatStory('r1', story);
    expect(text).toContain('-5000 ms  entry-2  changeIntended');
    expect(text).toContain('reason=unavailable: no primary');
  });
});

describe('parseLogLine', () => {
  it('reads a record behind a prefix', () => {
    const line =
      '  27.4471 entry-1 {"time":"2026-02-05T03:42:01.419Z","entryVm":"entry-1","event":"started","v":0,"incarnation":"x"}';
    expect(parseLogLine(line)).toMatchObject({
      entryVm: 'entry-1',
      event: 'started',
      fields: {incarnation: 'x'},
    });
  });

  it.each(['', 'no record', '{', '{"event":1}'])('passes over %j', line => {
    expect(parseLogLine(line)).toBeNull();
  });
});
