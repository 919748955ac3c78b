import {failure, success, type Result} from '@filbertrun/base/result.js';
import {pause} from '@filbertrun/base/pause.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import {ClockWatch} from '../group/clock_watch.js';
import {RecordedEvents} from '../observability/gateway_events.js';
import type {PeerCaller, PeerError} from '../peer/peer_caller.js';
import {bindPeers} from '../simulation/mutant_parts.js';
import {FakePeers} from '../testing/fake_peers.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {advanceClock} from '../testing/settle.js';
import {FOLLOW_WAIT_MS, ZoneFollower} from './zone_follower.js';
import type {ZoneNews, ZoneQuestion} from './zone_news.js';

const UPKEEP_MS = 100;

const NO_NEWS: ZoneNews = {
  control: {
    isListing: false,
    changes: [],
    revision: 1,
    storeTimeMs: 0,
    readLeadMs: 0,
  },
  directory: {isListing: false, changes: [], revision: 1},
  configuration: {isListing: false, changes: [], revision: 1},
  contact: null,
};

/** What a proxy does with the questions of others. */
type Behaviour = 'answers' | 'refuses' | 'silent';

describe('ZoneFollower', () => {
  let clock: VirtualClock;
  let behaviours: Map<string, Behaviour>;
  let asked: string[];
  let isReading: boolean;
  let isStoreAnswering: boolean;
  let canFollow: boolean;
  let newsCount: number;
  let follower: ZoneFollower;

  beforeEach(() => {
    clock = VirtualClock.create();
    behaviours = new Map([
      ['entry-1', 'answers'],
      ['entry-2', 'refuses'],
    ]);
    asked = [];
    isReading = true;
    isStoreAnswering = true;
    canFollow = true;
    newsCount = 0;
    follower = createFollower('entry-3');
  });

  function createFollower(entryVm: string): ZoneFollower {
    const peers: PeerCaller = {
      ...bindPeers(FakePeers.create()),
      followZone: (peer, question) => answer(peer.entryVm, question),
    };
    return ZoneFollower.create({
      self: {entryVm, incarnation: 'one', availabilityZone: 'zone-a'},
      clock,
      clockWatch: ClockWatch.create(clock, FakeWallClock.create(clock)),
      events: RecordedEvents.create(),
      peers,
      getEntryVms: () =>
        ['entry-1', 'entry-2', 'entry-3'].map(name =>
          createEntryVmRecord(name),
        ),
      canFollow: () => canFollow,
      isStoreAnswering: () => isStoreAnswering,
      getKnownRevisions: () => ({
        controlRevision: 1,
        directoryRevision: 1,
        configurationRevision: 1,
      }),
      isUrgent: () => false,
      handleNews: () => newsCount++,
      setReading: value => {
        isReading = value;
      },
    });
  }

  async function answer(
    entryVm: string,
    {waitMs}: ZoneQuestion,
  ): Promise<Result<ZoneNews | null, PeerError>> {
    asked.push(entryVm);
    const behaviour = behaviours.get(entryVm) ?? 'silent';
    switch (behaviour) {
      case 'answers':
        await pause(clock, waitMs);
        return success(NO_NEWS);
      case 'refuses':
        await pause(clock, 1);
        return success(null);
      case 'silent':
        await pause(clock, waitMs + 400);
        return failure({kind: 'unreachable', reason: 'silent'});
    }
  }

  async function advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += UPKEEP_MS) {
      follower.maintain();
      await advanceClock(clock, UPKEEP_MS);
    }
  }

  it('stops reading the store once the first proxy of its zone answers', async () => {
    await advance(500);
    expect(isReading).toBe(false);
    expect(newsCount).toBeGreaterThan(0);
  });

  it('asks about once a wait', async () => {
    await advance(10 * FOLLOW_WAIT_MS);
    expect(asked.length).toBeLessThanOrEqual(12);
  });

  it('reads the store itself as the first of its zone', async () => {
    follower = createFollower('entry-1');
    await advance(3_000);
    expect(asked).toEqual([]);
    expect(isReading).toBe(true);
  });

  it('reads the store itself within the wait and a timeout when its reader falls silent', async () => {
    await advance(500);
    behaviours.set('entry-1', 'silent');
    await advance(FOLLOW_WAIT_MS + FOLLOW_WAIT_MS + 400 + UPKEEP_MS);
    expect(isReading).toBe(true);
  });

  it('reads the store itself at once when its reader refuses', async () => {
    await advance(500);
    behaviours.set('entry-1', 'refuses');
    await advance(FOLLOW_WAIT_MS + UPKEEP_MS);
    expect(isReading).toBe(true);
  });

  it('follows the next proxy where that one reads', async () => {
    await advance(500);
    behaviours.set('entry-1', 'silent');
    behaviours.set('entry-2', 'answers');
    await advance(2 * FOLLOW_WAIT_MS + 1_000);
    expect(isReading).toBe(false);
    expect(asked.at(-1)).toBe('entry-2');
  });

  it('asks a silent proxy more and more seldom', async () => {
    behaviours.set('entry-1', 'silent');
    await advance(60_000);
    const count = asked.filter(name => name === 'entry-1').length;
    expect(count).toBeLessThanOrEqual(8);
    expect(isReading).toBe(true);
  });

  it('returns to the first proxy when it answers again', async () => {
    behaviours.set('entry-1', 'silent');
    await advance(3_000);
    behaviours.set('entry-1', 'answers');
    await advance(30_000);
    expect(isReading).toBe(false);
  });

  it('seeks another reader when the store does not answer the first of a zone', async () => {
    follower = createFollower('entry-1');
    behaviours.set('entry-2', 'answers');
    isStoreAnswering = false;
    await advance(500);
    expect(isReading).toBe(false);
    expect(asked.at(-1)).toBe('entry-2');
  });

  it('reads the store itself while it may not follow', async () => {
    canFollow = false;
    await advance(2_000);
    expect(asked).toEqual([]);
    expect(isReading).toBe(true);
  });
});
