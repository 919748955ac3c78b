import {setTimeout as sleep} from 'node:timers/promises';
import pg from 'pg';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {SystemClock} from '@filbertrun/base/clock.js';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {GroupManager} from '@filbertrun/group/group_manager.js';
import type {GroupPeers, GroupView} from '@filbertrun/group/group_peers.js';
import {PgInstanceConnector} from '@filbertrun/group/pg_instance_control.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import {
  parsePosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import {NullLogger} from '@filbertrun/observability/logger.js';
import {InMemoryPlatformService} from '@filbertrun/platform/in_memory_platform_service.js';
import {getPreset} from '@filbertrun/standin/presets.js';
import {StandinSystem} from '@filbertrun/standin/standin_system.js';

/** Tests of group managers with the stand-in's instances over real sockets. */

const GROUP = 'sched-db-1';
const INSTANCES = ['sched-db-1-a', 'sched-db-1-b', 'sched-db-1-c'];
const LOGIN = {user: 'filbertrun', password: 'backend-password'};
const TIMEOUT_MS = 20_000;

const clock = SystemClock.create();
const platform = InMemoryPlatformService.create({clock});
const managers: GroupManager[] = [];
const viewListeners = new Map<number, (view: GroupView) => void>();
const holdListeners = new Map<number, (holdMs: number) => void>();
let system: StandinSystem;

function createPeers(index: number): GroupPeers {
  return {
    collectVotes: async (_group, server) =>
      Promise.all(
        managers
          .filter((_manager, other) => other !== index)
          .map(async manager => ({
            entryVm: 'peer',
            availabilityZone: 'peer-zone',
            health: await manager.probe(server),
          })),
      ),
    announceView: view => {
      for (const [other, listener] of viewListeners) {
        if (other !== index) {
          listener(view);
        }
      }
    },
    announceWriteHold: (_group, holdMs) => {
      for (const listener of holdListeners.values()) {
        listener(holdMs);
      }
    },
    onView: (_group, listener) => {
      viewListeners.set(index, listener);
      return () => viewListeners.delete(index);
    },
    onWriteHold: (_group, listener) => {
      holdListeners.set(index, listener);
      return () => holdListeners.delete(index);
    },
    getMonitorRank: () => index,
    getKnownZones: () => ['zone-0', 'zone-1', 'zone-2'],
  };
}

function createServer(backendServer: string, index: number): BackendServer {
  return {
    backendServer,
    availabilityZone: `zone-${index}`,
    host: '127.0.0.1',
    port: system.getHost(backendServer).getPort(),
    state: 'active',
    weight: 100,
    slots: 3,
    maxConnections: 20,
  };
}

function createManager(index: number): GroupManager {
  return GroupManager.create({
    databaseGroup: GROUP,
    backendServers: INSTANCES.map(createServer),
    entryVm: `entry-${index}`,
    availabilityZone: `zone-${index}`,
    connector: PgInstanceConnector.create(
      {
        ...LOGIN,
        databaseGroup: GROUP,
        localAddress: null,
        connectTimeoutMs: 1000,
        callTimeoutMs: 300,
        confirmTimeoutMs: 1200,
      },
      clock,
    ),
    platform,
    peers: createPeers(index),
    clock,
    random: SeededRandom.create(index),
    logger: NullLogger.create(),
  });
}

function getManager(index: number): GroupManager {
  const manager = managers[index];
  if (manager === undefined) {
    throw new RangeError(`No manager ${index}`);
  }
  return manager;
}

/**
 * Inserts a row on the primary that a manager reports. Returns its log
 * position, or null if the insert failed or its position is unknown.
 */
async function insert(
  manager: GroupManager,
  id: number,
): Promise<LogPosition | null> {
  const primary = await manager.waitForPrimary(clock.nowMs() + TIMEOUT_MS);
  if (!primary.ok) {
    return null;
  }
  const client = new pg.Client({
    ...LOGIN,
    host: primary.value.host,
    port: primary.value.port,
    database: GROUP,
  });
  client.on('error', () => {});
  let position: LogPosition | null = null;
  const raw = client as unknown as {
    readonly connection: {
      on(
        event: string,
        listener: (message: {
          readonly parameterName: string;
          readonly parameterValue: string;
        }) => void,
      ): void;
    };
  };
  raw.connection.on('parameterStatus', message => {
    if (message.parameterName === 'group_position') {
      position = parsePosition(message.parameterValue);
    }
  });
  try {
    await client.connect();
    await client.query('INSERT INTO stage_booking VALUES ($1, $2, $3)', [
      id,
      'stage',
      'animator',
    ]);
    return position;
  } catch {
    return null;
  } finally {
    await client.end();
  }
}

/** Inserts rows until a majority is confirmed to hold one. */
async function insertDurably(manager: GroupManager, id: number): Promise<void> {
  for (let attempt = 0; ; attempt++) {
    const position = await insert(manager, id + attempt);
    if (position !== null) {
      const deadlineMs = clock.nowMs() + TIMEOUT_MS;
      const majority = await manager.waitForMajority(position, deadlineMs);
      if (majority.ok) {
        return;
      }
    }
    await sleep(10);
  }
}

beforeAll(async () => {
  system = StandinSystem.create({
    preset: getPreset('atlas'),
    host: '127.0.0.1',
    portBase: null,
    ...LOGIN,
  });
  await system.start();
  for (const index of [0, 1, 2]) {
    managers.push(createManager(index));
  }
});

afterAll(async () => {
  for (const manager of managers) {
    manager.dispose();
  }
  await system.dispose();
});

describe('group managers with instances over real sockets', () => {
  it('find the primary and confirm that a majority holds a write', async () => {
    await insertDurably(getManager(0), 1_000);
    const primary = getManager(0).getPrimary();
    expect(primary?.backendServer).toBe('sched-db-1-a');
  });

  it('confirm the term and report a fresh position', async () => {
    // The confirmation fails while the manager doesn't know the primary yet,
    // and when a round times out on a busy machine. Neither is a test failure.
    await getManager(1).waitForPrimary(clock.nowMs() + TIMEOUT_MS);
    let confirmation = await getManager(1).confirmTerm();
    while (!confirmation.ok) {
      await sleep(10);
      confirmation = await getManager(1).confirmTerm();
    }
    expect(confirmation.value.term).toBe(1);
    expect(getManager(1).getFreshPosition(TIMEOUT_MS)).not.toBeNull();
  });

  it('change the primary on request', async () => {
    const change = await getManager(2).changePrimary('sched-db-1-b');
    expect(change).toMatchObject({ok: true, value: {primary: 'sched-db-1-b'}});
    await insertDurably(getManager(0), 2_000);
    expect(getManager(0).getPrimary()?.backendServer).toBe('sched-db-1-b');
  });

  it('promote another instance when the primary crashes', async () => {
    await system.runCommand({kind: 'crash', instance: 'sched-db-1-b'});
    await insertDurably(getManager(1), 3_000);
    expect(getManager(1).getPrimary()?.backendServer).not.toBe('sched-db-1-b');
    expect(getManager(1).getTerm()).toBeGreaterThan(2);
  });

  it('make the old primary a replica when it restarts', async () => {
    await system.runCommand({kind: 'restart', instance: 'sched-db-1-b'});
    const term = getManager(1).getTerm();
    const getStatus = () =>
      system.getHost('sched-db-1-b').getCore().replication.getStatus();
    while (getStatus().term < term || getStatus().role !== 'replica') {
      await sleep(10);
    }
    expect(getStatus().role).toBe('replica');
  });
});
