import {failure, success, type Result} from '@filbertrun/base/result.js';
import {sleep} from '@filbertrun/base/sleep.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import type {PeerClient, PeerError} from '../peer/peer_client.js';
import {bindPeers} from '../simulation/mutant_wrappers.js';
import {FakePeers} from '../testing/fake_peers.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {advanceClock} from '../testing/settle.js';
import {FOLLOW_WAIT_MS, ZoneFollower} from './zone_follower.js';
import type {ZoneUpdate, ZoneUpdateRequest} from './zone_update.js';

const MAINTENANCE_INTERVAL_MS = 100;

const EMPTY_UPDATE: ZoneUpdate = {
  control: {
    isListing: false,
    changes: [],
    revision: 1,
    storeTimeMs: 0,
    readLeadMs: 0,
  },
  directory: {isListing: false, changes: [], revision: 1},
  configuration: {isListing: false, changes: [], revision: 1},
  configurationDelta: null,
  configurationLeadMs: null,
  contact: null,
};

/** How a proxy handles the requests of followers. */
type Behavior = 'answers' | 'refuses' | 'unresponsive';

describe('ZoneFollower', () => {
  let clock: VirtualClock;
  let behaviors: Map<string, Behavior>;
  let requestedReaders: string[];
  let isReading: boolean;
  let isStoreAvailable: boolean;
  let canFollow: boolean;
  let updateCount: number;
  let follower: ZoneFollower;

  beforeEach(() => {
    clock = VirtualClock.create();
    behaviors = new Map([
      ['entry-1', 'answers'],
      ['entry-2', 'refuses'],
    ]);
    requestedReaders = [];
    isReading = true;
    isStoreAvailable = true;
    canFollow = true;
    updateCount = 0;
    follower = createFollower('entry-3');
  });

  function createFollower(entryVm: string): ZoneFollower {
    const peers: PeerClient = {
      ...bindPeers(FakePeers.create()),
      followZone: (peer, request) => answer(peer.entryVm, request),
    };
    return ZoneFollower.create({
      self: {entryVm, incarnation: 'one', availabilityZone: 'zone-a'},
      clock,
      clockJumpDetector: ClockJumpDetector.create(
        clock,
        FakeWallClock.create(clock),
      ),
      events: InMemoryEventRecorder.create(),
      peers,
      getEntryVms: () =>
        ['entry-1', 'entry-2', 'entry-3'].map(name =>
          createEntryVmRecord(name),
        ),
      canFollow: () => canFollow,
      isStoreAvailable: () => isStoreAvailable,
      getKnownRevisions: () => ({
        controlRevision: 1,
        directoryRevision: 1,
        configurationRevision: 1,
      }),
      isUrgent: () => false,
      applyUpdate: () => updateCount++,
      setReading: value => {
        isReading = value;
      },
    });
  }

  async function answer(
    entryVm: string,
    {waitMs}: ZoneUpdateRequest,
  ): Promise<Result<ZoneUpdate | null, PeerError>> {
    requestedReaders.push(entryVm);
    const behavior = behaviors.get(entryVm) ?? 'unresponsive';
    switch (behavior) {
      case 'answers':
        await sleep(clock, waitMs);
        return success(EMPTY_UPDATE);
      case 'refuses':
        await sleep(clock, 1);
        return success(null);
      case 'unresponsive':
        await sleep(clock, waitMs + 400);
        return failure({kind: 'unreachable', reason: 'no response'});
    }
  }

  async function advance(durationMs: number): Promise<void> {
    for (
      let elapsedMs = 0;
      elapsedMs < durationMs;
      elapsedMs += MAINTENANCE_INTERVAL_MS
    ) {
      follower.maintain();
      await advanceClock(clock, MAINTENANCE_INTERVAL_MS);
    }
  }

  it('stops reading the store once the preferred reader of its zone responds', async () => {
    await advance(500);
    expect(isReading).toBe(false);
    expect(updateCount).toBeGreaterThan(0);
  });

  it('sends about one request per wait', async () => {
    await advance(10 * FOLLOW_WAIT_MS);
    expect(requestedReaders.length).toBeLessThanOrEqual(12);
  });

  it('reads the store itself as the preferred reader of its zone', async () => {
    follower = createFollower('entry-1');
    await advance(3_000);
    expect(requestedReaders).toEqual([]);
    expect(isReading).toBe(true);
  });

  it('reads the store itself after the wait and a timeout when its reader stops responding', async () => {
    await advance(500);
    behaviors.set('entry-1', 'unresponsive');
    await advance(
      FOLLOW_WAIT_MS + FOLLOW_WAIT_MS + 400 + MAINTENANCE_INTERVAL_MS,
    );
    expect(isReading).toBe(true);
  });

  it('reads the store itself immediately when its reader refuses', async () => {
    await advance(500);
    behaviors.set('entry-1', 'refuses');
    await advance(FOLLOW_WAIT_MS + MAINTENANCE_INTERVAL_MS);
    expect(isReading).toBe(true);
  });

  it('follows the next proxy if that one reads the store', async () => {
    await advance(500);
    behaviors.set('entry-1', 'unresponsive');
    behaviors.set('entry-2', 'answers');
    await advance(2 * FOLLOW_WAIT_MS + 1_000);
    expect(isReading).toBe(false);
    expect(requestedReaders.at(-1)).toBe('entry-2');
  });

  it('backs off exponentially from an unresponsive proxy', async () => {
    behaviors.set('entry-1', 'unresponsive');
    await advance(60_000);
    const count = requestedReaders.filter(name => name === 'entry-1').length;
    expect(count).toBeLessThanOrEqual(8);
    expect(isReading).toBe(true);
  });

  it('returns to the first proxy when it responds again', async () => {
    behaviors.set('entry-1', 'unresponsive');
    await advance(3_000);
    behaviors.set('entry-1', 'answers');
    await advance(30_000);
    expect(isReading).toBe(false);
  });

  it('follows another reader when the preferred reader of the zone has lost the store', async () => {
    follower = createFollower('entry-1');
    behaviors.set('entry-2', 'answers');
    isStoreAvailable = false;
    await advance(500);
    expect(isReading).toBe(false);
    expect(requestedReaders.at(-1)).toBe('entry-2');
  });

  it('reads the store itself while it is not allowed to follow', async () => {
    canFollow = false;
    await advance(2_000);
    expect(requestedReaders).toEqual([]);
    expect(isReading).toBe(true);
  });
});
