import {SeededRandom} from '@filbertrun/base/random_source.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import {beforeEach, describe, expect, it} from 'vitest';
import type {EntryVmRecord} from '../control/control_record.js';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import {FakePeers} from '../testing/fake_peers.js';
import {SessionTestHarness} from '../testing/session_test_harness.js';
import {advanceClock} from '../testing/settle.js';
import {PeerFreshnessSource} from './peer_freshness_source.js';

const POSITION: LogPosition = {term: 1, position: 5};

describe('PeerFreshnessSource', () => {
  let harness: SessionTestHarness;
  let peers: FakePeers;
  let entryVms: EntryVmRecord[];
  let freshness: PeerFreshnessSource;

  beforeEach(() => {
    harness = SessionTestHarness.create();
    harness.grantLease();
    peers = FakePeers.create();
    entryVms = [];
    freshness = PeerFreshnessSource.create({
      availabilityZone: harness.availabilityZone,
      clock: harness.clock,
      clockJumpDetector: harness.clockJumpDetector,
      random: SeededRandom.create(1),
      events: harness.events,
      peers,
      getOtherEntryVms: () => entryVms,
    });
    harness.requestFreshnessBound = () => freshness.fetch(harness.group);
  });

  function addPeer(
    entryVm: string,
    availabilityZone: string,
    leadMs: number | null = null,
  ): void {
    entryVms.push({...createEntryVmRecord(entryVm), availabilityZone});
    if (leadMs !== null) {
      peers.positions.set(entryVm, {position: POSITION, leadMs});
    }
  }

  async function fetch(): Promise<void> {
    const fetched = freshness.fetch(harness.group);
    await advanceClock(harness.clock, 40);
    await fetched;
  }

  it('counts the age of a position from the time before the request was sent', async () => {
    addPeer('e2', 'zone-a', 700);
    const requestedAtMs = harness.clock.nowMs();
    await fetch();
    expect(harness.group.getNewestBound()).toEqual({
      timeMs: requestedAtMs - 700,
      position: POSITION,
    });
  });

  it('does not use a position that is too old for a read', async () => {
    addPeer('e2', 'zone-a', 1_600);
    await fetch();
    const nowMs = harness.clock.nowMs();
    expect(harness.group.getFreshPosition(nowMs, 1_500)).toBeNull();
  });

  it('ignores a response to a request that was sent before a suspension', async () => {
    addPeer('e2', 'zone-a', 10);
    const fetched = freshness.fetch(harness.group);
    harness.wallClock.step(5_000);
    await advanceClock(harness.clock, 40);
    await fetched;
    expect(harness.group.getNewestBound()).toBeNull();
  });

  it('queries only proxies of the local zone while the primary accepts connections', async () => {
    addPeer('e2', 'zone-a');
    addPeer('e3', 'zone-b', 10);
    await fetch();
    expect(peers.positionRequests).toEqual(['e2']);
  });

  it('queries only three of many proxies in its zone', async () => {
    for (let index = 0; index < 20; index++) {
      addPeer(`e${index + 2}`, 'zone-a');
    }
    await fetch();
    expect(peers.positionRequests.length).toBe(3);
  });

  it('sends one request for many concurrent reads', async () => {
    addPeer('e2', 'zone-a', 10);
    const queries = Array.from({length: 10}, () =>
      freshness.fetch(harness.group),
    );
    await advanceClock(harness.clock, 40);
    await Promise.all(queries);
    expect(peers.positionRequests.length).toBe(1);
  });

  it('lets replicas answer after a power failure while the primary refuses connections', async () => {
    addPeer('e2', 'zone-b', 50);
    harness.backend.atConnectionLimit.add('p');
    const session = harness.open('age');
    // The first attempts show that the primary refuses connections.
    await harness.run(session, {kind: 'read', text: 'READ 1'});
    const startedAtMs = harness.clock.nowMs();
    const reply = await harness.run(session, {kind: 'read', text: 'READ 1'});
    expect(reply.result.kind).toBe('complete');
    expect(harness.clock.nowMs() - startedAtMs).toBeLessThanOrEqual(100);
  });
});
