import {SeededRandom} from '@filbertrun/base/random_source.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {NullLogger} from '@filbertrun/observability/logger.js';
import {InMemoryPlatformService} from '@filbertrun/platform/in_memory_platform_service.js';
import type {PlatformService} from '@filbertrun/platform/platform_service.js';
import {ControlPlane} from './control_plane.js';
import {FakePeerNetwork} from './fake_peer_network.js';
import {PausableClock} from '@filbertrun/base/pausable_clock.js';

/**
 * Control planes of several proxies on virtual time, for tests.
 *
 * @internal
 */

/** One proxy of the cluster. @internal */
export interface FakeNode {
  readonly entryVm: string;
  readonly peerUrl: string;
  readonly control: ControlPlane;
  readonly clock: PausableClock;
}

/** A cluster of control planes on virtual time. @internal */
export class FakeControlCluster {
  readonly clock = VirtualClock.create();
  readonly network = FakePeerNetwork.create(this.clock);
  readonly platform = InMemoryPlatformService.create({clock: this.clock});
  readonly nodes = new Map<string, FakeNode>();
  private startCount = 0;

  private constructor(private readonly zones: readonly string[]) {}

  /** Creates an empty cluster; nodes are assigned to zones round-robin. */
  static create(zones: readonly string[]): FakeControlCluster {
    return new FakeControlCluster(zones);
  }

  /** Starts `entry-N`, or restarts it after `kill`. */
  start(
    index: number,
    platform: PlatformService = this.platform,
  ): ControlPlane {
    const entryVm = `entry-${index}`;
    const peerUrl = `http://${entryVm}:7000`;
    const availabilityZone = this.zones[index % this.zones.length] ?? 'zone';
    const clock = PausableClock.create(this.clock);
    this.startCount++;
    const control = ControlPlane.create({
      identity: {entryVm, availabilityZone, peerUrl},
      startedAtEpochMs: 1_700_000_000_000 + this.clock.nowMs(),
      platform,
      transport: this.network.createTransport(peerUrl),
      seedPeerUrls: [],
      clock,
      random: SeededRandom.create(this.startCount),
      logger: NullLogger.create(),
    });
    this.platform.putVm({entryVm, availabilityZone, peerUrl, state: 'live'});
    this.network.attach(peerUrl, control.createHandler(), clock);
    this.nodes.set(entryVm, {entryVm, peerUrl, control, clock});
    return control;
  }

  /** Terminates a node without notifying the others. */
  kill(index: number): void {
    const node = this.getNode(index);
    this.network.detach(node.peerUrl);
    node.control.dispose();
    this.nodes.delete(node.entryVm);
  }

  getNode(index: number): FakeNode {
    const node = this.nodes.get(`entry-${index}`);
    if (node === undefined) {
      throw new Error(`entry-${index} is not running`);
    }
    return node;
  }

  /** Blocks the links between two sets of nodes in both directions. */
  partition(left: readonly number[], right: readonly number[]): void {
    for (const from of left) {
      for (const to of right) {
        const fromUrl = `http://entry-${from}:7000`;
        const toUrl = `http://entry-${to}:7000`;
        this.network.blockLink(fromUrl, toUrl);
        this.network.blockLink(toUrl, fromUrl);
      }
    }
  }

  /** Advances virtual time, running due timers and pending promises. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.clock.nowMs() + durationMs;
    for (;;) {
      await new Promise(resolve => setImmediate(resolve));
      const leftMs = endMs - this.clock.nowMs();
      const delayMs = this.clock.getDelayToNextTimerMs();
      if (delayMs === null || delayMs > leftMs) {
        this.clock.advance(leftMs);
        return;
      }
      this.clock.advance(delayMs);
    }
  }

  dispose(): void {
    for (const node of this.nodes.values()) {
      node.control.dispose();
    }
  }
}
