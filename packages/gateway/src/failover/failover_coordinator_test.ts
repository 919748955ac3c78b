import {SeededRandom} from '@filbertrun/base/random_source.js';
import {beforeEach, describe, expect, it} from 'vitest';
import type {EntryVmRecord} from '../control/control_record.js';
import {FailoverLeaderLease} from '../control/failover_leader_lease.js';
import {
  getPrimaryRecordKey,
  type PrimaryRecord,
} from '../group/primary_record.js';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import {createChangeDependencies} from '../testing/create_change_dependencies.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {FakeInstances} from '../testing/fake_instances.js';
import {FakePeers} from '../testing/fake_peers.js';
import {SessionTestHarness} from '../testing/session_test_harness.js';
import {advanceClock} from '../testing/settle.js';
import {FailoverCoordinator} from './failover_coordinator.js';

const KEY = getPrimaryRecordKey('group');
/** End of the other proxy's lease on the clock that all fakes share. */
const LEASE_END_MS = 22_000;
const OTHER: EntryVmRecord = createEntryVmRecord('entry-2', 'zone-a', {
  leaseEndStoreMs: LEASE_END_MS,
});

describe('FailoverCoordinator', () => {
  let harness: SessionTestHarness;
  let table: FakeControlTable;
  let instances: FakeInstances;
  let peers: FakePeers;
  let leaderLease: FailoverLeaderLease;
  let records: PrimaryRecord[];

  beforeEach(async () => {
    harness = SessionTestHarness.create();
    const {clock, clockJumpDetector, events} = harness;
    table = FakeControlTable.create(clock);
    instances = FakeInstances.create(clock);
    peers = FakePeers.create();
    records = [];
    leaderLease = FailoverLeaderLease.create({
      entryVm: 'entry-1',
      incarnation: 'one',
      table,
      clockJumpDetector,
      random: SeededRandom.create(1),
      events,
      mayAcquire: () => true,
    });
    await leaderLease.maintain();
  });

  /** A group whose record names `p`, although `r1` leads a later term. */
  function startWithOtherPrimary(): void {
    instances.add('p', 'replica', 10);
    const primary = instances.add('r1', 'primary', 10);
    primary.term = 2;
    instances.add('r2', 'replica', 10);
    for (const entry of instances.listEntries()) {
      harness.group.updateServer(entry);
    }
    const revision = table.seed(KEY, {
      phase: 'stable',
      databaseGroup: 'group',
      primary: 'p',
      term: 1,
      writesFromStoreMs: null,
    });
    harness.grantLease('p', 1, revision);
    createCoordinator().start();
  }

  function createCoordinator(): FailoverCoordinator {
    const {clock, group, backend, events} = harness;
    return FailoverCoordinator.create({
      ...createChangeDependencies({
        clock,
        table,
        peers,
        instances,
        leaderLease,
        events,
        holders: [{record: OTHER, leaseEndMs: LEASE_END_MS}],
      }),
      connector: backend,
      directory: {
        isListed: true,
        getEntry: id =>
          instances
            .listEntries()
            .find(({backendServer}) => backendServer === id) ?? null,
      },
      getGroups: () => [group],
      getOtherEntryVms: () => [OTHER],
      isTableRead: () => true,
      handleRecord: revised => {
        records.push(revised.record);
        group.applyAnnouncedRecord(revised);
      },
    });
  }

  async function advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
      void leaderLease.maintain();
      await advanceClock(harness.clock, 100);
    }
  }

  // Guards against stale strict reads: a proxy that still held a lease on the
  // recorded primary read there while writes went to the adopted one.
  it('asks every proxy for a release before it records another primary', async () => {
    peers.acknowledged.set('entry-2', null);
    startWithOtherPrimary();
    await advance(3_000);
    expect(peers.released).toHaveLength(1);
    expect(records.map(({phase}) => phase)).toEqual(['changing', 'stable']);
    expect(table.getValue(KEY)).toMatchObject({
      phase: 'stable',
      primary: 'r1',
      term: 2,
      writesFromStoreMs: null,
    });
    expect(instances.orders).toEqual([]);
  });

  it('allows no writes at another primary before an unreleased lease ends', async () => {
    startWithOtherPrimary();
    await advance(3_000);
    expect(table.getValue(KEY)).toMatchObject({
      phase: 'stable',
      primary: 'r1',
    });
    const stable = records.at(-1);
    const writesFromMs =
      stable?.phase === 'stable' ? stable.writesFromStoreMs : null;
    expect(writesFromMs).toBeGreaterThanOrEqual(LEASE_END_MS);
  });

  it('announces another primary to the other proxies', async () => {
    peers.acknowledged.set('entry-2', null);
    startWithOtherPrimary();
    await advance(3_000);
    expect(peers.announcements.at(-1)?.record).toMatchObject({
      phase: 'stable',
      primary: 'r1',
    });
  });

  // Guards against a group that nobody checks again, and against the end of the
  // process, when a dependency throws.
  it('checks a group again after a dependency has thrown', async () => {
    peers.acknowledged.set('entry-2', null);
    const getStatus = instances.getStatus.bind(instances);
    instances.getStatus = () => {
      instances.getStatus = getStatus;
      return Promise.reject(new RangeError('test'));
    };
    startWithOtherPrimary();
    await advance(5_000);
    expect(harness.events.events).toContainEqual({
      kind: 'taskFailed',
      task: 'check of group',
      reason: 'test',
    });
    expect(table.getValue(KEY)).toMatchObject({phase: 'stable', primary: 'r1'});
  });
});
