import {SeededRandom} from '@filbertrun/base/random_source.js';
import {success} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import type {EntryVmRecord} from '../control/control_record.js';
import {FailoverLeaderLease} from '../control/failover_leader_lease.js';
import {
  BackendDirectory,
  REMOVED_RETENTION_MS,
} from '../directory/backend_directory.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import {KnownInstances} from '../directory/known_instances.js';
import {RemovedInstanceProber} from '../directory/removed_instance_prober.js';
import type {
  TableChanges,
  WatchableTable,
} from '../directory/watchable_table.js';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {
  getPrimaryRecordKey,
  type PrimaryRecord,
} from '../group/primary_record.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {createChangeDependencies} from '../testing/create_change_dependencies.js';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {createEntry, FakeInstances} from '../testing/fake_instances.js';
import {FakePeers} from '../testing/fake_peers.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {advanceClock} from '../testing/settle.js';
import {choosePromotionTarget} from './choose_promotion_target.js';
import {PrimaryChange} from './primary_change.js';

/** Choices of a promotion target that lack an acknowledged commit. */

const GROUP = 'group';
const KEY = getPrimaryRecordKey(GROUP);
const LEASE_END_MS = 12_000;
const CONTACT_WINDOW_MS = 1_400;

/** Time for which an entry that expired stays in use. */
const EXPIRY_GRACE_MS = 2_500;

/** Interval of the commits in these tests. */
const COMMIT_INTERVAL_MS = 50;

const STABLE: PrimaryRecord = {
  phase: 'stable',
  databaseGroup: GROUP,
  primary: 'p',
  term: 1,
  writesFromStoreMs: null,
};

describe('the choice of a promotion target', () => {
  let clock: VirtualClock;
  let table: FakeControlTable;
  let instances: FakeInstances;
  let peers: FakePeers;
  let events: InMemoryEventRecorder;
  let leaderLease: FailoverLeaderLease;
  /** End of the log that the callers know to be committed. */
  let acknowledgedPosition: number;

  beforeEach(async () => {
    clock = VirtualClock.create();
    table = FakeControlTable.create(clock);
    instances = FakeInstances.create(clock);
    peers = FakePeers.create();
    events = InMemoryEventRecorder.create();
    leaderLease = FailoverLeaderLease.create({
      entryVm: 'entry-1',
      incarnation: 'one',
      table,
      clockJumpDetector: createClockJumpDetector(),
      random: SeededRandom.create(1),
      events,
      mayAcquire: () => true,
    });
    await leaderLease.maintain();
    instances.add('p', 'primary', 10);
    instances.add('r1', 'replica', 10);
    instances.add('r2', 'replica', 10);
    acknowledgedPosition = 10;
    // All proxies have started again, so none remembers a position.
    peers.acknowledged.set('entry-1', null);
  });

  function createClockJumpDetector(): ClockJumpDetector {
    return ClockJumpDetector.create(clock, FakeWallClock.create(clock));
  }

  function start(
    holders: readonly EntryVmRecord[],
    listInstances: () => Promise<readonly BackendServerEntry[] | null> = () =>
      Promise.resolve(instances.listEntries()),
  ): void {
    const revision = table.seed(KEY, STABLE);
    const change = PrimaryChange.create(
      {
        ...createChangeDependencies({
          clock,
          table,
          peers,
          instances,
          leaderLease,
          events,
          holders: holders.map(record => ({
            record,
            leaseEndMs: clock.nowMs() + LEASE_END_MS,
          })),
        }),
        listInstances,
      },
      {record: STABLE, revision},
      0,
      'unreachable',
    );
    void change.run();
  }

  async function advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
      void leaderLease.maintain();
      await advanceClock(clock, Math.min(50, durationMs - elapsedMs));
    }
  }

  /**
   * Lets a proxy commit at the old primary until a promotion takes effect. A
   * proxy without contact acknowledges nothing, so the tests stay within the
   * contact window after the intent.
   */
  async function commitFor(durationMs: number): Promise<void> {
    for (
      let elapsedMs = 0;
      elapsedMs < durationMs;
      elapsedMs += COMMIT_INTERVAL_MS
    ) {
      const isOldTerm = findPromoted() === null;
      if (isOldTerm && instances.commit()) {
        acknowledgedPosition = instances.get('p').position.position;
      }
      await advance(COMMIT_INTERVAL_MS);
    }
  }

  function findPromoted(): string | null {
    for (const [backendServer, {role, term}] of instances.instances) {
      if (role === 'primary' && term > 1) {
        return backendServer;
      }
    }
    return null;
  }

  /** Acknowledged commits that the promoted instance lacks. */
  function countLostCommits(): number {
    const promoted = findPromoted();
    return promoted === null
      ? 0
      : acknowledgedPosition - instances.get(promoted).position.position;
  }

  // A replica that restarts before the effect of the order receives again and
  // confirms the commits of a proxy that has not released.
  it('lacks no commit confirmed by a replica that restarts before the effect of the order', async () => {
    instances.get('p').isReachable = false;
    start([
      createEntryVm('entry-1', 'zone-a'),
      createEntryVm('entry-2', 'zone-b'),
    ]);
    await advance(250);
    instances.restart('r2');
    await commitFor(800);
    expect(countLostCommits()).toBe(0);
  });

  // The choice is made, then the write of its record is retried for a second.
  it('lacks no commit confirmed while the store is slow to record the choice', async () => {
    instances.get('p').isReachable = false;
    start([
      createEntryVm('entry-1', 'zone-a'),
      createEntryVm('entry-2', 'zone-b'),
    ]);
    await advance(200);
    table.writeMode = 'unavailable';
    await advance(100);
    instances.restart('r2');
    await commitFor(700);
    table.writeMode = 'answered';
    await commitFor(300);
    await advance(1_000);
    expect(countLostCommits()).toBe(0);
  });

  // Its pause is not confirmed again: the old primary returns as a primary with
  // its log, since no instance has been promoted, and a replica that is not fenced
  // confirms its commits.
  it('lacks no commit of an old primary that restarts after it has stepped down', async () => {
    instances.get('r2').isReachable = false;
    start([
      createEntryVm('entry-1', 'zone-a'),
      createEntryVm('entry-2', 'zone-b'),
    ]);
    await advance(250);
    instances.get('p').role = 'primary';
    await commitFor(800);
    await advance(1_500);
    expect(findPromoted()).not.toBeNull();
    expect(countLostCommits()).toBe(0);
  });

  // An instance that has just started receives before it is listed.
  it('lacks no commit confirmed by an instance that is not listed yet', async () => {
    instances.get('p').isReachable = false;
    instances.add('r3', 'replica', 10).isListed = false;
    start([
      createEntryVm('entry-1', 'zone-a'),
      createEntryVm('entry-2', 'zone-b'),
    ]);
    await advance(200);
    await commitFor(800);
    instances.get('r3').isListed = true;
    await advance(1_000);
    expect(countLostCommits()).toBe(0);
  });

  // The log of a drained replica was transferred to an instance at its address,
  // which is not listed yet.
  it('counts the log of a replica whose address another instance has taken over', async () => {
    instances.get('p').isRunning = false;
    instances.get('r1').position = {term: 1, position: 7};
    instances.get('r2').isReplaced = true;
    instances.add('r2-successor', 'replica', 10, 'host-r2').isListed = false;
    start([createEntryVm('entry-1', 'zone-a')]);
    await advance(450);
    instances.get('r2-successor').isListed = true;
    await advance(3_000);
    expect(countLostCommits()).toBe(0);
  });

  // A replica without a path to the store goes on confirming; its roster entry is
  // dropped after the retention time, though it still responds.
  it('counts a replica that still responds long after its entry expired', async () => {
    const rosterTable = FakeControlTable.create(clock);
    const before = createKnown(rosterTable);
    before.directory.handleListing(listInstances());
    await advance(REMOVED_RETENTION_MS);
    await before.known.roster.maintain([GROUP], 1);
    instances.get('r2').isListed = false;
    before.directory.handleListing(listInstances());
    const prober = RemovedInstanceProber.create({
      clock,
      instances,
      directory: before.directory,
    });
    for (
      let elapsedMs = 0;
      elapsedMs < EXPIRY_GRACE_MS + 2 * REMOVED_RETENTION_MS;
      elapsedMs += 1_000
    ) {
      await advance(1_000);
      await prober.maintain(true);
      await before.known.roster.maintain([GROUP], 1);
    }
    instances.get('r1').isReceiving = false;
    await commitFor(1_000);
    expect(acknowledgedPosition).toBeGreaterThan(10);
    // All proxies lose power, and the primary is lost.
    instances.get('p').isRunning = false;
    const after = createKnown(rosterTable);
    after.directory.handleListing(listInstances());
    start([createEntryVm('entry-1', 'zone-a')], () =>
      after.known.listFromStore(GROUP),
    );
    await advance(3_000);
    expect(countLostCommits()).toBe(0);
  });

  // The time since the first listing includes the time without the store.
  it('counts a replica that came and expired while this process was cut off from the store', async () => {
    const rosterTable = FakeControlTable.create(clock);
    instances.get('r2').isListed = false;
    const cutOff = createKnown(rosterTable);
    cutOff.directory.handleListing(listInstances());
    // Another process leads meanwhile, and sees the replica come and expire.
    instances.get('r2').isListed = true;
    const other = createKnown(rosterTable);
    other.directory.handleListing(listInstances());
    await advance(REMOVED_RETENTION_MS);
    await other.known.roster.maintain([GROUP], 1);
    instances.get('r2').isListed = false;
    instances.get('r1').isReceiving = false;
    await commitFor(1_000);
    expect(acknowledgedPosition).toBeGreaterThan(10);
    instances.get('p').isRunning = false;
    // The process reaches the store again and leads.
    cutOff.directory.handleListing(listInstances());
    start([createEntryVm('entry-1', 'zone-a')], () =>
      cutOff.known.listFromStore(GROUP),
    );
    await advance(3_000);
    expect(countLostCommits()).toBe(0);
  });

  // A row that another writer has put over that of a replica names a group that
  // no configuration has.
  it('counts a replica whose entry was overwritten with another group', async () => {
    const rosterTable = FakeControlTable.create(clock);
    const before = createKnown(rosterTable);
    before.directory.handleListing(listInstances());
    await advance(REMOVED_RETENTION_MS);
    await before.known.roster.maintain([GROUP], 1);
    for (const revision of [2, 3]) {
      before.directory.handleChanges({
        revision,
        changes: [
          {
            kind: 'put',
            key: 'r2',
            revision,
            value: {...createEntry('r2', 'replica'), databaseGroup: 'unknown'},
          },
        ],
      });
    }
    before.directory.handleChanges({
      revision: 4,
      changes: [{kind: 'removed', key: 'r2', revision: 4}],
    });
    await advance(EXPIRY_GRACE_MS);
    const names = before.known
      .listKnown(GROUP)
      .map(({backendServer}) => backendServer);
    expect(names).toContain('r2');
  });

  // The old primary returned with less than a paused replica holds; the replica
  // that is not draining is preferred although its log is shorter.
  it('requires the longest log seen, not only that of the old primary', () => {
    const choice = choosePromotionTarget(
      [
        describeInstance('p', 7, {isOldPrimary: true}),
        describeInstance('r1', 7, {}),
        describeInstance('r2', 10, {isDraining: true}),
        describeInstance('r3', 10, {isFenced: false}),
      ],
      null,
    );
    expect(choice).toMatchObject({kind: 'promote', target: 'r2'});
  });

  /** The directory and the known instances of one process. */
  function createKnown(rosterTable: FakeControlTable): {
    readonly directory: BackendDirectory;
    readonly known: KnownInstances;
  } {
    const directory = BackendDirectory.create({
      clock,
      events,
      listener: {
        handleServerUpdated: () => {},
        handleServerRemoved: () => {},
      },
    });
    const directoryTable: WatchableTable<BackendServerEntry> = {
      list: () => Promise.resolve(success(listInstances())),
      watch: () => Promise.resolve(success({changes: [], revision: 1})),
    };
    const known = KnownInstances.create({
      clock,
      directory,
      directoryTable,
      rosterTable,
    });
    return {directory, known};
  }

  /** A listing of the directory table. */
  function listInstances(): TableChanges<BackendServerEntry> {
    return {
      revision: 1,
      changes: instances.listEntries().map(value => ({
        kind: 'put' as const,
        key: value.backendServer,
        revision: 1,
        value,
      })),
    };
  }
});

function describeInstance(
  backendServer: string,
  position: number,
  flags: Partial<Parameters<typeof choosePromotionTarget>[0][number]>,
): Parameters<typeof choosePromotionTarget>[0][number] {
  return {
    backendServer,
    isOldPrimary: false,
    isFenced: true,
    isDraining: false,
    isPromotable: true,
    isInLeaderZone: false,
    receivedPosition: {term: 1, position},
    ...flags,
  };
}

function createEntryVm(
  entryVm: string,
  availabilityZone: string,
): EntryVmRecord {
  return createEntryVmRecord(entryVm, availabilityZone, {
    leaseEndStoreMs: LEASE_END_MS,
    contactWindowMs: CONTACT_WINDOW_MS,
  });
}
