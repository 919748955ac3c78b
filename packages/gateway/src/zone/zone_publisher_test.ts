import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {ClockWatch, type ClockReading} from '../group/clock_watch.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {advanceClock} from '../testing/settle.js';
import type {ZoneNews, ZoneQuestion} from './zone_news.js';
import {ZonePublisher} from './zone_publisher.js';

const WAIT_MS = 1_000;

describe('ZonePublisher', () => {
  let clock: VirtualClock;
  let wallClock: FakeWallClock;
  let watch: ClockWatch;
  let publisher: ZonePublisher;
  let isReading: boolean;
  let contactStart: ClockReading | null;
  let hastenedCount: number;

  beforeEach(() => {
    clock = VirtualClock.create();
    clock.advance(10_000);
    wallClock = FakeWallClock.create(clock);
    watch = ClockWatch.create(clock, wallClock);
    isReading = true;
    contactStart = null;
    hastenedCount = 0;
    publisher = ZonePublisher.create({
      clock,
      clockWatch: watch,
      isReading: () => isReading,
      getContactStart: () => contactStart,
      computeProvenDigest: () => 'digest',
      hasten: () => hastenedCount++,
    });
    takeListing(7);
  });

  function takeListing(revision: number): void {
    const entries = new Map([['key', {value: `at ${revision}`, revision}]]);
    publisher.takeControl(
      {entries, revision, storeTimeMs: clock.nowMs()},
      watch.read(),
    );
  }

  function ask(changes: Partial<ZoneQuestion> = {}): Promise<ZoneNews | null> {
    return publisher.answer({
      entryVm: 'entry-2',
      incarnation: 'one',
      controlRevision: 7,
      directoryRevision: 0,
      configurationRevision: 0,
      isUrgent: false,
      waitMs: WAIT_MS,
      ...changes,
    });
  }

  /** Whether a promise has settled by now. */
  async function isSettled(promise: Promise<unknown>): Promise<boolean> {
    let settled = false;
    void promise.then(() => {
      settled = true;
    });
    await advanceClock(clock, 0);
    return settled;
  }

  it('answers at once where there is news', async () => {
    const answer = ask({controlRevision: 6});
    expect(await isSettled(answer)).toBe(true);
    expect((await answer)?.control.changes).toHaveLength(1);
  });

  it('holds an answer back until there is news', async () => {
    const answer = ask();
    expect(await isSettled(answer)).toBe(false);
    await advanceClock(clock, 300);
    takeListing(9);
    expect(await isSettled(answer)).toBe(true);
    expect((await answer)?.control.revision).toBe(9);
  });

  it('answers without news when the wait is over', async () => {
    const answer = ask();
    await advanceClock(clock, WAIT_MS);
    expect((await answer)?.control.changes).toEqual([]);
  });

  it('states how long before the question a read began, whenever it answers', async () => {
    await advanceClock(clock, 400);
    const answer = ask();
    await advanceClock(clock, WAIT_MS);
    expect((await answer)?.control.readLeadMs).toBe(400);
  });

  it('states a read that began after the question as such', async () => {
    const answer = ask();
    await advanceClock(clock, 250);
    takeListing(9);
    expect((await answer)?.control.readLeadMs).toBe(-250);
  });

  it('passes a new contact on as soon as it has one', async () => {
    const answer = ask();
    await advanceClock(clock, 100);
    contactStart = watch.read();
    publisher.wake();
    expect((await answer)?.contact).toEqual({
      digest: 'digest',
      startLeadMs: -100,
    });
  });

  it('proves nothing by a read from before a suspension', async () => {
    wallClock.step(5_000);
    expect(await ask({controlRevision: 6})).toBeNull();
  });

  it('proves nothing by a read from before a suspension during the wait', async () => {
    const answer = ask();
    await advanceClock(clock, 100);
    wallClock.step(5_000);
    await advanceClock(clock, WAIT_MS);
    expect(await answer).toBeNull();
  });

  it('refuses as soon as the store is lost, also those who wait', async () => {
    const answer = ask();
    await advanceClock(clock, 100);
    isReading = false;
    publisher.wake();
    expect(await isSettled(answer)).toBe(true);
    expect(await answer).toBeNull();
  });

  it('counts who asks as a follower for a while', async () => {
    void ask();
    expect([...publisher.getFollowers()]).toEqual([['entry-2', 'one']]);
    await advanceClock(clock, 5_000);
    expect(publisher.getFollowers().size).toBe(0);
  });

  it('reads the control table soon for a follower that needs it', async () => {
    void ask({isUrgent: true});
    expect(hastenedCount).toBe(1);
    expect(publisher.isUrgent).toBe(true);
    await advanceClock(clock, 2_000);
    expect(publisher.isUrgent).toBe(false);
  });
});
