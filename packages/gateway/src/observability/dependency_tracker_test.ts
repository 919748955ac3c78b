import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {describe, expect, it} from 'vitest';
import {DependencyTracker} from './dependency_tracker.js';
import {RecordedEvents} from './gateway_events.js';

describe('DependencyTracker', () => {
  it('logs a loss once and its duration when the dependency recovers', () => {
    const clock = VirtualClock.create();
    const events = RecordedEvents.create();
    const tracker = DependencyTracker.create({
      dependency: 'store',
      clock,
      events,
    });
    tracker.noteAvailable();
    tracker.noteLost('silent');
    clock.advance(300);
    tracker.noteLost('refused');
    clock.advance(200);
    tracker.noteAvailable();
    tracker.noteAvailable();
    expect(events.events).toEqual([
      {kind: 'dependencyLost', dependency: 'store', reason: 'silent'},
      {kind: 'dependencyRegained', dependency: 'store', lostForMs: 500},
    ]);
  });
});
