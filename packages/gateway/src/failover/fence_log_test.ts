import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import type {ReportedState} from '../observability/promotion_event.js';
import {FenceLog, type LoggedFence} from './fence_log.js';

const PAUSED: ReportedState = {
  role: 'replica',
  term: 1,
  receivedPosition: {term: 1, position: 10},
  pausedTerm: 2,
  startedAtEpochMs: 1,
};

function fence(
  changes: Partial<ReportedState> = {},
  isFenced = true,
): LoggedFence {
  return {reported: {...PAUSED, ...changes}, isFenced, confirmedAtMs: 0};
}

describe('FenceLog', () => {
  let clock: VirtualClock;
  let events: InMemoryEventRecorder;
  let log: FenceLog;

  beforeEach(() => {
    clock = VirtualClock.create();
    events = InMemoryEventRecorder.create();
    log = FenceLog.create({
      clock,
      events,
      databaseGroup: 'group',
      changeId: 'c',
    });
  });

  // Guards against a replica that received commits of the old term after its
  // pause, which no line would show.
  it.each([
    [
      'longerLog',
      fence({receivedPosition: {term: 1, position: 11}}),
      {receivedPosition: {term: 1, position: 11}},
    ],
    [
      'shorterLog',
      fence({receivedPosition: {term: 1, position: 9}}),
      {receivedPosition: {term: 1, position: 9}},
    ],
    ['restarted', fence({startedAtEpochMs: 2}), {startedAtEpochMs: 2}],
    ['lost', fence({pausedTerm: 0}, false), {pausedTerm: 0}],
  ])('logs %s', (change, current, currentState) => {
    clock.advance(400);
    log.recordResponse('r1', fence(), current);
    expect(events.events).toEqual([
      {
        kind: 'fenceChanged',
        databaseGroup: 'group',
        changeId: 'c',
        backendServer: 'r1',
        change,
        previous: PAUSED,
        previousAgeMs: 400,
        current: {...PAUSED, ...currentState},
        lastError: null,
      },
    ]);
  });

  it('logs nothing for the first fence and for one that is the same', () => {
    log.recordResponse('r1', null, fence());
    log.recordResponse('r1', fence(), fence());
    log.recordResponse('r1', fence({}, false), fence());
    expect(events.events).toEqual([]);
  });

  it('logs once that a fence was not confirmed in time, with the error', () => {
    log.recordError('r1', {kind: 'unreachable', reason: 'x'.repeat(1_000)});
    log.recordExpired('r1', fence());
    log.recordExpired('r1', fence());
    expect(events.events).toHaveLength(1);
    const [event] = events.events;
    expect(event).toMatchObject({change: 'expired', current: null});
    expect(JSON.stringify(event).length).toBeLessThan(600);
  });
});
