import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {createEntry} from '../testing/fake_instances.js';
import {BackendDirectory} from './backend_directory.js';
import type {BackendServerEntry} from './backend_server_entry.js';
import type {TableChange, TableChanges} from './watchable_table.js';

function put(entry: BackendServerEntry): TableChange<BackendServerEntry> {
  return {kind: 'put', key: entry.backendServer, revision: 1, value: entry};
}

function createChanges(
  ...changes: TableChange<BackendServerEntry>[]
): TableChanges<BackendServerEntry> {
  return {changes, revision: 1};
}

describe('BackendDirectory', () => {
  let clock: VirtualClock;
  let removed: string[];
  let directory: BackendDirectory;

  beforeEach(() => {
    clock = VirtualClock.create();
    removed = [];
    directory = BackendDirectory.create({
      clock,
      events: InMemoryEventRecorder.create(),
      listener: {
        handleServerUpdated: () => {},
        handleServerRemoved: entry => removed.push(entry.backendServer),
      },
    });
  });

  it('keeps a server for a grace period after its entry has expired', () => {
    directory.handleListing(createChanges(put(createEntry('a', 'replica'))));
    directory.handleChanges(
      createChanges({kind: 'removed', key: 'a', revision: 2}),
    );
    clock.advance(2_400);
    expect(directory.getEntry('a')).not.toBeNull();
    clock.advance(200);
    expect(directory.getEntry('a')).toBeNull();
    expect(removed).toEqual(['a']);
  });

  it('keeps a server whose entry returns within the grace period', () => {
    const entry = createEntry('a', 'replica');
    directory.handleListing(createChanges(put(entry)));
    directory.handleListing(createChanges());
    clock.advance(1_500);
    directory.handleChanges(createChanges(put(entry)));
    clock.advance(10_000);
    expect(removed).toEqual([]);
  });

  it('removes a drained server immediately when its entry is removed', () => {
    const entry = {...createEntry('a', 'replica'), state: 'draining' as const};
    directory.handleListing(createChanges(put(entry)));
    directory.handleChanges(
      createChanges({kind: 'removed', key: 'a', revision: 2}),
    );
    expect(removed).toEqual(['a']);
  });

  it('lists a removed server for as long as it may still be running', () => {
    const entry = {...createEntry('a', 'replica'), state: 'draining' as const};
    directory.handleListing(createChanges(put(entry)));
    directory.handleChanges(
      createChanges({kind: 'removed', key: 'a', revision: 2}),
    );
    clock.advance(11_000);
    expect(directory.getRecentlyRemoved()).toEqual([entry]);
    clock.advance(2_000);
    expect(directory.getRecentlyRemoved()).toEqual([]);
  });

  it('ignores an unreadable entry and keeps the others', () => {
    directory.handleListing(
      createChanges(put(createEntry('a', 'replica')), {
        kind: 'unreadable',
        key: 'x',
        revision: 1,
        reason: 'test',
      }),
    );
    expect(directory.getEntries()).toHaveLength(1);
  });
});
