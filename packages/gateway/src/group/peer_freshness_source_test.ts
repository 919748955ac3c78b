import {SeededRandom} from '@filbertrun/base/random_source.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import {beforeEach, describe, expect, it} from 'vitest';
import type {EntryVmRecord} from '../control/control_record.js';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import {FakePeers} from '../testing/fake_peers.js';
import {SessionWorld} from '../testing/session_world.js';
import {advanceClock} from '../testing/settle.js';
import {PeerFreshnessSource} from './peer_freshness_source.js';

const POSITION: LogPosition = {term: 1, position: 5};

describe('PeerFreshnessSource', () => {
  let world: SessionWorld;
  let peers: FakePeers;
  let entryVms: EntryVmRecord[];
  let freshness: PeerFreshnessSource;

  beforeEach(() => {
    world = SessionWorld.create();
    world.grantLease();
    peers = FakePeers.create();
    entryVms = [];
    freshness = PeerFreshnessSource.create({
      availabilityZone: world.availabilityZone,
      clock: world.clock,
      clockJumpDetector: world.watch,
      random: SeededRandom.create(1),
      events: world.events,
      peers,
      getOtherEntryVms: () => entryVms,
    });
    world.requestFreshnessBound = () => freshness.fetch(world.group);
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

  async function learn(): Promise<void> {
    const learned = freshness.fetch(world.group);
    await advanceClock(world.clock, 40);
    await learned;
  }

  it('counts the age of a position from the time before the request was sent', async () => {
    addPeer('e2', 'zone-a', 700);
    const askedAtMs = world.clock.nowMs();
    await learn();
    expect(world.group.getNewestBound()).toEqual({
      timeMs: askedAtMs - 700,
      position: POSITION,
    });
  });

  it('does not use a position that is too old for a read', async () => {
    addPeer('e2', 'zone-a', 1_600);
    await learn();
    const nowMs = world.clock.nowMs();
    expect(world.group.getFreshPosition(nowMs, 1_500)).toBeNull();
  });

  it('ignores a response to a request that was sent before a suspension', async () => {
    addPeer('e2', 'zone-a', 10);
    const learned = freshness.fetch(world.group);
    world.wallClock.step(5_000);
    await advanceClock(world.clock, 40);
    await learned;
    expect(world.group.getNewestBound()).toBeNull();
  });

  it('queries only proxies of the local zone while the primary accepts connections', async () => {
    addPeer('e2', 'zone-a');
    addPeer('e3', 'zone-b', 10);
    await learn();
    expect(peers.askedPositions).toEqual(['e2']);
  });

  it('queries only three of many proxies in its zone', async () => {
    for (let index = 0; index < 20; index++) {
      addPeer(`e${index + 2}`, 'zone-a');
    }
    await learn();
    expect(peers.askedPositions.length).toBe(3);
  });

  it('sends one request for many concurrent reads', async () => {
    addPeer('e2', 'zone-a', 10);
    const queries = Array.from({length: 10}, () =>
      freshness.fetch(world.group),
    );
    await advanceClock(world.clock, 40);
    await Promise.all(queries);
    expect(peers.askedPositions.length).toBe(1);
  });

  it('lets replicas answer after a power failure while the primary refuses connections', async () => {
    addPeer('e2', 'zone-b', 50);
    world.backend.full.add('p');
    const session = world.open('age');
    // The first attempts show that the primary refuses connections.
    await world.run(session, {kind: 'read', text: 'READ 1'});
    const startedAtMs = world.clock.nowMs();
    const reply = await world.run(session, {kind: 'read', text: 'READ 1'});
    expect(reply.result.kind).toBe('complete');
    expect(world.clock.nowMs() - startedAtMs).toBeLessThanOrEqual(100);
  });
});
