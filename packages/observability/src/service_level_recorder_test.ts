import {describe, expect, it} from 'vitest';
import {ServiceLevelRecorder} from './service_level_recorder.js';
import {serviceLevelSnapshotSchema} from './service_level_snapshot.js';

const READ = {
  application: 'timetable',
  durationMs: 3,
  isAnswered: true,
  readTarget: 'replica',
} as const;

function createRecorder(startMs = 1_000_000_000) {
  let nowMs = startMs;
  const recorder = ServiceLevelRecorder.create('entry-1', () => nowMs);
  return {
    recorder,
    advance: (durationMs: number) => {
      nowMs += durationMs;
    },
  };
}

describe('ServiceLevelRecorder', () => {
  it('counts a statement once per resolution', () => {
    const {recorder} = createRecorder();
    recorder.recordStatement(READ);
    const [series] = recorder.getSnapshot().series;
    const counts = series?.resolutions.map(each => each.buckets[0]?.statements);
    expect(counts).toEqual([1, 1, 1]);
  });

  it('counts a latency in the first bucket whose bound it does not exceed', () => {
    const {recorder} = createRecorder();
    recorder.recordStatement({...READ, durationMs: 5});
    recorder.recordStatement({...READ, durationMs: 60_000});
    const bucket = recorder.getSnapshot().series[0]?.resolutions[0]?.buckets[0];
    expect(bucket?.latencyCounts[2]).toBe(1);
    expect(bucket?.latencyCounts.at(-1)).toBe(1);
  });

  it('drops buckets that are older than the time span of a resolution', () => {
    const {recorder, advance} = createRecorder();
    recorder.recordStatement(READ);
    advance(2 * 3_600_000);
    recorder.recordStatement(READ);
    const resolutions = recorder.getSnapshot().series[0]?.resolutions;
    expect(resolutions?.map(each => each.buckets.length)).toEqual([1, 2, 2]);
  });

  it('counts applications beyond the limit under one name', () => {
    const {recorder} = createRecorder();
    for (let index = 0; index < 200; index += 1) {
      recorder.recordStatement({...READ, application: `application-${index}`});
    }
    const {series} = recorder.getSnapshot();
    expect(series.length).toBe(65);
    expect(series.at(-1)?.application).toBe('(other)');
  });

  it('keeps only the newest 500 write gaps', () => {
    const {recorder} = createRecorder();
    for (let index = 0; index < 1000; index += 1) {
      recorder.recordWriteGap({
        databaseGroup: 'outings-db-1',
        startMs: index,
        durationMs: 5,
        isPlanned: false,
      });
    }
    const {writeGaps} = recorder.getSnapshot();
    expect(writeGaps.length).toBe(500);
    expect(writeGaps.at(-1)?.startMs).toBe(999);
  });

  it('returns a snapshot that matches its schema', () => {
    const {recorder} = createRecorder();
    recorder.recordStatement(READ);
    const text = JSON.stringify(recorder.getSnapshot());
    expect(serviceLevelSnapshotSchema.safeParse(JSON.parse(text)).success).toBe(
      true,
    );
  });
});
