import {beforeEach, describe, expect, it} from 'vitest';
import {CustomerDirectory} from '../customer/customer_directory.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import {createEntry} from '../testing/fake_instances.js';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import {SessionTestHarness} from '../testing/session_test_harness.js';
import {ConnectionShares} from './connection_shares.js';
import type {EntryVmRecord} from './control_record.js';
import {ZoneRegions} from './zone_regions.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

const FORWARD_PORT = 1;

/**
 * Connection limit with which 20 proxies have a direct share of 3, 26 one of 2
 * and 27 one of 1.
 */
const MAX_CONNECTIONS = 82;

function createRecords(count: number): readonly EntryVmRecord[] {
  const records: EntryVmRecord[] = [];
  for (let index = 0; index < count; index++) {
    const zone = ZONES[index % ZONES.length] ?? '';
    records.push(
      createEntryVmRecord(`vm-${index}`, zone, {forwardPort: FORWARD_PORT}),
    );
  }
  return records;
}

describe('ConnectionShares', () => {
  let harness: SessionTestHarness;
  let group: GroupRuntime;
  let records: readonly EntryVmRecord[];
  let maxConnections: number;
  let isHolder: boolean;
  let customers: CustomerDirectory | null;
  let shares: ConnectionShares;

  beforeEach(() => {
    harness = SessionTestHarness.create();
    ({group} = harness);
    records = [];
    maxConnections = MAX_CONNECTIONS;
    isHolder = false;
    customers = CustomerDirectory.create([]);
    shares = ConnectionShares.create({
      clock: harness.clock,
      availabilityZone: 'zone-a',
      zoneRegions: ZoneRegions.create(
        new Map([
          ['zone-a', 'east'],
          ['zone-b', 'east'],
          ['zone-c', 'west'],
        ]),
      ),
      events: harness.events,
      registration: {
        getEntryVms: () => records,
        getOtherEntryVms: () => records.slice(1),
        hasPredecessor: false,
      },
      groups: new Map([['group', group]]),
      canForward: true,
      getConfiguration: () => ({
        ...harness.getConfiguration(),
        customers,
        databaseGroups: new Map([
          [
            'group',
            {
              databaseGroup: 'group',
              maxConnections,
              synchronousReplicaCount: 1,
            },
          ],
        ]),
      }),
      hasRegistrations: () => true,
      isHolder: () => isHolder,
    });
  });

  function apply(entryVmCount: number): boolean {
    records = createRecords(entryVmCount);
    shares.apply();
    return group.hasSharedAccess;
  }

  // Guards against pools that change their order and their connections each time
  // a proxy is restarted.
  it('keeps shared access while single proxies come and go', () => {
    expect(apply(26)).toBe(false);
    expect(apply(27)).toBe(true);
    expect(apply(26)).toBe(true);
    expect(apply(27)).toBe(true);
  });

  // Guards against hops where one connection for each proxy serves all its callers.
  it('shares access without customers only where connections are fewer than proxies', () => {
    customers = null;
    maxConnections = 66;
    expect(apply(36)).toBe(false);
    maxConnections = 46;
    expect(apply(83)).toBe(true);
  });

  // Guards against the same where zones have just enough proxies to share.
  it('keeps shared access while a proxy of a small zone is restarted', () => {
    maxConnections = 16;
    expect(apply(8)).toBe(false);
    expect(apply(9)).toBe(true);
    expect(apply(8)).toBe(true);
    expect(apply(5)).toBe(false);
  });

  // Guards against shared access where proxies have always had 3 connections.
  it('returns to direct access when each proxy may open three connections', () => {
    expect(apply(27)).toBe(true);
    expect(apply(20)).toBe(false);
  });

  // Guards against a log that names no holder while the share of a zone is one
  // connection, as beside many proxies of an older build.
  it('reports a change of the holder that does not change the share', () => {
    maxConnections = 6;
    apply(27);
    isHolder = true;
    apply(27);
    const changes = harness.events.events.filter(
      ({kind}) => kind === 'accessChanged',
    );
    expect(changes).toMatchObject([
      {isShared: true, isHolder: false, maxConnections: 1},
      {isShared: true, isHolder: true, maxConnections: 1},
    ]);
  });

  it('gives the holder more connections to an instance in another region', () => {
    records = createRecords(37);
    isHolder = true;
    group.updateServer({
      ...createEntry('r2', 'replica'),
      availabilityZone: 'zone-c',
    });
    shares.apply();
    // 80 connections: two near zones of 1, one far of 2 and its spare of 2.
    expect(group.getConnectionLimit('zone-a')).toBe(13);
    expect(group.getConnectionLimit('zone-c')).toBe(22);
  });
});
