import {SeededRandom} from '@filbertrun/base/random_source.js';
import {success} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {ContactRenewer} from '../control/contact_renewer.js';
import {ContactTracker} from '../control/contact_tracker.js';
import {FailoverLeaderLease} from '../control/failover_leader_lease.js';
import {BackendDirectory} from '../directory/backend_directory.js';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {GroupRegistry} from '../group/group_registry.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import type {LeaseGrant} from '../group/primary_lease.js';
import type {RevisedPrimaryRecord} from '../group/primary_record.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import {FakeBackend} from '../testing/fake_backend.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {createEntry} from '../testing/fake_instances.js';
import {FakePeers} from '../testing/fake_peers.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {advanceClock} from '../testing/settle.js';
import {PeerRequestHandler} from './peer_request_handler.js';

/**
 * A proxy that has read the primary records but has no configuration yet, as
 * after a start of all proxies.
 */

const GROUP = 'group';
const CONTACT_WINDOW_MS = 1_400;
const LEASE_MS = 12_000;

/** The record that was read before the intent. */
const STABLE: RevisedPrimaryRecord = {
  revision: 10,
  record: {
    phase: 'stable',
    databaseGroup: GROUP,
    primary: 'p',
    term: 1,
    writesFromStoreMs: null,
  },
};

const RELEASE = {
  databaseGroup: GROUP,
  changeId: 'change',
  oldTerm: 1,
  revision: 11,
};

describe('a proxy that has no configuration yet', () => {
  let clock: VirtualClock;
  let clockJumpDetector: ClockJumpDetector;
  let contact: ContactTracker;
  let registry: GroupRegistry;
  let handler: PeerRequestHandler;
  let listingGrant: LeaseGrant;

  beforeEach(() => {
    clock = VirtualClock.create();
    clockJumpDetector = ClockJumpDetector.create(
      clock,
      FakeWallClock.create(clock),
    );
    clock.advance(1_000);
    contact = ContactTracker.create(clockJumpDetector, CONTACT_WINDOW_MS);
    const events = InMemoryEventRecorder.create();
    const connector = FakeBackend.create(clock);
    const directory = BackendDirectory.create({
      clock,
      events,
      listener: {
        handleServerUpdated: () => {},
        handleServerRemoved: () => {},
      },
    });
    directory.handleListing({
      revision: 1,
      changes: [
        {
          kind: 'put',
          key: 'p',
          revision: 1,
          value: createEntry('p', 'primary'),
        },
      ],
    });
    registry = GroupRegistry.create({
      shared: {
        availabilityZone: 'zone-a',
        clock,
        clockJumpDetector,
        contact,
        random: SeededRandom.create(1),
        connector,
        events,
        drainDurationMs: 7_000,
        getUnwatchedMs: () => 0,
      },
      getDirectory: () => directory,
    });
    handler = PeerRequestHandler.create({
      clock,
      events,
      incarnation: 'two',
      registry,
      leaderLease: FailoverLeaderLease.create({
        entryVm: 'entry-1',
        incarnation: 'two',
        table: FakeControlTable.create(clock),
        clockJumpDetector,
        random: SeededRandom.create(1),
        events,
        mayAcquire: () => true,
      }),
      directory,
      connector,
      isStopping: () => false,
      handleSuspicionReport: () => {},
      readControlTable: () => {},
      maintainLeadership: () => {},
      handleUpdateRequest: () => Promise.resolve(null),
      exchangePermits: () => null,
    });
    // The table is read, with the own registration, before the intent.
    listingGrant = createGrant(LEASE_MS);
    contact.recordContact(listingGrant.readAt);
  });

  function createGrant(durationMs: number): LeaseGrant {
    return {readAt: clockJumpDetector.read(), durationMs, storeTimeMs: 0};
  }

  /** Applies the configuration and the records of the earlier listing. */
  function configure(grant: LeaseGrant = listingGrant): GroupRuntime {
    registry.applyConfiguration({
      version: 1,
      routes: new Map(),
      databaseGroups: new Map([
        [
          GROUP,
          {
            databaseGroup: GROUP,
            maxConnections: 30,
            synchronousReplicaCount: 1,
          },
        ],
      ]),
      customers: null,
      transactionIdleTimeoutMs: 3_000,
    });
    const group = registry.groups.get(GROUP);
    if (group === undefined) {
      throw new Error('There is no group.');
    }
    group.applyRecord(STABLE, grant, 'control table');
    return group;
  }

  // The failover leader takes the answer as a promise that holds for this process.
  it('uses no primary that it was asked to release before', async () => {
    await handler.release(RELEASE);
    const group = configure();
    expect(group.lease.getPrimary()).toBeNull();
    expect(group.getWritablePrimary()).toBeNull();
    expect(group.mayAcknowledge({term: 1, position: 11})).toBe(false);
  });

  // Two such proxies confirmed each other, so a lease from before the intent
  // stayed in use beyond the contact window.
  it('confirms no primary records', () => {
    expect(handler.compareRecords()).toEqual({digest: null});
  });

  // The same, seen from the proxy that asks: its contact lasted without any read of
  // the store.
  it('has no contact through a proxy that knows no group either', async () => {
    const peers = FakePeers.create();
    peers.compareRecords = () =>
      Promise.resolve(success(handler.compareRecords()));
    const renewer = ContactRenewer.create({
      availabilityZone: 'zone-a',
      clock,
      clockJumpDetector,
      contact,
      events: InMemoryEventRecorder.create(),
      peers,
      random: SeededRandom.create(1),
      getOtherEntryVms: () => [createEntryVmRecord('entry-2', 'zone-b')],
      computeDigest: () => handler.computeDigest(),
      isFollowing: () => false,
      readStore: () => {},
    });
    for (let elapsedMs = 0; elapsedMs < 4_000; elapsedMs += 100) {
      await renewer.maintain();
      await advanceClock(clock, 100);
    }
    expect(contact.isInContact()).toBe(false);
  });

  // A failover leader asks only registered proxies for a release, so this proxy's
  // writes were acknowledged after all had released.
  it('acknowledges nothing before its registration has been listed', () => {
    const group = configure(createGrant(0));
    expect(group.getWritablePrimary()).toBeNull();
    expect(group.mayAcknowledge({term: 1, position: 11})).toBe(false);
  });

  // A group that leaves the configuration and returns forgets its release.
  it('uses no primary that was released before the group left the configuration', async () => {
    configure();
    await handler.release(RELEASE);
    registry.applyConfiguration({
      version: 2,
      routes: new Map(),
      databaseGroups: new Map(),
      customers: null,
      transactionIdleTimeoutMs: 3_000,
    });
    expect(configure().lease.getPrimary()).toBeNull();
  });
});
