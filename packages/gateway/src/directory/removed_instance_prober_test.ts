import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {createEntry, FakeInstances} from '../testing/fake_instances.js';
import {BackendDirectory, REMOVED_RETENTION_MS} from './backend_directory.js';
import {RemovedInstanceProber} from './removed_instance_prober.js';

const STEP_MS = 1_000;

describe('RemovedInstanceProber', () => {
  let clock: VirtualClock;
  let instances: FakeInstances;
  let directory: BackendDirectory;
  let prober: RemovedInstanceProber;

  beforeEach(() => {
    clock = VirtualClock.create();
    instances = FakeInstances.create(clock);
    instances.add('r', 'replica', 1);
    directory = BackendDirectory.create({
      clock,
      events: InMemoryEventRecorder.create(),
      listener: {handleServerUpdated: () => {}, handleServerRemoved: () => {}},
    });
    directory.recordRemoved(instances.get('r').entry);
    prober = RemovedInstanceProber.create({clock, instances, directory});
  });

  async function probeFor(
    durationMs: number,
    withDrained = false,
  ): Promise<readonly string[]> {
    for (let elapsedMs = 0; elapsedMs <= durationMs; elapsedMs += STEP_MS) {
      await prober.maintain(withDrained);
      clock.advance(STEP_MS);
    }
    return directory
      .getRecentlyRemoved()
      .map(({backendServer}) => backendServer);
  }

  // Guards against commits that are lost because the replica that confirmed them
  // had no path to the store.
  it('keeps an instance for as long as it responds', async () => {
    expect(await probeFor(3 * REMOVED_RETENTION_MS)).toEqual(['r']);
    instances.get('r').isRunning = false;
    expect(await probeFor(REMOVED_RETENTION_MS)).toEqual([]);
  });

  it('probes an instance that was drained only where its log may be needed', async () => {
    directory.recordRemoved({
      ...createEntry('p', 'primary'),
      state: 'draining',
    });
    expect(await probeFor(REMOVED_RETENTION_MS / 2, true)).toEqual(['r', 'p']);
    expect(await probeFor(3 * REMOVED_RETENTION_MS)).toEqual(['r']);
  });

  it('does not keep an instance at whose address another one responds', async () => {
    instances.get('r').isReplaced = true;
    expect(await probeFor(REMOVED_RETENTION_MS)).toEqual([]);
  });

  it('keeps no instance that is listed', async () => {
    directory.handleListing({
      revision: 1,
      changes: [
        {
          kind: 'put',
          key: 'r',
          revision: 1,
          value: createEntry('r', 'replica'),
        },
      ],
    });
    expect(directory.getRecentlyRemoved()).toEqual([]);
  });
});
