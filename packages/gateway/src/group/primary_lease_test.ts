import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {ClockJumpDetector} from './clock_jump_detector.js';
import {PrimaryLease, type LeaseGrant} from './primary_lease.js';
import type {RevisedPrimaryRecord} from './primary_record.js';

function stable(primary: string, revision: number): RevisedPrimaryRecord {
  return {
    revision,
    record: {
      phase: 'stable',
      databaseGroup: 'group',
      primary,
      term: revision,
      writesFromStoreMs: null,
    },
  };
}

describe('PrimaryLease', () => {
  let clock: VirtualClock;
  let wallClock: FakeWallClock;
  let clockJumpDetector: ClockJumpDetector;
  let lease: PrimaryLease;
  let isInContact: boolean;

  beforeEach(() => {
    clock = VirtualClock.create();
    wallClock = FakeWallClock.create(clock);
    clockJumpDetector = ClockJumpDetector.create(clock, wallClock);
    isInContact = true;
    lease = PrimaryLease.create(clockJumpDetector, {
      isInContact: () => isInContact,
    });
  });

  function createGrant(durationMs = 1_000): LeaseGrant {
    return {readAt: clockJumpDetector.read(), durationMs, storeTimeMs: 0};
  }

  it('returns the primary of a record that was read', () => {
    lease.apply(stable('a', 1), createGrant());
    expect(lease.getPrimary()).toEqual({primary: 'a', term: 1});
  });

  it('returns no primary without contact, and returns it again when contact resumes', () => {
    lease.apply(stable('a', 1), createGrant());
    isInContact = false;
    expect(lease.getPrimary()).toBeNull();
    expect(lease.isHeld()).toBe(true);
    isInContact = true;
    expect(lease.getPrimary()).not.toBeNull();
  });

  it('reports the revision of a release as the newest revision', () => {
    lease.apply(stable('a', 3), createGrant());
    expect(lease.newestRevision).toBe(3);
    lease.release(5);
    expect(lease.newestRevision).toBe(5);
  });

  it('expires after its duration, counted from the start of the read', () => {
    const grant = createGrant(1_000);
    clock.advance(600);
    lease.apply(stable('a', 1), grant);
    clock.advance(399);
    expect(lease.getPrimary()).not.toBeNull();
    clock.advance(1);
    expect(lease.getPrimary()).toBeNull();
  });

  it('keeps the grant that expires later when a record is read twice', () => {
    lease.apply(stable('a', 1), createGrant(5_000));
    lease.apply(stable('a', 1), createGrant(10));
    clock.advance(1_000);
    expect(lease.getPrimary()).not.toBeNull();
  });

  it('ignores a record that is older than the current one', () => {
    lease.apply(stable('b', 2), createGrant());
    lease.apply(stable('a', 1), createGrant());
    expect(lease.getPrimary()).toEqual({primary: 'b', term: 2});
  });

  it('returns no primary after a release until a newer record is read', () => {
    lease.apply(stable('a', 1), createGrant());
    lease.release(2);
    expect(lease.getPrimary()).toBeNull();
    lease.apply(stable('a', 2), createGrant());
    expect(lease.getPrimary()).toBeNull();
    lease.apply(stable('b', 3), createGrant());
    expect(lease.getPrimary()).toEqual({primary: 'b', term: 3});
  });

  it('applies an announced record without a lease', () => {
    lease.apply(stable('a', 1), createGrant());
    lease.applyAnnounced(stable('b', 2));
    expect(lease.getPrimary()).toBeNull();
    expect(lease.getLastKnownPrimary()).toEqual({primary: 'b', term: 2});
  });

  it('ends when the machine was suspended', () => {
    lease.apply(stable('a', 1), createGrant(60_000));
    wallClock.step(4_000);
    expect(lease.getPrimary()).toBeNull();
  });

  it('ends when the wall clock steps back, and stays ended when it steps forward', () => {
    lease.apply(stable('a', 1), createGrant(60_000));
    wallClock.step(-2_000);
    expect(lease.getPrimary()).toBeNull();
    wallClock.step(2_000);
    expect(lease.getPrimary()).toBeNull();
  });

  it('remains valid after a small adjustment of the wall clock', () => {
    lease.apply(stable('a', 1), createGrant(60_000));
    wallClock.step(20);
    expect(lease.getPrimary()).not.toBeNull();
  });
});
