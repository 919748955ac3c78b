import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {
  ClockJumpDetector,
  type ClockReading,
} from '../group/clock_jump_detector.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {advanceClock} from '../testing/settle.js';
import type {ZoneUpdate, ZoneUpdateRequest} from './zone_update.js';
import {ZonePublisher} from './zone_publisher.js';

const WAIT_MS = 1_000;

describe('ZonePublisher', () => {
  let clock: VirtualClock;
  let wallClock: FakeWallClock;
  let jumpDetector: ClockJumpDetector;
  let publisher: ZonePublisher;
  let isReading: boolean;
  let contactStart: ClockReading | null;
  let urgentPollCount: number;
  let configurationCurrentAsOf: ClockReading | null;

  beforeEach(() => {
    clock = VirtualClock.create();
    clock.advance(10_000);
    wallClock = FakeWallClock.create(clock);
    jumpDetector = ClockJumpDetector.create(clock, wallClock);
    isReading = true;
    contactStart = null;
    urgentPollCount = 0;
    configurationCurrentAsOf = null;
    publisher = ZonePublisher.create({
      clock,
      clockJumpDetector: jumpDetector,
      configurationKey: 'config',
      isReading: () => isReading,
      getContactStart: () => contactStart,
      getConfigurationCurrentAsOf: () => configurationCurrentAsOf,
      computeLeasedDigest: () => 'digest',
      pollIfUrgent: () => urgentPollCount++,
    });
    applyListing(7);
  });

  function applyListing(revision: number): void {
    const entries = new Map([['key', {value: `at ${revision}`, revision}]]);
    publisher.applyControlListing(
      {entries, revision, storeTimeMs: clock.nowMs()},
      jumpDetector.read(),
    );
  }

  function requestUpdate(
    changes: Partial<ZoneUpdateRequest> = {},
  ): Promise<ZoneUpdate | null> {
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

  /** Whether a promise has settled. */
  async function isSettled(promise: Promise<unknown>): Promise<boolean> {
    let settled = false;
    void promise.then(() => {
      settled = true;
    });
    await advanceClock(clock, 0);
    return settled;
  }

  it('responds immediately if there are changes', async () => {
    const response = requestUpdate({controlRevision: 6});
    expect(await isSettled(response)).toBe(true);
    expect((await response)?.control.changes).toHaveLength(1);
  });

  it('holds the response until there are changes', async () => {
    const response = requestUpdate();
    expect(await isSettled(response)).toBe(false);
    await advanceClock(clock, 300);
    applyListing(9);
    expect(await isSettled(response)).toBe(true);
    expect((await response)?.control.revision).toBe(9);
  });

  it('responds immediately when the configuration is proven to be current', async () => {
    const response = requestUpdate();
    await advanceClock(clock, 300);
    configurationCurrentAsOf = jumpDetector.read();
    publisher.wake();
    expect(await isSettled(response)).toBe(true);
    expect((await response)?.configurationLeadMs).toBe(-300);
  });

  it('responds without changes when the wait has ended', async () => {
    const response = requestUpdate();
    await advanceClock(clock, WAIT_MS);
    expect((await response)?.control.changes).toEqual([]);
  });

  it('reports the time between the start of a read and the request, regardless of when it responds', async () => {
    await advanceClock(clock, 400);
    const response = requestUpdate();
    await advanceClock(clock, WAIT_MS);
    expect((await response)?.control.readLeadMs).toBe(400);
  });

  it('reports a negative lead for a read that began after the request', async () => {
    const response = requestUpdate();
    await advanceClock(clock, 250);
    applyListing(9);
    expect((await response)?.control.readLeadMs).toBe(-250);
  });

  it('sends a new contact immediately', async () => {
    const response = requestUpdate();
    await advanceClock(clock, 100);
    contactStart = jumpDetector.read();
    publisher.wake();
    expect((await response)?.contact).toEqual({
      digest: 'digest',
      startLeadMs: -100,
    });
  });

  it('refuses if the only read began before a suspension', async () => {
    wallClock.step(5_000);
    expect(await requestUpdate({controlRevision: 6})).toBeNull();
  });

  it('refuses if a suspension during the wait follows the only read', async () => {
    const response = requestUpdate();
    await advanceClock(clock, 100);
    wallClock.step(5_000);
    await advanceClock(clock, WAIT_MS);
    expect(await response).toBeNull();
  });

  it('refuses held requests as soon as the store is lost', async () => {
    const response = requestUpdate();
    await advanceClock(clock, 100);
    isReading = false;
    publisher.wake();
    expect(await isSettled(response)).toBe(true);
    expect(await response).toBeNull();
  });

  it('counts a proxy as a follower for a limited time after its request', async () => {
    void requestUpdate();
    expect([...publisher.getFollowers()]).toEqual([['entry-2', 'one']]);
    await advanceClock(clock, 5_000);
    expect(publisher.getFollowers().size).toBe(0);
  });

  it('polls the control table early for an urgent request', async () => {
    void requestUpdate({isUrgent: true});
    expect(urgentPollCount).toBe(1);
    expect(publisher.isUrgent).toBe(true);
    await advanceClock(clock, 2_000);
    expect(publisher.isUrgent).toBe(false);
  });
});
