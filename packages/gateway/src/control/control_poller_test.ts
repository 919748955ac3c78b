import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {TableListing} from '@filbertrun/platform/platform_service.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {advanceClock} from '../testing/settle.js';
import {ControlPoller} from './control_poller.js';

/** Interval of the gateway's maintenance pass. */
const MAINTENANCE_MS = 100;

describe('ControlPoller', () => {
  let clock: VirtualClock;
  let poller: ControlPoller;
  let isUrgent: boolean;
  let readAtMs: number[];
  let handleListing: () => void;

  beforeEach(async () => {
    clock = VirtualClock.create();
    isUrgent = false;
    readAtMs = [];
    handleListing = () => {};
    const table = FakeControlTable.create(clock);
    table.seed('key', {});
    poller = ControlPoller.create({
      table,
      clock,
      clockJumpDetector: ClockJumpDetector.create(
        clock,
        FakeWallClock.create(clock),
      ),
      events: InMemoryEventRecorder.create(),
      handleListing: () => {
        readAtMs.push(clock.nowMs());
        handleListing();
      },
      isUrgent: () => isUrgent,
    });
    poller.start();
    await advance(MAINTENANCE_MS);
    readAtMs.length = 0;
  });

  async function advance(durationMs: number): Promise<void> {
    for (
      let elapsedMs = 0;
      elapsedMs < durationMs;
      elapsedMs += MAINTENANCE_MS
    ) {
      await advanceClock(clock, MAINTENANCE_MS);
      poller.pollIfUrgent();
    }
  }

  it('reads at the long interval while nothing is urgent', async () => {
    await advance(12_000);
    expect(readAtMs.length).toBeLessThanOrEqual(3);
    expect(readAtMs.length).toBeGreaterThanOrEqual(2);
  });

  it('reads within one maintenance pass when polling becomes urgent', async () => {
    await advance(1_000);
    isUrgent = true;
    const urgentAtMs = clock.nowMs();
    await advance(3 * MAINTENANCE_MS);
    expect(readAtMs[0]).toBeLessThanOrEqual(urgentAtMs + 2 * MAINTENANCE_MS);
  });

  it('reads a few times per second while polling is urgent, not on every maintenance pass', async () => {
    isUrgent = true;
    await advance(3_000);
    expect(readAtMs.length).toBeGreaterThanOrEqual(8);
    expect(readAtMs.length).toBeLessThanOrEqual(12);
  });

  it('reads again when requested during a read, which may have missed a change', async () => {
    const first = poller.readNow();
    const second = poller.readNow();
    expect(await Promise.all([first, second])).toEqual([true, true]);
    expect(readAtMs).toHaveLength(2);
  });

  it('does not read after it was disposed', async () => {
    poller.dispose();
    await advance(12_000);
    expect(readAtMs).toEqual([]);
  });

  function createListing(revision: number): TableListing {
    return {entries: new Map(), revision, storeTimeMs: 0};
  }

  it('does not read while paused and reads immediately after resuming', async () => {
    poller.pause();
    await advance(12_000);
    expect(await poller.readNow()).toBe(false);
    expect(readAtMs).toEqual([]);
    poller.resume();
    await advance(MAINTENANCE_MS);
    expect(readAtMs).toHaveLength(1);
  });

  it('accepts a listing from another proxy unless it is outdated', async () => {
    poller.pause();
    const readAt = {timeMs: clock.nowMs(), epoch: 0};
    poller.applyListing(createListing(9), readAt);
    poller.applyListing(createListing(8), readAt);
    expect(readAtMs).toHaveLength(1);
    expect(poller.newestListing?.revision).toBe(9);
  });

  it('passes the newest listing to the handler again on request', () => {
    poller.replayListing();
    expect(readAtMs).toHaveLength(1);
  });

  it('goes on reading after its listener has failed', async () => {
    handleListing = () => {
      handleListing = () => {};
      throw new Error('test');
    };
    await advance(15_000);
    expect(readAtMs.length).toBeGreaterThanOrEqual(2);
  });
});
