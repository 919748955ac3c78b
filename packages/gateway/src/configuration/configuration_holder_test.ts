import {beforeEach, describe, expect, it} from 'vitest';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {ConfigurationHolder} from './configuration_holder.js';
import {EMPTY_CONFIGURATION} from './configuration_delta.js';

describe('ConfigurationHolder', () => {
  let events: InMemoryEventRecorder;
  let holder: ConfigurationHolder;
  let applied: number[];
  let failuresLeft: number;

  beforeEach(() => {
    events = InMemoryEventRecorder.create();
    applied = [];
    failuresLeft = 0;
    holder = ConfigurationHolder.create({
      key: 'config',
      events,
      listener: ({version}) => {
        if (failuresLeft > 0) {
          failuresLeft--;
          throw new Error('test');
        }
        applied.push(version);
      },
    });
  });

  function list(version: number): void {
    const value = {...EMPTY_CONFIGURATION, version};
    const put = {kind: 'put', key: 'config', revision: version, value} as const;
    holder.handleListing({changes: [put], revision: version});
  }

  it('applies each newer version once', () => {
    for (const version of [3, 3, 2, 5]) {
      list(version);
    }
    expect(applied).toEqual([3, 5]);
    expect(holder.current?.version).toBe(5);
  });

  // The groups and limits of a version were never applied after a failure.
  it('applies a version again whose listener has failed', () => {
    failuresLeft = 1;
    expect(() => list(3)).toThrow('test');
    list(3);
    list(3);
    expect(applied).toEqual([3]);
  });

  it('tells from whom and how a version came', () => {
    const value = {...EMPTY_CONFIGURATION, version: 4};
    holder.handleChanges({
      changes: [{kind: 'put', key: 'config', revision: 9, value}],
      revision: 9,
      responseBytes: 700,
      read: {source: 'entry-1', durationMs: 40},
    });
    expect(events.events).toEqual([
      {
        kind: 'configurationTaken',
        version: 4,
        previousVersion: 0,
        routeCount: 0,
        source: 'entry-1',
        responseBytes: 700,
        durationMs: 40,
      },
    ]);
  });
});
