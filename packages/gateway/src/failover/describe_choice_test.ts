import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import {FakeInstances} from '../testing/fake_instances.js';
import {FakePeers} from '../testing/fake_peers.js';
import {advanceClock} from '../testing/settle.js';
import {describeChoice, type ChoiceInputs} from './describe_choice.js';
import {InstanceFences} from './instance_fences.js';
import {ReleaseCollector} from './release_collector.js';

const LEASE_END_MS = 7_000;

describe('describeChoice', () => {
  let clock: VirtualClock;
  let instances: FakeInstances;
  let peers: FakePeers;
  let fences: InstanceFences;
  let releases: ReleaseCollector;

  beforeEach(() => {
    clock = VirtualClock.create();
    const events = InMemoryEventRecorder.create();
    instances = FakeInstances.create(clock);
    instances.add('p', 'primary', 12);
    instances.add('r1', 'replica', 10);
    peers = FakePeers.create();
    fences = InstanceFences.create({
      clock,
      events,
      instances,
      databaseGroup: 'group',
      changeId: 'c',
      oldPrimary: 'p',
      oldTerm: 1,
      availabilityZone: 'zone-a',
    });
    fences.countFrom(clock.nowMs());
    releases = ReleaseCollector.create({
      clock,
      events,
      peers,
      request: {databaseGroup: 'group', changeId: 'c', oldTerm: 1, revision: 2},
    });
  });

  function createInputs(entries: readonly BackendServerEntry[]): ChoiceInputs {
    return {
      databaseGroup: 'group',
      changeId: 'c',
      oldPrimary: 'p',
      oldTerm: 1,
      target: 'r1',
      position: {term: 1, position: 10},
      entries,
      fences,
      releases,
      listing: {
        sources: new Map([
          ['p', 'listed'],
          ['r1', 'roster'],
        ]),
        hasCompleteHistory: false,
        historyAgeMs: 300,
        listingAgeMs: 20,
      },
      recordAgeMs: 90,
      changeAgeMs: 80,
    };
  }

  async function fenceAll(): Promise<readonly BackendServerEntry[]> {
    const entries = instances.listEntries();
    fences.request(entries);
    await advanceClock(clock, 5);
    return entries;
  }

  // Guards against a promotion after which nobody can tell whose logs counted.
  it('describes every instance with its fence and the ones left out with the reason', async () => {
    instances.get('p').isRunning = false;
    const entries = await fenceAll();
    clock.advance(60);
    const choice = describeChoice(createInputs(entries));
    expect(choice).toMatchObject({
      requiredPosition: {term: 1, position: 10},
      requirementSource: 'pausedReplicas',
      instanceCount: 2,
      hasCompleteHistory: false,
      historyAgeMs: 300,
      listingAgeMs: 20,
      recordAgeMs: 90,
      changeAgeMs: 80,
    });
    expect(choice.instances).toEqual([
      {
        backendServer: 'p',
        source: 'listed',
        state: 'active',
        startedAtEpochMs: 1,
        isOldPrimary: true,
        reported: null,
        fenceAgeMs: null,
        exclusion: 'not fenced: unreachable: not running',
      },
      {
        backendServer: 'r1',
        source: 'roster',
        state: 'active',
        startedAtEpochMs: 1,
        isOldPrimary: false,
        reported: {
          role: 'replica',
          term: 1,
          receivedPosition: {term: 1, position: 10},
          pausedTerm: 2,
          startedAtEpochMs: 1,
        },
        fenceAgeMs: 65,
        exclusion: null,
      },
    ]);
  });

  it('names an instance at whose address another one responds', async () => {
    instances.pauseReplication = () =>
      Promise.resolve({ok: false, error: {kind: 'wrongServer'}});
    const entries = await fenceAll();
    const choice = describeChoice(createInputs(entries));
    expect(choice.instances[1]).toMatchObject({
      backendServer: 'r1',
      exclusion: 'another instance responds at its address',
    });
  });

  it('describes what each proxy has released', async () => {
    peers.acknowledged.set('entry-1', {term: 1, position: 11});
    const holders = ['entry-1', 'entry-2'].map(entryVm => ({
      record: createEntryVmRecord(entryVm),
      leaseEndMs: LEASE_END_MS,
    }));
    releases.start(holders);
    await advanceClock(clock, 0);
    const entries = await fenceAll();
    clock.advance(LEASE_END_MS + 50 - clock.nowMs());
    const choice = describeChoice(createInputs(entries));
    expect(choice.proxies).toEqual([
      {
        entryVm: 'entry-1',
        isReleased: true,
        releaseAgeMs: LEASE_END_MS + 50,
        isRegisteredProcess: true,
        highestAcknowledged: {term: 1, position: 11},
        leaseEndInMs: -50,
      },
      {
        entryVm: 'entry-2',
        isReleased: false,
        releaseAgeMs: null,
        isRegisteredProcess: null,
        highestAcknowledged: null,
        leaseEndInMs: -50,
      },
    ]);
    expect(choice.proxyCount).toBe(2);
    releases.stop();
  });

  // Guards against one line that fills the writer's buffer.
  it('bounds the lists and counts what they leave out', () => {
    const [entry] = instances.listEntries();
    if (entry === undefined) {
      throw new Error('The group has no instance.');
    }
    const entries = Array.from({length: 1_000}, (_, index) => ({
      ...entry,
      backendServer: `i-${index}`,
    }));
    const holders = Array.from({length: 1_000}, (_, index) => ({
      record: createEntryVmRecord(`entry-${index}`),
      leaseEndMs: LEASE_END_MS,
    }));
    releases.start(holders);
    const choice = describeChoice(createInputs(entries));
    expect(choice.instances).toHaveLength(16);
    expect(choice.instanceCount).toBe(1_000);
    expect(choice.proxies).toHaveLength(32);
    expect(choice.proxyCount).toBe(1_000);
    expect(JSON.stringify(choice).length).toBeLessThan(10_000);
    releases.stop();
  });
});
