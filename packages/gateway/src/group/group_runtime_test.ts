import type {LogPosition} from '@filbertrun/model/log_position.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {createEntry} from '../testing/fake_instances.js';
import {advanceClock} from '../testing/settle.js';
import {SessionWorld} from '../testing/session_world.js';
import type {LeaseProof} from './primary_lease.js';
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

/** The new primary, whose writes wait for a lease that was not released. */
const GATED: RevisedPrimaryRecord = {
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
  let world: SessionWorld;

  beforeEach(() => {
    world = SessionWorld.create();
    world.grantLease();
  });

  function prove(storeTimeMs = 0): LeaseProof {
    return {readAt: world.watch.read(), durationMs: 60_000, storeTimeMs};
  }

  function getWritable(): string | null {
    return world.group.getWritablePrimary()?.entry.backendServer ?? null;
  }

  it('writes at a new primary only from the time on the store that the record states', () => {
    world.group.learnRecord(GATED, prove(1_000), 'test');
    expect(getWritable()).toBeNull();
    world.clock.advance(3_999);
    expect(getWritable()).toBeNull();
    world.clock.advance(1);
    expect(getWritable()).toBe('r1');
  });

  it('reads at the new primary meanwhile', () => {
    world.group.learnRecord(GATED, prove(1_000), 'test');
    const leased = world.group.getLeasedPrimary();
    expect(leased?.entry.backendServer).toBe('r1');
  });

  it('does not write early because an older read of the record arrives late', () => {
    const olderProof = prove();
    world.group.learnAnnouncedRecord(GATED);
    world.group.learnRecord(CHANGING, olderProof, 'test');
    expect(getWritable()).toBeNull();
  });

  it('writes nothing at a primary that was only announced with such a time', () => {
    world.group.learnAnnouncedRecord(GATED);
    world.clock.advance(60_000);
    expect(getWritable()).toBeNull();
  });

  /** The position that is known to be fresh enough now, or null. */
  function getFresh(): LogPosition | null {
    const nowMs = world.clock.nowMs();
    return world.group.getFreshPosition(nowMs, 1_500)?.position ?? null;
  }

  it('takes no position for fresh that was proven before a suspension', () => {
    world.group.recordProof(world.clock.nowMs(), POSITION);
    expect(getFresh()).toEqual(POSITION);
    world.wallClock.step(5_000);
    expect(getFresh()).toBeNull();
    world.clock.advance(1);
    world.group.recordProof(world.clock.nowMs(), POSITION);
    expect(getFresh()).toEqual(POSITION);
  });

  it('takes no answer for a proof whose question was sent before a suspension', () => {
    const sentAtMs = world.clock.nowMs();
    world.clock.advance(20);
    world.wallClock.step(5_000);
    world.group.recordProof(sentAtMs, POSITION);
    expect(getFresh()).toBeNull();
  });

  it('uses a draining primary for a while, and then no more', () => {
    const draining = {
      ...createEntry('p', 'primary'),
      state: 'draining' as const,
    };
    world.group.updateServer(draining);
    world.clock.advance(5_000);
    expect(getWritable()).toBe('p');
    world.group.updateServer(draining);
    world.clock.advance(2_000);
    expect(getWritable()).toBeNull();
    expect(world.group.getLeasedPrimary()).toBeNull();
    world.group.updateServer(createEntry('p', 'primary'));
    expect(getWritable()).toBe('p');
  });

  it('counts a drain on when the entry of the server lapses and comes back', () => {
    const draining = {
      ...createEntry('p', 'primary'),
      state: 'draining' as const,
    };
    world.group.updateServer(draining);
    world.clock.advance(4_000);
    world.group.removeServer('p', 'it was drained');
    world.clock.advance(1_000);
    world.group.updateServer(draining);
    expect(getWritable()).toBe('p');
    world.clock.advance(2_000);
    expect(getWritable()).toBeNull();
  });

  it('counts no drain of an earlier process of a server', () => {
    const draining = {
      ...createEntry('p', 'primary'),
      state: 'draining' as const,
    };
    world.group.updateServer(draining);
    world.clock.advance(6_000);
    world.group.removeServer('p', 'it was drained');
    world.group.updateServer({
      ...createEntry('p', 'primary'),
      startedAtEpochMs: 77,
    });
    world.clock.advance(60_000);
    expect(getWritable()).toBe('p');
  });

  it('uses a server for a short while only that it never saw other than draining', () => {
    world.group.updateServer({
      ...createEntry('late', 'replica'),
      state: 'draining',
    });
    const late = world.group.getServer('late');
    expect(late?.isPastDrain).toBe(false);
    world.clock.advance(3_000);
    expect(late?.isPastDrain).toBe(true);
  });

  it('serves aged reads from the last position of the old term', () => {
    world.group.learnRecord(CHANGING, prove(), 'test');
    const fresh = world.group.getFreshPosition(world.clock.nowMs(), 1_500);
    expect(fresh?.position).toEqual({term: 1, position: 5});
  });

  it('leaves no connection open to a server that is not used any more', async () => {
    const session = world.open('strict');
    await world.run(session, {kind: 'read', text: 'READ a'});
    expect(world.backend.openLinks.size).toBe(1);
    await advanceClock(world.clock, 3_100);
    expect(world.backend.openLinks.size).toBe(0);
  });
});
