import {describe, expect, it} from 'vitest';
import {estimateWaitMs, WorkAheadSum, type PoolLoad} from './expected_wait.js';
import type {QueuedEntry} from './request_queue.js';

const LOAD: PoolLoad = {
  slots: 4,
  reservedSlots: 0,
  activeLeases: 4,
  nextReleaseMs: 20,
  meanWorkMs: 20,
  maxConnections: 20,
  suspendedLeases: 0,
  holdMs: 200,
  handshakeMs: 12,
  ownHandshakeMs: 12,
  connectIntervalMs: 10,
  connectDelayMs: 0,
  connectedIdentities: new Set(['a']),
};

const REQUEST = {isReplaceable: false, needsHandshake: false};

function sum(
  load: PoolLoad,
  count: number,
  changes: Partial<QueuedEntry> = {},
): WorkAheadSum {
  const ahead = WorkAheadSum.create(load);
  for (let index = 0; index < count; index++) {
    ahead.add({
      priority: 'normal',
      identity: 'a',
      deadlineMs: 1000,
      workMs: 20,
      isReplaceable: false,
      ...changes,
    });
  }
  return ahead;
}

describe('estimateWaitMs', () => {
  it('expects no wait while a slot is free', () => {
    const load = {...LOAD, activeLeases: 3};
    expect(estimateWaitMs(load, sum(load, 0), REQUEST)).toBe(0);
  });

  it('shares the work ahead among the slots', () => {
    expect(estimateWaitMs(LOAD, sum(LOAD, 3), REQUEST)).toBe(20);
  });

  it('distinguishes kinds of different work', () => {
    const ahead = sum(LOAD, 3, {workMs: 100});
    expect(estimateWaitMs(LOAD, ahead, REQUEST)).toBe(80);
  });

  it('counts one handshake for each identity without a connection', () => {
    const ahead = sum(LOAD, 3, {identity: 'b'});
    expect(ahead.handshakes).toBe(1);
    expect(estimateWaitMs(LOAD, ahead, REQUEST)).toBe(23);
  });

  it('adds the handshake of the request itself and the pace of attempts', () => {
    const load = {...LOAD, activeLeases: 0, connectDelayMs: 5};
    const ahead = sum(load, 1, {identity: 'b'});
    const request = {isReplaceable: false, needsHandshake: true};
    expect(estimateWaitMs(load, ahead, request)).toBe(27);
  });

  it('never sends a replaceable request to reserved slots', () => {
    const load = {...LOAD, activeLeases: 3, reservedSlots: 1};
    const replaceable = {isReplaceable: true, needsHandshake: false};
    expect(estimateWaitMs(load, sum(load, 0), replaceable)).toBeCloseTo(20 / 3);
    expect(estimateWaitMs(load, sum(load, 0), REQUEST)).toBe(0);
    const without = {...LOAD, reservedSlots: 4};
    expect(estimateWaitMs(without, sum(without, 0), replaceable)).toBe(
      Infinity,
    );
  });

  it('ignores replaceable entries ahead for a reserved slot', () => {
    const load = {...LOAD, activeLeases: 3, reservedSlots: 1};
    const ahead = sum(load, 50, {isReplaceable: true});
    expect(estimateWaitMs(load, ahead, REQUEST)).toBe(0);
  });

  it('expects to wait for connections that suspended leases hold', () => {
    const load = {
      ...LOAD,
      activeLeases: 0,
      nextReleaseMs: 0,
      maxConnections: 5,
      suspendedLeases: 5,
    };
    expect(estimateWaitMs(load, sum(load, 0), REQUEST)).toBe(40);
    expect(estimateWaitMs(load, sum(load, 4), REQUEST)).toBe(200);
  });

  it('expects no wait for connections while there are more than slots', () => {
    const load = {...LOAD, activeLeases: 0, suspendedLeases: 16};
    expect(estimateWaitMs(load, sum(load, 3), REQUEST)).toBe(0);
  });
});
