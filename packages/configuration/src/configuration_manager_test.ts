import {SeededRandom} from '@filbertrun/base/random_source.js';
import {failure, success} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {NullLogger} from '@filbertrun/observability/logger.js';
import {InMemoryPlatformService} from '@filbertrun/platform/in_memory_platform_service.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {
  createDrain,
  createGroup,
  createRequest,
} from './configuration_fixtures.js';
import {ConfigurationManager} from './configuration_manager.js';
import type {ConfigurationSource} from './configuration_source.js';
import {submitChange} from './submit_change.js';

let clock: VirtualClock;
let platform: InMemoryPlatformService;
let sources: Map<string, ConfigurationSource>;

async function advanceTime(durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
    await new Promise(resolve => setImmediate(resolve));
    clock.advance(50);
  }
  await new Promise(resolve => setImmediate(resolve));
}

function createManager(usedPlatform = platform): ConfigurationManager {
  return ConfigurationManager.create({
    platform: usedPlatform,
    peers: {
      listPeers: () => [...sources.keys()],
      getSource: entryVm => sources.get(entryVm) ?? null,
      getProxyCount: () => 5,
    },
    clock,
    random: SeededRandom.create(1),
    logger: NullLogger.create(),
  });
}

function addPeer(entryVm: string, manager: ConfigurationManager): void {
  sources.set(entryVm, {
    getPointer: async () => {
      const response = manager.getPointerResponse();
      return response.kind === 'held'
        ? success(response.pointer)
        : failure({kind: 'sourceFailed', reason: 'notReady'});
    },
    getBody: async name => success(manager.getBody(name)),
  });
}

async function submit(changeId: string, backendServer: string) {
  const random = SeededRandom.create(2);
  const request = createRequest(changeId, createDrain(backendServer));
  return submitChange(request, {platform, clock, random});
}

beforeEach(async () => {
  clock = VirtualClock.create();
  platform = InMemoryPlatformService.create({clock});
  sources = new Map();
  const databaseGroups = [createGroup('outings-db-1')];
  await submitChange(
    createRequest('start', {kind: 'replaceDatabaseGroups', databaseGroups}),
    {platform, clock, random: SeededRandom.create(2)},
  );
});

describe('ConfigurationManager', () => {
  it('becomes ready when the platform has responded', async () => {
    const manager = createManager();
    expect(manager.getReadiness()).toBe('notReady');
    await advanceTime(350);
    expect(manager.getReadiness()).toBe('ready');
    expect(manager.getCurrent()?.version).toBe(1);
  });

  it('applies a new version found by polling and notifies its listeners', async () => {
    const manager = createManager();
    await advanceTime(350);
    const versions: number[] = [];
    manager.onChange(configuration => versions.push(configuration.version));
    await submit('drain-1', 'outings-db-1-a');
    await advanceTime(2000);
    expect(versions).toEqual([1, 2]);
  });

  it('is not ready while neither the platform nor a peer is reachable', async () => {
    platform.setOutage(true);
    const manager = createManager();
    await advanceTime(20_000);
    expect(manager.getReadiness()).toBe('notReady');
    expect(manager.getCurrent()).toBeNull();
  });

  it('gets its first configuration from a peer while the platform is down', async () => {
    const peer = createManager();
    await submit('drain-1', 'outings-db-1-a');
    await advanceTime(2000);
    addPeer('entry-1', peer);
    platform.setOutage(true);
    const manager = createManager();
    await advanceTime(4000);
    expect(manager.getCurrent()?.version).toBe(2);
  });

  it('is not ready while its version is older than one reported by a peer', async () => {
    const peer = createManager();
    await advanceTime(350);
    addPeer('entry-1', peer);
    const pointer = peer.getPointer();
    sources.set('entry-2', {
      getPointer: async () =>
        success(pointer && {...pointer, version: 2, changes: []}),
      getBody: async () => failure({kind: 'sourceFailed', reason: 'slow'}),
    });
    platform.setOutage(true);
    const manager = createManager();
    await advanceTime(10_000);
    expect(manager.getVersion()).toBe(1);
    expect(manager.getCurrent()).toBeNull();
  });

  it('does not become ready from a peer that is not ready itself', async () => {
    platform.setOutage(true);
    addPeer('entry-1', createManager());
    const manager = createManager();
    await advanceTime(20_000);
    expect(manager.getReadiness()).toBe('notReady');
  });

  it('fetches a version announced by a peer while the platform is down', async () => {
    const peer = createManager();
    const unreachablePlatform = InMemoryPlatformService.create({clock});
    addPeer('entry-1', peer);
    unreachablePlatform.setOutage(true);
    const manager = createManager(unreachablePlatform);
    await advanceTime(5000);
    await submit('drain-1', 'outings-db-1-a');
    await peer.refresh();
    expect(peer.getVersion()).toBe(2);
    manager.handleAnnouncement('entry-1', peer.getVersion());
    await advanceTime(50);
    expect(manager.getCurrent()?.version).toBe(2);
  });

  it('applies a small change without a body from the object store', async () => {
    const manager = createManager();
    await advanceTime(350);
    await submit('drain-1', 'outings-db-1-a');
    platform.getObject = async () =>
      failure({kind: 'unavailable', reason: 'the object store is down'});
    await advanceTime(2000);
    expect(manager.getVersion()).toBe(2);
  });

  it('never reverts to an older version', async () => {
    const manager = createManager();
    await submit('drain-1', 'outings-db-1-a');
    await advanceTime(2000);
    const older = InMemoryPlatformService.create({clock});
    platform.getEntry = older.getEntry.bind(older);
    await advanceTime(5000);
    expect(manager.getCurrent()?.version).toBe(2);
  });
});
