import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {bindTable} from '../simulation/mutant_wrappers.js';
import {createEntry} from '../testing/fake_instances.js';
import type {BackendServerEntry} from './backend_server_entry.js';
import {GroupRoster} from './group_roster.js';

describe('GroupRoster', () => {
  let clock: VirtualClock;
  let table: FakeControlTable;

  beforeEach(() => {
    clock = VirtualClock.create();
    table = FakeControlTable.create(clock);
  });

  function create(
    known: readonly BackendServerEntry[],
    hasCompleteHistory: boolean,
  ): GroupRoster {
    return GroupRoster.create({
      clock,
      table,
      listKnown: () => [...known],
      handleRead: () => {},
      hasCompleteHistory: () => hasCompleteHistory,
    });
  }

  async function maintain(
    roster: GroupRoster,
    fencingToken = 1,
  ): Promise<void> {
    clock.advance(1_000);
    await roster.maintain(['group'], fencingToken);
  }

  async function readNames(): Promise<readonly string[] | null> {
    const entries = await create([], false).read('group');
    return entries?.map(({backendServer}) => backendServer).sort() ?? null;
  }

  it('lists the instances to a newly started process', async () => {
    await maintain(
      create([createEntry('p', 'primary'), createEntry('r', 'replica')], true),
    );
    expect(await readNames()).toEqual(['p', 'r']);
  });

  it('is written only when the instances or their start times change', async () => {
    const known = [createEntry('p', 'primary')];
    const roster = create(known, true);
    await maintain(roster);
    await maintain(roster);
    expect(table.writeCount).toBe(1);
    known[0] = {...createEntry('p', 'primary'), startedAtEpochMs: 2};
    await maintain(roster);
    expect(table.writeCount).toBe(2);
  });

  it('keeps stored instances when a process without a complete removal history writes it', async () => {
    await maintain(
      create([createEntry('p', 'primary'), createEntry('r', 'replica')], true),
    );
    await maintain(create([createEntry('p', 'primary')], false));
    expect(await readNames()).toEqual(['p', 'r']);
    await maintain(create([createEntry('p', 'primary')], true));
    expect(await readNames()).toEqual(['p']);
  });

  // Guards against a roster that lacks an instance: its last writer was killed, and
  // this process compared its instances with the roster of its earlier leadership.
  it('writes a roster that another leader has changed meanwhile', async () => {
    const known = [createEntry('p', 'primary'), createEntry('r', 'replica')];
    const roster = create(known, true);
    await maintain(roster, 1);
    await maintain(create([createEntry('p', 'primary')], true), 2);
    await maintain(roster, 3);
    expect(await readNames()).toEqual(['p', 'r']);
  });

  it('is null while the store is unavailable and empty if there is no record', async () => {
    expect(await readNames()).toEqual([]);
    table.isReadable = false;
    expect(await readNames()).toBeNull();
  });

  it('is overwritten by a process whose known instances differ', async () => {
    const first = create([createEntry('p', 'primary')], true);
    await maintain(first);
    await maintain(create([createEntry('r', 'replica')], true));
    const third = create([createEntry('p', 'primary')], true);
    await maintain(third);
    expect(await readNames()).toEqual(['p']);
  });

  it('reads and writes the rosters of all groups with one call each', async () => {
    const names = Array.from({length: 40}, (_unused, index) => `g${index}`);
    let listingCount = 0;
    const roster = GroupRoster.create({
      clock,
      table: {
        ...bindTable(table),
        listEntries: () => {
          listingCount++;
          return table.listEntries();
        },
      },
      listKnown: group => [createEntry(`${group}-p`, 'primary')],
      handleRead: () => {},
      hasCompleteHistory: () => true,
    });
    clock.advance(1_000);
    await roster.maintain(names, 1);
    expect(listingCount).toBe(1);
    expect(table.writeCount).toBe(1);
    expect(await roster.read('g39')).toHaveLength(1);
  });

  // Guards against a promotion that waits for an instance that does not exist.
  it('leaves out stored entries that name no instance', async () => {
    const valid = createEntry('p', 'primary');
    table.seed('roster/group', [
      {...valid, backendServer: 'x', port: 70_000},
      valid,
      {...valid, backendServer: 'y', port: 0},
      {...valid, backendServer: 'z', startedAtEpochMs: 1.5},
      null,
    ]);
    expect(await readNames()).toEqual(['p']);
  });
});
