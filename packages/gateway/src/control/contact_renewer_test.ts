import {SeededRandom} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import type {PeerError, RecordComparison} from '../peer/peer_client.js';
import {FakePeers} from '../testing/fake_peers.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {advanceClock} from '../testing/settle.js';
import {ContactRenewer} from './contact_renewer.js';
import {ContactTracker} from './contact_tracker.js';
import type {EntryVmRecord} from './control_record.js';

const WINDOW_MS = 2_000;
const STEP_MS = 100;

function createPeer(availabilityZone: string): EntryVmRecord {
  return {
    entryVm: 'entry-2',
    availabilityZone,
    peerHost: '127.0.0.1',
    peerPort: 1,
    incarnation: 'one',
    leaseEndStoreMs: 0,
    contactWindowMs: WINDOW_MS,
    registeredSinceStoreMs: null,
  };
}

describe('ContactRenewer', () => {
  let clock: VirtualClock;
  let wallClock: FakeWallClock;
  let contact: ContactTracker;
  let events: InMemoryEventRecorder;
  let peerZone: string;
  let comparison: Result<RecordComparison, PeerError>;
  let askedCount: number;
  let storeReadCount: number;
  let renewer: ContactRenewer;

  beforeEach(() => {
    clock = VirtualClock.create();
    wallClock = FakeWallClock.create(clock);
    const clockJumpDetector = ClockJumpDetector.create(clock, wallClock);
    contact = ContactTracker.create(clockJumpDetector, WINDOW_MS);
    events = InMemoryEventRecorder.create();
    peerZone = 'zone-b';
    comparison = success({digest: 'same'});
    askedCount = 0;
    storeReadCount = 0;
    const peers = FakePeers.create();
    peers.compareRecords = () => {
      askedCount++;
      return Promise.resolve(comparison);
    };
    renewer = ContactRenewer.create({
      availabilityZone: 'zone-a',
      clock,
      clockJumpDetector,
      contact,
      events,
      peers,
      random: SeededRandom.create(1),
      getOtherEntryVms: () => [createPeer(peerZone)],
      computeDigest: () => 'same',
      isFollowing: () => false,
      readStore: () => storeReadCount++,
    });
    contact.recordContact(clockJumpDetector.read());
  });

  async function advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      await advanceClock(clock, STEP_MS);
      await renewer.maintain();
    }
  }

  it('stays in contact while a proxy of another zone has the same records', async () => {
    await advance(10_000);
    expect(contact.isInContact()).toBe(true);
    expect(askedCount).toBeLessThanOrEqual(10);
    expect(storeReadCount).toBe(0);
  });

  it('gets no contact from a proxy with a newer record and reads the store', async () => {
    comparison = success({digest: 'newer'});
    await advance(WINDOW_MS + STEP_MS);
    expect(contact.isInContact()).toBe(false);
    expect(storeReadCount).toBeGreaterThan(0);
  });

  it('gets no contact from a proxy without a lease or from an unresponsive one', async () => {
    comparison = success({digest: null});
    await advance(WINDOW_MS + STEP_MS);
    expect(contact.isInContact()).toBe(false);
    comparison = failure({kind: 'unreachable', reason: 'no response'});
    await advance(WINDOW_MS);
    expect(contact.isInContact()).toBe(false);
  });

  it('does not ask proxies of the local zone, which may be isolated together with it', async () => {
    peerZone = 'zone-a';
    await advance(WINDOW_MS + STEP_MS);
    expect(askedCount).toBe(0);
    expect(contact.isInContact()).toBe(false);
  });

  it('loses contact when the machine was suspended, and regains it afterwards', async () => {
    wallClock.step(5_000);
    expect(contact.isInContact()).toBe(false);
    await advance(STEP_MS);
    expect(contact.isInContact()).toBe(true);
  });

  it('records events when contact is lost and regained', async () => {
    comparison = failure({kind: 'unreachable', reason: 'no response'});
    await advance(WINDOW_MS + STEP_MS);
    comparison = success({digest: 'same'});
    await advance(2 * STEP_MS);
    const kinds = events.events.map(({kind}) => kind);
    expect(kinds).toEqual(['dependencyLost', 'dependencyRegained']);
  });
});
