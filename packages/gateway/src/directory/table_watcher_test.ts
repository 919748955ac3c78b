import {SeededRandom} from '@filbertrun/base/random_source.js';
import {sleep} from '@filbertrun/base/sleep.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {PlatformError} from '@filbertrun/platform/platform_service.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {advanceClock} from '../testing/settle.js';
import {TableWatcher} from './table_watcher.js';
import type {
  TableChanges,
  WatchableTable,
  WatchError,
} from './watchable_table.js';

/** A fake table that returns the results queued by the test. */
class ScriptedTable implements WatchableTable<string> {
  listings: Result<TableChanges<string>, PlatformError>[] = [];
  watches: Result<TableChanges<string>, WatchError>[] = [];
  readonly watchedAfter: number[] = [];
  listCount = 0;

  list(): Promise<Result<TableChanges<string>, PlatformError>> {
    this.listCount++;
    const next = this.listings.shift();
    return next === undefined ? new Promise(() => {}) : Promise.resolve(next);
  }

  watch(
    afterRevision: number,
  ): Promise<Result<TableChanges<string>, WatchError>> {
    this.watchedAfter.push(afterRevision);
    const next = this.watches.shift();
    return next === undefined ? new Promise(() => {}) : Promise.resolve(next);
  }
}

function changes(revision: number, ...keys: string[]): TableChanges<string> {
  return {
    revision,
    changes: keys.map(key => ({kind: 'put', key, revision, value: key})),
  };
}

/** Minimum time between two calls of the watcher. */
const CALL_INTERVAL_MS = 250;

/** Delay between a listing and the first watch. */
const FIRST_WATCH_MS = 800;

describe('TableWatcher', () => {
  let clock: VirtualClock;
  let table: ScriptedTable;
  let seen: string[];
  let watcher: TableWatcher<string>;
  let events: InMemoryEventRecorder;
  let handleListing: () => void;

  function createWatcher(needsEachChange: boolean): TableWatcher<string> {
    return TableWatcher.create({
      name: 'test',
      getWaitMs: () => 1_000,
      minIntervalMs: CALL_INTERVAL_MS,
      needsEachChange,
      table,
      clock,
      clockJumpDetector: ClockJumpDetector.create(
        clock,
        FakeWallClock.create(clock),
      ),
      random: SeededRandom.create(1),
      events,
      listener: {
        handleListing: listing => {
          seen.push(`list ${listing.revision}`);
          handleListing();
        },
        handleChanges: ({revision}) => seen.push(`changes ${revision}`),
      },
    });
  }

  beforeEach(() => {
    clock = VirtualClock.create();
    table = new ScriptedTable();
    seen = [];
    handleListing = () => {};
    events = InMemoryEventRecorder.create();
    watcher = createWatcher(true);
  });

  /** Starts the watcher and its first watch; returns how to answer that. */
  async function startHeldWatch() {
    table.listings = [success(changes(5, 'a'))];
    let resolveWatch: (
      value: (typeof table.watches)[number],
    ) => void = () => {};
    const watch = table.watch.bind(table);
    table.watch = afterRevision => {
      void watch(afterRevision);
      return new Promise(resolve => {
        resolveWatch = resolve;
      });
    };
    watcher.start();
    await advanceClock(clock, FIRST_WATCH_MS);
    return resolveWatch;
  }

  it('lists the table once, then watches from the newest revision', async () => {
    table.listings = [success(changes(5, 'a'))];
    table.watches = [success(changes(7, 'b')), success(changes(9))];
    watcher.start();
    await advanceClock(clock, FIRST_WATCH_MS + 2 * CALL_INTERVAL_MS);
    expect(seen).toEqual(['list 5', 'changes 7']);
    expect(table.watchedAfter).toEqual([5, 7, 9]);
  });

  it('lists the table again when the change history is lost', async () => {
    table.listings = [success(changes(5)), success(changes(8, 'c'))];
    table.watches = [failure({kind: 'historyLost'})];
    watcher.start();
    await advanceClock(clock, FIRST_WATCH_MS + CALL_INTERVAL_MS);
    expect(seen).toEqual(['list 5', 'list 8']);
  });

  it('ignores a listing that is older than the known revision', async () => {
    table.listings = [
      success(changes(5)),
      success(changes(4, 'old')),
      success(changes(6, 'new')),
    ];
    table.watches = [failure({kind: 'historyLost'})];
    watcher.start();
    await advanceClock(clock, 3_000);
    expect(seen).toEqual(['list 5', 'list 6']);
  });

  it('retries with growing delays and reports the lost dependency once', async () => {
    const error: PlatformError = {kind: 'unavailable', reason: 'test'};
    table.listings = [failure(error), failure(error), failure(error)];
    watcher.start();
    await advanceClock(clock, 3_000);
    const losses = events.events.filter(({kind}) => kind === 'dependencyLost');
    expect(losses).toHaveLength(1);
    expect(table.listCount).toBe(4);
  });

  it('discards an older response to a call from before a pause and resumes from the revision of the newest update', async () => {
    let resolveWatch: (
      result: Result<TableChanges<string>, WatchError>,
    ) => void = () => {};
    table.listings.push(success(changes(5, 'a')));
    table.watch = afterRevision => {
      table.watchedAfter.push(afterRevision);
      return new Promise(resolve => {
        resolveWatch = resolve;
      });
    };
    watcher.start();
    await advanceClock(clock, FIRST_WATCH_MS);
    seen.length = 0;
    const resolveStale = resolveWatch;
    watcher.pause();
    watcher.applyUpdate(changes(8, 'b'), false);
    resolveStale(success(changes(7, 'old')));
    await advanceClock(clock, 10);
    expect(seen).toEqual(['changes 8']);
    watcher.resume();
    await advanceClock(clock, 10);
    expect(table.watchedAfter).toEqual([5, 8]);
  });

  // A watch returned each version that a process had missed, in full.
  it('lists after a failed watch if the newest contents are enough', async () => {
    watcher = createWatcher(false);
    table.listings = [success(changes(5, 'a')), success(changes(9, 'd'))];
    table.watches = [failure({kind: 'unavailable', reason: 'test'})];
    watcher.start();
    await advanceClock(clock, 3_000);
    expect(seen).toEqual(['list 5', 'list 9']);
    expect(table.watchedAfter).toEqual([5, 9]);
  });

  it('watches again after a failed watch if each change is needed', async () => {
    table.listings = [success(changes(5, 'a'))];
    table.watches = [
      failure({kind: 'unavailable', reason: 'test'}),
      success(changes(9, 'd')),
    ];
    watcher.start();
    await advanceClock(clock, 3_000);
    expect(seen).toEqual(['list 5', 'changes 9']);
  });

  it('waits before a watch only after the first listing', async () => {
    watcher = createWatcher(false);
    table.listings = [success(changes(5, 'a')), success(changes(6, 'b'))];
    table.watches = [failure({kind: 'unavailable', reason: 'test'})];
    watcher.start();
    await advanceClock(clock, FIRST_WATCH_MS + 160 + CALL_INTERVAL_MS);
    expect(table.watchedAfter).toEqual([5, 6]);
  });

  // A process gave up its own read whenever another proxy responded.
  it('applies the response to a call that was in flight when it was paused', async () => {
    const resolveWatch = await startHeldWatch();
    watcher.pause();
    await advanceClock(clock, 3_000);
    resolveWatch(success(changes(7, 'b')));
    await advanceClock(clock, 1_000);
    expect(seen).toEqual(['list 5', 'changes 7']);
    expect(table.watchedAfter).toEqual([5]);
  });

  it('makes no second call when it resumes during a call', async () => {
    const resolveWatch = await startHeldWatch();
    watcher.pause();
    watcher.resume();
    await advanceClock(clock, 1_000);
    expect(table.watchedAfter).toEqual([5]);
    resolveWatch(success(changes(7, 'b')));
    await advanceClock(clock, CALL_INTERVAL_MS);
    expect(table.watchedAfter).toEqual([5, 7]);
  });

  it('applies only what is newer than an update that came during a call', async () => {
    const resolveWatch = await startHeldWatch();
    watcher.pause();
    watcher.applyUpdate(changes(6, 'b'), false);
    seen.length = 0;
    resolveWatch(
      success({
        revision: 8,
        changes: [...changes(6, 'b').changes, ...changes(8, 'c').changes],
      }),
    );
    await advanceClock(clock, 10);
    expect(seen).toEqual(['changes 8']);
  });

  it('ignores a listing that began before a newer update came', async () => {
    watcher = createWatcher(false);
    table.listings = [success(changes(5, 'a'))];
    table.watches = [failure({kind: 'unavailable', reason: 'test'})];
    watcher.start();
    await advanceClock(clock, FIRST_WATCH_MS);
    let resolveListing: (
      value: (typeof table.listings)[number],
    ) => void = () => {};
    table.list = () =>
      new Promise(resolve => {
        resolveListing = resolve;
      });
    await advanceClock(clock, 200);
    watcher.pause();
    watcher.applyUpdate(changes(9, 'd'), false);
    resolveListing(success(changes(8, 'c')));
    await advanceClock(clock, 10);
    expect(seen).toEqual(['list 5', 'changes 9']);
  });

  it('has to read a table that was not confirmed to be current for too long', async () => {
    expect(watcher.isReadDue(1_000)).toBe(true);
    table.listings = [success(changes(5, 'a'))];
    watcher.start();
    await advanceClock(clock, 10);
    watcher.pause();
    expect(watcher.isReadDue(1_000)).toBe(false);
    // An update whose reader has read nothing since proves nothing new.
    const oldReading = {timeMs: 0, epoch: 0};
    await advanceClock(clock, 1_000);
    watcher.applyUpdate(changes(5), false, oldReading);
    expect(watcher.isReadDue(1_000)).toBe(true);
    watcher.applyUpdate(changes(5), false, {timeMs: clock.nowMs(), epoch: 0});
    expect(watcher.isReadDue(1_000)).toBe(false);
  });

  it('ignores updates that are older than the known revision', async () => {
    table.listings.push(success(changes(5, 'a')));
    watcher.start();
    await advanceClock(clock, 10);
    seen.length = 0;
    watcher.applyUpdate(changes(4, 'old'), true);
    expect(seen).toEqual([]);
  });

  // A follower read the store besides its reader for good, since an empty watch had
  // raised its own revision above that of the reader's last change.
  it('takes a proof from a zone reader whose revision is lower', async () => {
    table.listings = [success(changes(5, 'a'))];
    table.watches = [success(changes(9))];
    watcher.start();
    await advanceClock(clock, FIRST_WATCH_MS + 10);
    watcher.pause();
    await advanceClock(clock, 2_000);
    expect(watcher.isReadDue(1_000)).toBe(true);
    watcher.applyUpdate(changes(7), false, {timeMs: clock.nowMs(), epoch: 0});
    expect(watcher.isReadDue(1_000)).toBe(false);
    expect(seen).toEqual(['list 5']);
  });

  // What a failed listener had not applied was never sent again.
  it('has to read the table after it could not apply an update', async () => {
    table.listings = [success(changes(5, 'a')), success(changes(5, 'a'))];
    watcher.start();
    await advanceClock(clock, 10);
    watcher.pause();
    handleListing = () => {
      handleListing = () => {};
      throw new Error('test');
    };
    expect(() => watcher.applyUpdate(changes(6, 'b'), true)).toThrow('test');
    expect(watcher.isIncomplete).toBe(true);
    expect(watcher.isReadDue(60_000)).toBe(true);
    table.listings = [success(changes(6, 'a', 'b'))];
    watcher.resume();
    await advanceClock(clock, 10);
    expect(watcher.isIncomplete).toBe(false);
    expect(seen.at(-1)).toBe('list 6');
  });

  it('fetches changes in quick succession with few calls', async () => {
    let revision = 5;
    table.listings.push(success(changes(revision)));
    table.watch = afterRevision => {
      table.watchedAfter.push(afterRevision);
      return sleep(clock, 10).then(() => success(changes(++revision, 'a')));
    };
    watcher.start();
    await advanceClock(clock, 2_000);
    expect(table.watchedAfter.length).toBeLessThanOrEqual(8);
  });

  // Guards against a proxy that stops following the table after one odd entry.
  it('lists again after its listener has failed', async () => {
    table.listings = [success(changes(5, 'a')), success(changes(8, 'b'))];
    handleListing = () => {
      handleListing = () => {};
      throw new Error('test');
    };
    watcher.start();
    await advanceClock(clock, 3_000);
    expect(table.listCount).toBe(2);
    expect(table.watchedAfter).toEqual([8]);
    expect(events.events).toContainEqual({
      kind: 'taskFailed',
      task: 'watch of test',
      reason: 'test',
    });
  });
});
