import {beforeEach, describe, expect, it} from 'vitest';
import type {GroupRuntime} from '../group/group_runtime.js';
import type {GatewayEvent} from '../observability/gateway_event.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {SessionTestHarness} from '../testing/session_test_harness.js';
import {advanceClock} from '../testing/settle.js';
import {FailoverLeaderLease} from '../control/failover_leader_lease.js';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {PeerRequestHandler} from './peer_request_handler.js';

const REQUEST = {
  databaseGroup: 'group',
  changeId: 'entry-1-1-1',
  oldTerm: 1,
  revision: 7,
};

/** A release confirms a while later if writes are pending. */
const DRAIN_MS = 200;

describe('PeerRequestHandler', () => {
  let harness: SessionTestHarness;

  beforeEach(() => {
    harness = SessionTestHarness.create();
  });

  function createHandler(
    groups: ReadonlyMap<string, GroupRuntime>,
  ): PeerRequestHandler {
    const {clock, events, backend, clockJumpDetector} = harness;
    return PeerRequestHandler.create({
      clock,
      events,
      incarnation: 'one',
      registry: {
        groups,
        releaseForChange: (databaseGroup, change, revision) =>
          groups.get(databaseGroup)?.releaseForChange(change, revision),
      },
      leaderLease: FailoverLeaderLease.create({
        entryVm: 'entry-1',
        incarnation: 'one',
        table: FakeControlTable.create(clock),
        clockJumpDetector,
        random: SeededRandom.create(1),
        events,
        mayAcquire: () => true,
      }),
      directory: {getEntry: () => null},
      connector: backend,
      isStopping: () => false,
      handleSuspicionReport: () => {},
      readControlTable: () => {},
      maintainLeadership: () => {},
      handleUpdateRequest: () => Promise.resolve(null),
      exchangePermits: () => null,
    });
  }

  async function release(
    groups: ReadonlyMap<string, GroupRuntime>,
    processAgeMs = 0,
  ): Promise<GatewayEvent | undefined> {
    const handler = createHandler(groups);
    harness.clock.advance(processAgeMs);
    void handler.release(REQUEST);
    await advanceClock(harness.clock, DRAIN_MS);
    return harness.events.events.find(({kind}) => kind === 'leaseReleased');
  }

  // Guards against a release by a process that has just started, which shows
  // nowhere: it reports no position and may read an older record afterwards.
  it('logs a release although it does not know the group', async () => {
    expect(await release(new Map(), 40)).toEqual({
      kind: 'leaseReleased',
      databaseGroup: 'group',
      changeId: 'entry-1-1-1',
      revision: 7,
      highestAcknowledged: null,
      isGroupKnown: false,
      hadLease: false,
      knownRevision: 0,
      pendingWrites: 0,
      processAgeMs: 40,
    });
  });

  it('logs whether it held a lease and which record it knew', async () => {
    harness.grantLease('p', 1, 5);
    const groups = new Map([['group', harness.group]]);
    expect(await release(groups)).toMatchObject({
      isGroupKnown: true,
      hadLease: true,
      knownRevision: 5,
      pendingWrites: 0,
    });
  });

  it('logs the writes that have no response at the end of the release', async () => {
    harness.grantLease('p', 1, 5);
    harness.group.writeStallDetector.begin();
    const groups = new Map([['group', harness.group]]);
    expect(await release(groups)).toMatchObject({pendingWrites: 1});
  });
});
