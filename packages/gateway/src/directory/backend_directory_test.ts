import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {RecordedEvents} from '../observability/gateway_events.js';
import {createEntry} from '../testing/fake_instances.js';
import {BackendDirectory} from './backend_directory.js';
import type {BackendServerEntry} from './backend_server_entry.js';
import type {TableChange, TableChanges} from './watchable_table.js';

function put(entry: BackendServerEntry): TableChange<BackendServerEntry> {
  return {kind: 'put', key: entry.backendServer, revision: 1, value: entry};
}

function group(
  ...changes: TableChange<BackendServerEntry>[]
): TableChanges<BackendServerEntry> {
  return {changes, revision: 1};
}

describe('BackendDirectory', () => {
  let clock: VirtualClock;
  let gone: string[];
  let directory: BackendDirectory;

  beforeEach(() => {
    clock = VirtualClock.create();
    gone = [];
    directory = BackendDirectory.create({
      clock,
      events: RecordedEvents.create(),
      listener: {
        handleServerUpdated: () => {},
        handleServerGone: entry => gone.push(entry.backendServer),
      },
    });
  });

  it('keeps a server for a while whose entry expired', () => {
    directory.handleListing(group(put(createEntry('a', 'replica'))));
    directory.handleChanges(group({kind: 'removed', key: 'a', revision: 2}));
    clock.advance(2_400);
    expect(directory.getEntry('a')).not.toBeNull();
    clock.advance(200);
    expect(directory.getEntry('a')).toBeNull();
    expect(gone).toEqual(['a']);
  });

  it('keeps a server whose entry comes back in time', () => {
    const entry = createEntry('a', 'replica');
    directory.handleListing(group(put(entry)));
    directory.handleListing(group());
    clock.advance(1_500);
    directory.handleChanges(group(put(entry)));
    clock.advance(10_000);
    expect(gone).toEqual([]);
  });

  it('drops a drained server at once', () => {
    const entry = {...createEntry('a', 'replica'), state: 'draining' as const};
    directory.handleListing(group(put(entry)));
    directory.handleChanges(group({kind: 'removed', key: 'a', revision: 2}));
    expect(gone).toEqual(['a']);
  });

  it('remembers for a while a server that is gone, since it may still run', () => {
    const entry = {...createEntry('a', 'replica'), state: 'draining' as const};
    directory.handleListing(group(put(entry)));
    directory.handleChanges(group({kind: 'removed', key: 'a', revision: 2}));
    clock.advance(11_000);
    expect(directory.getDeparted()).toEqual([entry]);
    clock.advance(2_000);
    expect(directory.getDeparted()).toEqual([]);
  });

  it('takes an entry that can not be read for no server, and keeps the others', () => {
    directory.handleListing(
      group(put(createEntry('a', 'replica')), {
        kind: 'unreadable',
        key: 'x',
        revision: 1,
        reason: 'test',
      }),
    );
    expect(directory.getEntries()).toHaveLength(1);
  });
});
