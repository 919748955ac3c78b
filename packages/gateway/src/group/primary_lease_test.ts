import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {ClockWatch} from './clock_watch.js';
import {PrimaryLease, type LeaseProof} from './primary_lease.js';
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
  let watch: ClockWatch;
  let lease: PrimaryLease;
  let isInContact: boolean;

  beforeEach(() => {
    clock = VirtualClock.create();
    wallClock = FakeWallClock.create(clock);
    watch = ClockWatch.create(clock, wallClock);
    isInContact = true;
    lease = PrimaryLease.create(watch, {isInContact: () => isInContact});
  });

  function prove(durationMs = 1_000): LeaseProof {
    return {readAt: watch.read(), durationMs, storeTimeMs: 0};
  }

  it('gives the primary of a record that was read', () => {
    lease.learn(stable('a', 1), prove());
    expect(lease.getPrimary()).toEqual({primary: 'a', term: 1});
  });

  it('gives no primary without contact, and gives it again with one', () => {
    lease.learn(stable('a', 1), prove());
    isInContact = false;
    expect(lease.getPrimary()).toBeNull();
    expect(lease.isProven()).toBe(true);
    isInContact = true;
    expect(lease.getPrimary()).not.toBeNull();
  });

  it('names the newest revision that a release told it', () => {
    lease.learn(stable('a', 3), prove());
    expect(lease.newestRevision).toBe(3);
    lease.release(5);
    expect(lease.newestRevision).toBe(5);
  });

  it('ends with its duration, counted from the start of the read', () => {
    const proof = prove(1_000);
    clock.advance(600);
    lease.learn(stable('a', 1), proof);
    clock.advance(399);
    expect(lease.getPrimary()).not.toBeNull();
    clock.advance(1);
    expect(lease.getPrimary()).toBeNull();
  });

  it('keeps the longer of two proofs of one record', () => {
    lease.learn(stable('a', 1), prove(5_000));
    lease.learn(stable('a', 1), prove(10));
    clock.advance(1_000);
    expect(lease.getPrimary()).not.toBeNull();
  });

  it('never goes back to an older record', () => {
    lease.learn(stable('b', 2), prove());
    lease.learn(stable('a', 1), prove());
    expect(lease.getPrimary()).toEqual({primary: 'b', term: 2});
  });

  it('gives nothing after a release, until a newer record is read', () => {
    lease.learn(stable('a', 1), prove());
    lease.release(2);
    expect(lease.getPrimary()).toBeNull();
    lease.learn(stable('a', 2), prove());
    expect(lease.getPrimary()).toBeNull();
    lease.learn(stable('b', 3), prove());
    expect(lease.getPrimary()).toEqual({primary: 'b', term: 3});
  });

  it('takes an announcement without a lease', () => {
    lease.learn(stable('a', 1), prove());
    lease.learnUnproven(stable('b', 2));
    expect(lease.getPrimary()).toBeNull();
    expect(lease.getLastKnownPrimary()).toEqual({primary: 'b', term: 2});
  });

  it('ends when the machine was suspended', () => {
    lease.learn(stable('a', 1), prove(60_000));
    wallClock.step(4_000);
    expect(lease.getPrimary()).toBeNull();
  });

  it('ends when the time of day steps back, and stays ended', () => {
    lease.learn(stable('a', 1), prove(60_000));
    wallClock.step(-2_000);
    expect(lease.getPrimary()).toBeNull();
    wallClock.step(2_000);
    expect(lease.getPrimary()).toBeNull();
  });

  it('outlasts the small adjustments of the time of day', () => {
    lease.learn(stable('a', 1), prove(60_000));
    wallClock.step(20);
    expect(lease.getPrimary()).not.toBeNull();
  });
});
