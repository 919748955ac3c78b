import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {success} from '@filbertrun/base/result.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {createEntry} from '../testing/fake_instances.js';
import {BackendDirectory, REMOVED_RETENTION_MS} from './backend_directory.js';
import type {BackendServerEntry} from './backend_server_entry.js';
import {KnownInstances} from './known_instances.js';
import type {TableChanges} from './watchable_table.js';

function createListing(
  entries: readonly BackendServerEntry[],
): TableChanges<BackendServerEntry> {
  return {
    revision: 1,
    changes: entries.map(value => ({
      kind: 'put',
      key: value.backendServer,
      revision: 1,
      value,
    })),
  };
}

describe('KnownInstances', () => {
  let clock: VirtualClock;
  let directory: BackendDirectory;
  let rosterTable: FakeControlTable;
  let known: KnownInstances;

  beforeEach(() => {
    clock = VirtualClock.create();
    rosterTable = FakeControlTable.create(clock);
    directory = BackendDirectory.create({
      clock,
      events: InMemoryEventRecorder.create(),
      listener: {handleServerUpdated: () => {}, handleServerRemoved: () => {}},
    });
    known = KnownInstances.create({
      clock,
      directory,
      directoryTable: {
        list: () =>
          Promise.resolve(
            success(createListing([createEntry('p', 'primary')])),
          ),
        watch: () => Promise.resolve(success(createListing([]))),
      },
      rosterTable,
    });
  });

  // Guards against a change of primary after which nobody can tell why an
  // instance was missing from the choice.
  it('describes where it knows each instance from', async () => {
    rosterTable.seed('roster/group', [createEntry('r2', 'replica')]);
    directory.handleListing(
      createListing([
        createEntry('p', 'primary'),
        createEntry('r1', 'replica'),
      ]),
    );
    clock.advance(400);
    await known.listFromStore('group');
    clock.advance(30);
    const listing = known.describeLastListing('group');
    expect([...(listing?.sources ?? [])].sort()).toEqual([
      ['p', 'listed'],
      ['r1', 'remembered'],
      ['r2', 'roster'],
    ]);
    expect(listing).toMatchObject({
      hasCompleteHistory: false,
      historyAgeMs: 430,
      listingAgeMs: 30,
    });
  });

  // A read was proven fresh by a replica that lacked what another one, whose entry
  // had expired before the process started, had confirmed.
  it('is not complete before the roster was read', async () => {
    rosterTable.seed('roster/group', [createEntry('r2', 'replica')]);
    directory.handleListing(createListing([createEntry('r1', 'replica')]));
    clock.advance(REMOVED_RETENTION_MS);
    expect(known.listIfComplete('group')).toBeNull();
    await known.maintain(['group']);
    const names = known
      .listIfComplete('group')
      ?.map(({backendServer}) => backendServer);
    expect(names?.sort()).toEqual(['r1', 'r2']);
  });

  it('reads the roster again after the directory was listed again', async () => {
    directory.handleListing(createListing([createEntry('r1', 'replica')]));
    await known.maintain(['group']);
    clock.advance(5_000);
    directory.handleListing(createListing([createEntry('r1', 'replica')]));
    clock.advance(REMOVED_RETENTION_MS);
    expect(known.listIfComplete('group')).toBeNull();
    await known.maintain(['group']);
    expect(known.listIfComplete('group')).toHaveLength(1);
  });

  it('reads the roster of a group that is added later', async () => {
    directory.handleListing(createListing([createEntry('r1', 'replica')]));
    clock.advance(REMOVED_RETENTION_MS);
    await known.maintain(['other']);
    expect(known.listIfComplete('group')).toBeNull();
    clock.advance(1_000);
    await known.maintain(['other', 'group']);
    expect(known.listIfComplete('group')).toHaveLength(1);
  });

  it('describes no listing of a group that was not listed', () => {
    expect(known.describeLastListing('group')).toBeNull();
  });
});
