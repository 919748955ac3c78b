import {SeededRandom} from '@filbertrun/base/random_source.js';
import {success} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import type {LeadershipTransfer, PeerClient} from '../peer/peer_client.js';
import {bindPeers} from '../simulation/mutant_wrappers.js';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {FakePeers} from '../testing/fake_peers.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {advanceClock} from '../testing/settle.js';
import {FailoverLeaderPlacement} from './failover_leader_placement.js';
import {FailoverLeaderLease} from './failover_leader_lease.js';

const OTHER_PROXY = createEntryVmRecord('entry-2', 'zone-b');

/** Longer than the interval between two checks of the placement. */
const CHECK_MS = 1_100;

describe('FailoverLeaderPlacement', () => {
  let clock: VirtualClock;
  let leaderLease: FailoverLeaderLease;
  let placement: FailoverLeaderPlacement;
  let primaryZones: readonly string[] | null;
  let otherDigest: string | null;
  let transfers: LeadershipTransfer[];
  let hasOrderInFlight: boolean;

  beforeEach(async () => {
    clock = VirtualClock.create();
    primaryZones = ['zone-a'];
    otherDigest = 'same';
    transfers = [];
    hasOrderInFlight = false;
    leaderLease = FailoverLeaderLease.create({
      entryVm: 'entry-1',
      incarnation: 'one',
      table: FakeControlTable.create(clock),
      clockJumpDetector: ClockJumpDetector.create(
        clock,
        FakeWallClock.create(clock),
      ),
      random: SeededRandom.create(1),
      events: InMemoryEventRecorder.create(),
      mayAcquire: () => true,
    });
    const peers: PeerClient = {
      ...bindPeers(FakePeers.create()),
      compareRecords: () => Promise.resolve(success({digest: otherDigest})),
      handOverDuty: (_peer, transfer) => {
        transfers.push(transfer);
        return Promise.resolve(success(undefined));
      },
    };
    placement = FailoverLeaderPlacement.create({
      clock,
      availabilityZone: 'zone-a',
      leaderLease,
      peers,
      findPrimaryZones: () => primaryZones,
      getOtherEntryVms: () => [OTHER_PROXY],
      hasOrderInFlight: () => hasOrderInFlight,
      computeDigest: () => 'same',
    });
    await leaderLease.maintain();
  });

  async function checkPlacement(): Promise<void> {
    await advanceClock(clock, CHECK_MS);
    await placement.maintain();
  }

  it('stops acting as leader and transfers leadership to a zone without primaries', async () => {
    await checkPlacement();
    expect(transfers).toEqual([{fencingToken: 1}]);
    expect(leaderLease.getFencingToken()).toBeNull();
  });

  it('keeps leadership if no zone has fewer primaries', async () => {
    primaryZones = ['zone-b'];
    await checkPlacement();
    expect(transfers).toEqual([]);
    expect(leaderLease.getFencingToken()).toBe(1);
  });

  it('keeps leadership while a primary is uncertain', async () => {
    primaryZones = null;
    await checkPlacement();
    expect(transfers).toEqual([]);
  });

  // Guards against a lower fencing token that arrives after a higher one.
  it('keeps leadership while a promotion order is under way', async () => {
    hasOrderInFlight = true;
    await checkPlacement();
    expect(transfers).toEqual([]);
    expect(leaderLease.getFencingToken()).toBe(1);
  });

  it('keeps leadership while the other proxy knows different primaries', async () => {
    otherDigest = 'other';
    await checkPlacement();
    expect(transfers).toEqual([]);
    expect(leaderLease.getFencingToken()).toBe(1);
  });

  it('keeps leadership for a while after a primary change', async () => {
    placement.recordPrimaryChange();
    await checkPlacement();
    expect(transfers).toEqual([]);
    await advanceClock(clock, 3_000);
    await leaderLease.maintain();
    await placement.maintain();
    expect(transfers).toHaveLength(1);
  });
});
