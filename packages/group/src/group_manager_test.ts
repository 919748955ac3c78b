import {SeededRandom} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import {NullLogger} from '@filbertrun/observability/logger.js';
import {InMemoryPlatformService} from '@filbertrun/platform/in_memory_platform_service.js';
import {describe, expect, it} from 'vitest';
import {GroupManager} from './group_manager.js';
import type {GroupPeers} from './group_peers.js';
import type {
  InstanceConnection,
  InstanceConnector,
} from './instance_connector.js';
import type {InstanceError, InstanceStatus} from './instance_control.js';

const SERVERS = ['a', 'b', 'c'].map((name, index): BackendServer => ({
  backendServer: name,
  availabilityZone: `zone-${index}`,
  host: '127.0.0.1',
  port: index + 1,
  state: 'active',
  weight: 100,
  slots: 1,
  maxConnections: 10,
}));

function createStatus(server: BackendServer): InstanceStatus {
  const isPrimary = server.backendServer === 'a';
  return {
    backendServer: server.backendServer,
    role: isPrimary ? 'primary' : 'replica',
    term: 1,
    claimId: 'x',
    position: {term: 1, position: 9},
    primary: isPrimary ? null : 'a',
    primarySilentForMs: isPrimary ? null : 0,
    replicas: isPrimary
      ? [
          {
            backendServer: 'c',
            confirmed: {term: 1, position: 9},
            silentForMs: 0,
          },
        ]
      : [],
  };
}

type PollResult = Result<InstanceStatus, InstanceError>;

/** Instance `b` responds to no poll until its connection is closed. */
class FakeConnector implements InstanceConnector {
  /** Instances that were sent `raiseTerm`. */
  readonly raised = new Set<string>();

  async connect(
    server: BackendServer,
  ): Promise<Result<InstanceConnection, InstanceError>> {
    let endPoll: (result: PollResult) => void = () => {};
    const getStatus = (): Promise<PollResult> =>
      server.backendServer === 'b'
        ? new Promise(resolve => {
            endPoll = resolve;
          })
        : Promise.resolve(success(createStatus(server)));
    return success({
      getStatus,
      raiseTerm: () => {
        this.raised.add(server.backendServer);
        return getStatus();
      },
      promote: getStatus,
      follow: getStatus,
      confirmTerm: async () => failure({kind: 'timedOut'}),
      close: () => endPoll(failure({kind: 'unreachable', reason: 'closed'})),
    });
  }
}

function createPeers(monitorRank: number | null): GroupPeers {
  return {
    collectVotes: async () => [],
    announceView: () => {},
    announceWriteHold: () => {},
    onView: () => () => {},
    onWriteHold: () => () => {},
    getMonitorRank: () => monitorRank,
    getKnownZones: () => ['zone-0', 'zone-1', 'zone-2'],
  };
}

async function runFor(clock: VirtualClock, durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
    clock.advance(10);
    await new Promise(resolve => setImmediate(resolve));
  }
}

async function createManager(
  monitorRank: number | null,
  primaryState: BackendServer['state'] = 'active',
) {
  const connector = new FakeConnector();
  const backendServers = SERVERS.map(server =>
    server.backendServer === 'a' ? {...server, state: primaryState} : server,
  );
  const clock = VirtualClock.create();
  const manager = GroupManager.create({
    databaseGroup: 'sched-db-1',
    backendServers,
    entryVm: 'entry-1',
    availabilityZone: 'zone-0',
    connector,
    platform: InMemoryPlatformService.create({clock}),
    peers: createPeers(monitorRank),
    clock,
    random: SeededRandom.create(1),
    logger: NullLogger.create(),
  });
  await runFor(clock, 1000);
  return {manager, connector};
}

describe('GroupManager.getCandidates', () => {
  it('keeps a replica available when its poll failed because the connection was closed as unwanted', async () => {
    const {manager} = await createManager(null);
    const available = manager
      .getCandidates()
      .filter(candidate => candidate.isAvailable)
      .map(candidate => candidate.server.backendServer);
    expect(manager.getPrimary()?.backendServer).toBe('a');
    expect(available).toEqual(['a', 'b', 'c']);
    manager.dispose();
  });
});

describe('GroupManager with a draining primary', () => {
  it('starts to change the primary when this proxy is the first monitor', async () => {
    const {manager, connector} = await createManager(0, 'draining');
    expect([...connector.raised]).toContain('c');
    manager.dispose();
  });

  it('starts no change when this proxy is not the first monitor', async () => {
    const {manager, connector} = await createManager(1, 'draining');
    expect([...connector.raised]).toEqual([]);
    manager.dispose();
  });

  it('does not change an active primary', async () => {
    const {manager, connector} = await createManager(0);
    expect([...connector.raised]).toEqual([]);
    manager.dispose();
  });
});
