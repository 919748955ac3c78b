import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {FakePeers} from '../testing/fake_peers.js';
import {advanceClock} from '../testing/settle.js';
import {ReleaseCollector, type LeaseHolder} from './release_collector.js';

const LEASE_END_MS = 12_000;
const WINDOW_MS = 2_800;

/** The collector's margin on a lease for clocks that run at different rates. */
const LEASE_MARGIN_MS = 300;

/** Margin on the contact window; suspensions below 100 ms go undetected. */
const MARGIN_MS = 150;

function createHolder(
  entryVm: string,
  availabilityZone: string,
  contactWindowMs: number | null = WINDOW_MS,
  leaseEndMs = LEASE_END_MS,
): LeaseHolder {
  return {
    leaseEndMs,
    record: {
      entryVm,
      availabilityZone,
      peerHost: '127.0.0.1',
      peerPort: 1,
      incarnation: 'one',
      // The store's clock shows the same time as the virtual one.
      leaseEndStoreMs: leaseEndMs,
      contactWindowMs,
      registeredSinceStoreMs: null,
    },
  };
}

describe('ReleaseCollector', () => {
  let clock: VirtualClock;
  let peers: FakePeers;

  beforeEach(() => {
    clock = VirtualClock.create();
    peers = FakePeers.create();
  });

  async function collect(
    holders: readonly LeaseHolder[],
    answering: readonly string[],
  ): Promise<ReleaseCollector> {
    for (const entryVm of answering) {
      peers.acknowledged.set(entryVm, null);
    }
    const collector = ReleaseCollector.create({
      clock,
      events: InMemoryEventRecorder.create(),
      peers,
      request: {databaseGroup: 'group', changeId: 'c', oldTerm: 1, revision: 2},
    });
    collector.start(holders);
    await advanceClock(clock, 10);
    return collector;
  }

  it('waits for no proxy once all have released', async () => {
    const holders = [
      createHolder('e1', 'zone-a'),
      createHolder('e2', 'zone-b'),
    ];
    const collector = await collect(holders, ['e1', 'e2']);
    expect(collector.getOutstanding()).toEqual([]);
    expect(collector.getLastLeaseEndStoreMs()).toBeNull();
  });

  it('waits for an isolated proxy until its contact window has passed', async () => {
    const holders = [
      createHolder('e1', 'zone-a'),
      createHolder('e2', 'zone-b'),
      createHolder('isolated', 'zone-c'),
    ];
    const collector = await collect(holders, ['e1', 'e2']);
    const endMs = collector.getLastLeaseEndStoreMs() ?? 0;
    expect(endMs).toBeGreaterThanOrEqual(WINDOW_MS + MARGIN_MS);
    expect(endMs).toBeLessThanOrEqual(WINDOW_MS + MARGIN_MS + 10);
    await advanceClock(clock, WINDOW_MS);
    expect(collector.getOutstanding()).toEqual(['isolated']);
    await advanceClock(clock, MARGIN_MS + 10);
    expect(collector.getOutstanding()).toEqual([]);
  });

  it('waits for the lease to expire while a proxy of another zone may still confirm the records', async () => {
    const holders = [
      createHolder('e1', 'zone-a'),
      createHolder('unresponsive', 'zone-b'),
      createHolder('isolated', 'zone-c'),
    ];
    const collector = await collect(holders, ['e1']);
    expect(collector.getLastLeaseEndStoreMs()).toBe(
      LEASE_END_MS + LEASE_MARGIN_MS,
    );
    await advanceClock(clock, WINDOW_MS + MARGIN_MS + 100);
    expect(collector.getOutstanding()).toEqual(['unresponsive', 'isolated']);
  });

  it('does not wait for a possible confirmation by a proxy of the same zone', async () => {
    const holders = [
      createHolder('e1', 'zone-a'),
      createHolder('isolated', 'zone-c'),
      createHolder('isolated-2', 'zone-c'),
    ];
    const collector = await collect(holders, ['e1']);
    await advanceClock(clock, WINDOW_MS + MARGIN_MS + 10);
    expect(collector.getOutstanding()).toEqual([]);
  });

  it('waits for the lease to expire if a proxy states no contact window or is the only one', async () => {
    const holders = [
      createHolder('e1', 'zone-a'),
      createHolder('old', 'zone-c', null),
    ];
    const collector = await collect(holders, ['e1']);
    expect(collector.getLastLeaseEndStoreMs()).toBe(
      LEASE_END_MS + LEASE_MARGIN_MS,
    );
    const alone = await collect([createHolder('x', 'zone-a')], []);
    expect(alone.getLastLeaseEndStoreMs()).toBe(LEASE_END_MS + LEASE_MARGIN_MS);
    collector.stop();
    alone.stop();
  });

  it('does not wait for a possible confirmation by a proxy whose lease has expired', async () => {
    const endedMs = clock.nowMs() - 5_000;
    const holders = [
      createHolder('e1', 'zone-a'),
      createHolder('removed', 'zone-b', WINDOW_MS, endedMs),
      createHolder('isolated', 'zone-c'),
    ];
    const collector = await collect(holders, ['e1']);
    expect(collector.getOutstanding()).toEqual(['isolated']);
    await advanceClock(clock, WINDOW_MS + MARGIN_MS + 10);
    expect(collector.getOutstanding()).toEqual([]);
    collector.stop();
  });

  it('counts a read of the store before the start as a contact', async () => {
    const holders = [
      createHolder('removed', 'zone-b', WINDOW_MS, clock.nowMs() - 5_000),
      createHolder('isolated', 'zone-c'),
    ];
    const collector = await collect(holders, []);
    await advanceClock(clock, WINDOW_MS - 10);
    expect(collector.getOutstanding()).toEqual(['isolated']);
    collector.stop();
  });

  it('starts the contact window at the expiry of an unresponsive proxy in another zone', async () => {
    const endMs = clock.nowMs() + 4_000;
    const holders = [
      createHolder('e1', 'zone-a'),
      createHolder('dead', 'zone-b', WINDOW_MS, endMs),
      createHolder('isolated', 'zone-c'),
    ];
    const collector = await collect(holders, ['e1']);
    await advanceClock(clock, endMs + WINDOW_MS - 10 - clock.nowMs());
    expect(collector.getOutstanding()).toContain('isolated');
    await advanceClock(clock, LEASE_MARGIN_MS + MARGIN_MS + 20);
    expect(collector.getOutstanding()).toEqual([]);
    collector.stop();
  });

  it('does not count the time for which a proxy waited for pending writes as a contact', async () => {
    const drainedForMs = 100;
    peers.drainedForMs = drainedForMs;
    const holders = [
      createHolder('e1', 'zone-a'),
      createHolder('e2', 'zone-b'),
      createHolder('isolated', 'zone-c'),
    ];
    await advanceClock(clock, drainedForMs);
    const collector = await collect(holders, ['e1', 'e2']);
    const startedMs = clock.nowMs() - 10;
    expect(collector.getLastLeaseEndStoreMs()).toBe(
      startedMs + WINDOW_MS + MARGIN_MS,
    );
    collector.stop();
  });

  it('tells since when no proxy can acknowledge a write', async () => {
    const holders = [
      createHolder('e1', 'zone-a'),
      createHolder('e2', 'zone-b'),
      createHolder('isolated', 'zone-c'),
    ];
    const collector = await collect(holders, ['e1', 'e2']);
    const endMs = collector.getLastLeaseEndStoreMs() ?? 0;
    await advanceClock(clock, endMs - 1 - clock.nowMs());
    expect(collector.getReleasedSinceMs()).toBeNull();
    await advanceClock(clock, 1_000);
    expect(collector.getReleasedSinceMs()).toBe(endMs);
    collector.stop();
  });

  it('starts the contact window at the last release from another zone', async () => {
    const holders = [
      createHolder('e1', 'zone-a'),
      createHolder('late', 'zone-b'),
      createHolder('isolated', 'zone-c'),
    ];
    const collector = await collect(holders, ['e1']);
    await advanceClock(clock, 1_000);
    peers.acknowledged.set('late', null);
    await advanceClock(clock, 250);
    const lateMs = clock.nowMs();
    const endMs = collector.getLastLeaseEndStoreMs() ?? 0;
    expect(endMs).toBeGreaterThan(1_000 + WINDOW_MS + MARGIN_MS);
    expect(endMs).toBeLessThanOrEqual(lateMs + WINDOW_MS + MARGIN_MS);
    collector.stop();
  });
});
