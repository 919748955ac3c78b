import type {LogPosition} from '@filbertrun/model/log_position.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {createEntry} from '../testing/fake_instances.js';
import {advanceClock} from '../testing/settle.js';
import {SessionTestHarness} from '../testing/session_test_harness.js';
import type {LeaseGrant} from './primary_lease.js';
import type {RevisedPrimaryRecord} from './primary_record.js';

const CHANGING: RevisedPrimaryRecord = {
  revision: 2,
  record: {
    phase: 'changing',
    databaseGroup: 'group',
    changeId: 'change',
    oldPrimary: 'p',
    oldTerm: 1,
    target: 'r1',
    lastOldPosition: {term: 1, position: 5},
  },
};

/** Record of a new primary; writes wait until an unreleased lease expires. */
const WRITES_BLOCKED: RevisedPrimaryRecord = {
  revision: 3,
  record: {
    phase: 'stable',
    databaseGroup: 'group',
    primary: 'r1',
    term: 2,
    writesFromStoreMs: 5_000,
  },
};

const POSITION: LogPosition = {term: 1, position: 5};

describe('GroupRuntime', () => {
  let harness: SessionTestHarness;

  beforeEach(() => {
    harness = SessionTestHarness.create();
    harness.grantLease();
  });

  function createGrant(storeTimeMs = 0): LeaseGrant {
    return {
      readAt: harness.clockJumpDetector.read(),
      durationMs: 60_000,
      storeTimeMs,
    };
  }

  function getWritable(): string | null {
    return harness.group.getWritablePrimary()?.entry.backendServer ?? null;
  }

  it('sends writes to a new primary only from the store time given in the record', () => {
    harness.group.applyRecord(WRITES_BLOCKED, createGrant(1_000), 'test');
    expect(getWritable()).toBeNull();
    harness.clock.advance(3_999);
    expect(getWritable()).toBeNull();
    harness.clock.advance(1);
    expect(getWritable()).toBe('r1');
  });

  it('sends reads to the new primary before writes are allowed', () => {
    harness.group.applyRecord(WRITES_BLOCKED, createGrant(1_000), 'test');
    const leased = harness.group.getLeasedPrimary();
    expect(leased?.entry.backendServer).toBe('r1');
  });

  it('does not allow writes earlier when an older read of the record completes late', () => {
    const olderGrant = createGrant();
    harness.group.applyAnnouncedRecord(WRITES_BLOCKED);
    harness.group.applyRecord(CHANGING, olderGrant, 'test');
    expect(getWritable()).toBeNull();
  });

  it('sends no writes to a primary whose record with a store time was only announced', () => {
    harness.group.applyAnnouncedRecord(WRITES_BLOCKED);
    harness.clock.advance(60_000);
    expect(getWritable()).toBeNull();
  });

  /** The position that is fresh enough now, or null. */
  function getFresh(): LogPosition | null {
    const nowMs = harness.clock.nowMs();
    return harness.group.getFreshPosition(nowMs, 1_500)?.position ?? null;
  }

  it('does not use a freshness bound recorded before a suspension', () => {
    harness.group.recordFreshnessBound(harness.clock.nowMs(), POSITION);
    expect(getFresh()).toEqual(POSITION);
    harness.wallClock.step(5_000);
    expect(getFresh()).toBeNull();
    harness.clock.advance(1);
    harness.group.recordFreshnessBound(harness.clock.nowMs(), POSITION);
    expect(getFresh()).toEqual(POSITION);
  });

  it('ignores a response to a request that was sent before a suspension', () => {
    const sentAtMs = harness.clock.nowMs();
    harness.clock.advance(20);
    harness.wallClock.step(5_000);
    harness.group.recordFreshnessBound(sentAtMs, POSITION);
    expect(getFresh()).toBeNull();
  });

  it('uses a draining primary only until its drain expires', () => {
    const draining = {
      ...createEntry('p', 'primary'),
      state: 'draining' as const,
    };
    harness.group.updateServer(draining);
    harness.clock.advance(5_000);
    expect(getWritable()).toBe('p');
    harness.group.updateServer(draining);
    harness.clock.advance(2_000);
    expect(getWritable()).toBeNull();
    expect(harness.group.getLeasedPrimary()).toBeNull();
    harness.group.updateServer(createEntry('p', 'primary'));
    expect(getWritable()).toBe('p');
  });

  it('continues a drain when the directory entry expires and reappears', () => {
    const draining = {
      ...createEntry('p', 'primary'),
      state: 'draining' as const,
    };
    harness.group.updateServer(draining);
    harness.clock.advance(4_000);
    harness.group.removeServer('p', 'it was drained');
    harness.clock.advance(1_000);
    harness.group.updateServer(draining);
    expect(getWritable()).toBe('p');
    harness.clock.advance(2_000);
    expect(getWritable()).toBeNull();
  });

  it('does not apply the drain of an earlier process of a server', () => {
    const draining = {
      ...createEntry('p', 'primary'),
      state: 'draining' as const,
    };
    harness.group.updateServer(draining);
    harness.clock.advance(6_000);
    harness.group.removeServer('p', 'it was drained');
    harness.group.updateServer({
      ...createEntry('p', 'primary'),
      startedAtEpochMs: 77,
    });
    harness.clock.advance(60_000);
    harness.grantLease();
    expect(getWritable()).toBe('p');
  });

  it('uses a server for a shorter time if it was first observed while draining', () => {
    harness.group.updateServer({
      ...createEntry('late', 'replica'),
      state: 'draining',
    });
    const late = harness.group.getServer('late');
    expect(late?.isPastDrain).toBe(false);
    harness.clock.advance(3_000);
    expect(late?.isPastDrain).toBe(true);
  });

  it('uses the last position of the old term for reads with a bounded age', () => {
    harness.group.applyRecord(CHANGING, createGrant(), 'test');
    const fresh = harness.group.getFreshPosition(harness.clock.nowMs(), 1_500);
    expect(fresh?.position).toEqual({term: 1, position: 5});
  });

  it('closes unused connections to a server after the idle timeout', async () => {
    const session = harness.open('strict');
    await harness.run(session, {kind: 'read', text: 'READ a'});
    expect(harness.backend.openConnections.size).toBe(1);
    await advanceClock(harness.clock, 3_100);
    expect(harness.backend.openConnections.size).toBe(0);
  });
});
