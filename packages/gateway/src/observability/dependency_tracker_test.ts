import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {describe, expect, it} from 'vitest';
import {DependencyTracker} from './dependency_tracker.js';
import {InMemoryEventRecorder} from './gateway_event_recorder.js';

describe('DependencyTracker', () => {
  it('logs a loss once and its duration when the dependency recovers', () => {
    const clock = VirtualClock.create();
    const events = InMemoryEventRecorder.create();
    const tracker = DependencyTracker.create({
      dependency: 'store',
      clock,
      events,
    });
    tracker.markAvailable();
    tracker.markLost('silent');
    clock.advance(300);
    tracker.markLost('refused');
    clock.advance(200);
    tracker.markAvailable();
    tracker.markAvailable();
    expect(events.events).toEqual([
      {kind: 'dependencyLost', dependency: 'store', reason: 'silent'},
      {kind: 'dependencyRegained', dependency: 'store', lostForMs: 500},
    ]);
  });
});
