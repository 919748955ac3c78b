import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import {createEntry} from '../testing/fake_instances.js';
import {GroupInstances} from './group_instances.js';

const REPLICA = createEntry('r1', 'replica');

describe('GroupInstances', () => {
  let clock: VirtualClock;
  let listing: readonly BackendServerEntry[] | null;
  let listCount: number;
  let instances: GroupInstances;

  beforeEach(() => {
    clock = VirtualClock.create();
    listing = [REPLICA];
    listCount = 0;
    instances = GroupInstances.create({
      clock,
      databaseGroup: 'group',
      listInstances: () => {
        listCount++;
        return Promise.resolve(listing);
      },
    });
  });

  it('lists again after a while', async () => {
    await instances.list();
    clock.advance(400);
    await instances.list();
    expect(listCount).toBe(1);
    clock.advance(200);
    await instances.list();
    expect(listCount).toBe(2);
  });

  // Guards against a choice that lacks an instance which was listed before the last
  // possible acknowledgement.
  it('uses no listing from before a given time', async () => {
    await instances.list();
    clock.advance(100);
    listing = [REPLICA, createEntry('r2', 'replica')];
    expect(await instances.list(clock.nowMs())).toHaveLength(2);
  });

  it('is null while the platform is unreachable, and goes on finding entries', async () => {
    await instances.list();
    clock.advance(1_000);
    listing = null;
    expect(await instances.list()).toBeNull();
    expect(await instances.find('r1')).toEqual(REPLICA);
    expect(await instances.find('r2')).toBeNull();
  });
});
