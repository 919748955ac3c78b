import {ServiceLevelRecorder} from '@filbertrun/observability/service_level_recorder.js';
import {describe, expect, it} from 'vitest';
import {createBurnReport} from './burn_report.js';
import {formatHtmlReport} from './html_report.js';
import type {Objectives} from './objectives.js';
import {formatTextReport} from './text_report.js';

const START_MS = Date.UTC(2026, 0, 5, 8, 0, 0);
const MINUTE_MS = 60_000;

const OBJECTIVES: Objectives = {
  applications: {
    '*': {
      availabilityShare: 0.99,
      latencyShare: 0.9,
      latencyBoundMs: 10,
      replicaReadShare: 0.95,
    },
  },
  failoverGapMs: 1000,
  failoverGapShare: 0.99,
};

/**
 * Records an hour of statements, ten a minute. One in ten is slow; in the
 * second half hour that one also fails.
 */
function createFailingProxy(entryVm: string) {
  let nowMs = START_MS;
  const recorder = ServiceLevelRecorder.create(entryVm, () => nowMs);
  for (let minute = 0; minute < 60; minute += 1) {
    for (let index = 0; index < 10; index += 1) {
      recorder.recordStatement({
        application: 'timetable',
        durationMs: index === 0 ? 30 : 2,
        isAnswered: !(minute >= 30 && index === 0),
        readTarget: index === 1 ? 'primary' : 'replica',
      });
    }
    nowMs += MINUTE_MS;
  }
  return recorder;
}

function createReport() {
  const first = createFailingProxy('entry-1');
  const second = createFailingProxy('entry-2');
  const gap = {databaseGroup: 'outings-db-1', isPlanned: false};
  first.recordWriteGap({...gap, startMs: START_MS + 1000, durationMs: 640});
  second.recordWriteGap({...gap, startMs: START_MS + 1010, durationMs: 700});
  return createBurnReport({
    snapshots: [first.getSnapshot(), second.getSnapshot()],
    missingSources: ['http://127.0.0.1:1'],
    objectives: OBJECTIVES,
    nowMs: START_MS + 60 * MINUTE_MS,
  });
}

describe('createBurnReport', () => {
  it('sums the statements of all proxies', () => {
    const availability = createReport().objectives[0];
    const hour = availability?.windows.find(each => each.window === '1h');
    expect(hour).toMatchObject({badEvents: 60, allEvents: 1200});
    expect(hour?.burnRate).toBeCloseTo(5);
  });

  it('gives the short window a higher burn rate after recent failures', () => {
    const availability = createReport().objectives[0];
    const short = availability?.windows.find(each => each.window === '5m');
    expect(short?.burnRate).toBeCloseTo(10);
  });

  it('counts statements slower than the bound as bad for latency', () => {
    const latency = createReport().objectives.find(
      burn => burn.indicator === 'latency',
    );
    const hour = latency?.windows.find(each => each.window === '1h');
    expect(hour).toMatchObject({badEvents: 120, allEvents: 1200});
  });

  it('counts reads on the primary as bad for the replica share', () => {
    const share = createReport().objectives.find(
      burn => burn.indicator === 'replicaShare',
    );
    const hour = share?.windows.find(each => each.window === '1h');
    expect(hour).toMatchObject({badEvents: 120, allEvents: 1200});
  });

  it('merges a write gap that two proxies recorded and keeps the longest', () => {
    expect(createReport().writeGaps).toEqual([
      {
        databaseGroup: 'outings-db-1',
        isPlanned: false,
        startMs: START_MS + 1010,
        durationMs: 700,
      },
    ]);
  });

  it('creates a report without any statements', () => {
    const report = createBurnReport({
      snapshots: [],
      missingSources: [],
      objectives: OBJECTIVES,
      nowMs: START_MS,
    });
    expect(report.alert).toBe('none');
    expect(report.historyMs).toBe(0);
    expect(formatTextReport(report)).toContain('Write gaps: none');
  });
});

describe('formats of the report', () => {
  it('matches the golden text', async () => {
    await expect(formatTextReport(createReport())).toMatchFileSnapshot(
      './golden/text_report.golden.txt',
    );
  });

  it('is one HTML page without external resources', () => {
    const html = formatHtmlReport(createReport());
    expect(html).toContain('<svg');
    expect(html).not.toMatch(/<script|<link|src=/);
  });

  it('escapes application names in HTML', () => {
    const recorder = ServiceLevelRecorder.create('entry-1', () => START_MS);
    recorder.recordStatement({
      application: '<b>',
      durationMs: 1,
      isAnswered: true,
      readTarget: null,
    });
    const html = formatHtmlReport(
      createBurnReport({
        snapshots: [recorder.getSnapshot()],
        missingSources: [],
        objectives: OBJECTIVES,
        nowMs: START_MS + 1000,
      }),
    );
    expect(html).not.toContain('<b>');
  });
});
