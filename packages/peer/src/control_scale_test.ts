import {SeededRandom} from '@filbertrun/base/random_source.js';
import {
  createDrain,
  createGroup,
  createRequest,
} from '@filbertrun/configuration/configuration_fixtures.js';
import {submitChange} from '@filbertrun/configuration/submit_change.js';
import {CONFIGURATION_KEY} from '@filbertrun/platform/platform_service.js';
import {describe, expect, it} from 'vitest';
import {FakeControlCluster} from './fake_control_cluster.js';

/** Number of nodes. A run with 470 takes minutes and is started manually. */
const NODES = Number(process.env['CONTROL_SCALE_NODES'] ?? 60);
const GROUPS = Number(process.env['CONTROL_SCALE_GROUPS'] ?? 110);
const ZONES = ['a1', 'a2', 'a3', 'a4', 'b1', 'b2', 'b3'];

/** Maximum control traffic of one node, in bytes per second. */
const BYTES_PER_SECOND = 14_000;

/** Overhead of tRPC, WebSocket, TCP and IP per message. */
const ENVELOPE_BYTES = 110;

/** Read limit of the platform: 2000 per second from 470 nodes. */
const READS_PER_SECOND = (2000 * NODES) / 470;

const WINDOW_MS = 1000;

/** Counts the reads from the platform per second. */
class ReadCounter {
  readonly readsByWindow = new Map<number, number>();

  private constructor(private readonly cluster: FakeControlCluster) {}

  static create(cluster: FakeControlCluster): ReadCounter {
    const counter = new ReadCounter(cluster);
    const {platform} = cluster;
    const getEntry = platform.getEntry.bind(platform);
    const getObject = platform.getObject.bind(platform);
    const listVms = platform.listVms.bind(platform);
    platform.getEntry = key => {
      counter.count();
      return getEntry(key);
    };
    platform.getObject = name => {
      counter.count();
      return getObject(name);
    };
    platform.listVms = () => {
      counter.count();
      return listVms();
    };
    return counter;
  }

  getMaxReads(): number {
    return Math.max(...this.readsByWindow.values());
  }

  getReadsFrom(window: number): number {
    let reads = 0;
    for (const [counted, count] of this.readsByWindow) {
      reads += counted >= window ? count : 0;
    }
    return reads;
  }

  private count(): void {
    const window = Math.floor(this.cluster.clock.nowMs() / WINDOW_MS);
    const before = this.readsByWindow.get(window) ?? 0;
    this.readsByWindow.set(window, before + 1);
  }
}

function getMaxBytes(cluster: FakeControlCluster): number {
  let highest = 0;
  for (const {peerUrl} of cluster.nodes.values()) {
    const {bytes, messages} = cluster.network.getTraffic(peerUrl);
    highest = Math.max(highest, bytes + messages * ENVELOPE_BYTES);
  }
  return highest;
}

async function advanceUntil(
  cluster: FakeControlCluster,
  limitMs: number,
  isDone: () => boolean,
): Promise<number> {
  let elapsedMs = 0;
  while (elapsedMs < limitMs && !isDone()) {
    await cluster.advance(100);
    elapsedMs += 100;
  }
  return elapsedMs;
}

describe('control plane at scale', () => {
  it('starts all proxies at once within the traffic and read limits', async () => {
    const cluster = FakeControlCluster.create(ZONES);
    const {platform, clock} = cluster;
    const names = Array.from({length: GROUPS}, (_, index) => `db-${index}`);
    const change = {
      kind: 'replaceDatabaseGroups',
      databaseGroups: names.map(createGroup),
    } as const;
    const random = SeededRandom.create(1);
    const dependencies = {platform, clock, random};
    await submitChange(createRequest('1', change), dependencies);
    for (let index = 0; index < NODES; index++) {
      const entryVm = `entry-${index}`;
      const availabilityZone = ZONES[index % ZONES.length] ?? '';
      const peerUrl = `http://${entryVm}:7000`;
      platform.putVm({entryVm, availabilityZone, peerUrl, state: 'live'});
    }
    const reads = ReadCounter.create(cluster);
    for (let index = 0; index < NODES; index++) {
      cluster.start(index);
    }
    const controls = [...cluster.nodes.values()].map(node => node.control);
    const startedMs = await advanceUntil(cluster, 10_000, () =>
      controls.every(control => control.canDispatch()),
    );
    expect(startedMs).toBeLessThan(2000);
    expect(reads.getMaxReads()).toBeLessThan(READS_PER_SECOND);

    const isInForceEverywhere = () =>
      controls.every(control => control.configuration.getVersion() >= 2);
    await cluster.advance(8000);
    const bytesBefore = getMaxBytes(cluster);
    const window = Math.floor(clock.nowMs() / WINDOW_MS);
    await cluster.advance(5000);
    const bytesPerSecond = (getMaxBytes(cluster) - bytesBefore) / 5;
    expect(bytesPerSecond).toBeLessThan(BYTES_PER_SECOND);
    const readsPerSecond = reads.getReadsFrom(window) / 5;
    expect(readsPerSecond).toBeLessThan(READS_PER_SECOND / 2);

    // One proxy reads the change; the platform is unavailable to all others.
    await submitChange(createRequest('2', createDrain('db-1-a')), dependencies);
    const entry = await platform.getEntry(CONFIGURATION_KEY);
    platform.setOutage(true);
    platform.getEntry = async () => entry;
    await controls[0]?.configuration.refresh();
    platform.getEntry = async () => ({
      ok: false,
      error: {kind: 'unavailable', reason: 'down'},
    });
    const spreadMs = await advanceUntil(cluster, 4000, isInForceEverywhere);
    expect(isInForceEverywhere()).toBe(true);
    if (process.env['CONTROL_SCALE_NODES'] !== undefined) {
      process.stderr.write(
        `${JSON.stringify({NODES, startedMs, highestReads: reads.getMaxReads(), bytesPerSecond, readsPerSecond, spreadMs})}\n`,
      );
    }
    cluster.dispose();
  });
});
