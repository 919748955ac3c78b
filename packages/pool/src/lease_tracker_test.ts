import {beforeEach, describe, expect, it} from 'vitest';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {LeaseTracker, type MeasuredEntry} from './lease_tracker.js';
import {LeasedConnection} from './leased_connection.js';
import type {PoolLease} from './pool_types.js';
import {WorkEstimates} from './work_estimates.js';

let clock: VirtualClock;
let estimates: WorkEstimates;
let tracker: LeaseTracker;
let measured: number[];

beforeEach(() => {
  clock = VirtualClock.create();
  estimates = WorkEstimates.create();
  measured = [];
  tracker = LeaseTracker.create({
    estimates,
    getNowMs: () => clock.nowMs(),
    handleMeasured: (_entry, workMs) => measured.push(workMs),
  });
});

function lease(workMs = 20): PoolLease<null> {
  const entry: MeasuredEntry = {
    priority: 'normal',
    identity: 'a',
    deadlineMs: 1000,
    workMs,
    workKind: 'kind',
    isReplaceable: false,
  };
  const events = tracker.track<null>(entry, {
    getNowMs: () => clock.nowMs(),
    handleSuspended: () => undefined,
    handleResumed: () => undefined,
    handleReleased: () => undefined,
  });
  return LeasedConnection.create(null, 'a', 'read', 1, events);
}

describe('LeaseTracker', () => {
  it('does not count the pauses of a transaction as work', () => {
    const transaction = lease();
    clock.advance(10);
    transaction.suspend();
    expect(tracker.getActiveIdentities()).toEqual([]);
    clock.advance(500);
    transaction.resume();
    clock.advance(5);
    transaction.release('clean');
    expect(measured).toEqual([15]);
    expect(estimates.holdMs).toBe(515);
  });

  it('does not count the wait for an acknowledgement as work', () => {
    const write = lease();
    clock.advance(5000);
    write.release('unacknowledged');
    expect(measured).toEqual([]);
  });

  it('expects the next release later while no lease ends', () => {
    lease(20);
    lease(30);
    clock.advance(10);
    expect(tracker.getNextReleaseMs()).toBe(20);
    clock.advance(90);
    expect(tracker.getNextReleaseMs()).toBe(100);
  });

  it('is not misled by one stuck lease', () => {
    lease(20);
    clock.advance(3000);
    lease(20);
    expect(tracker.getNextReleaseMs()).toBe(20);
  });

  it('expects a long hold while transactions are held for long', () => {
    lease().suspend();
    clock.advance(3000);
    expect(tracker.getHoldMs()).toBe(3000);
  });
});
