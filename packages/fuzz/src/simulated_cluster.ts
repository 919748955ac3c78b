import {
  SeededRandom,
  type RandomSource,
} from '@filbertrun/base/random_source.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import {InMemoryPlatformService} from '@filbertrun/platform/in_memory_platform_service.js';
import {
  INSTANCE_NAMES,
  PROXY_COUNT,
  type GroupScenario,
} from './group_scenario.js';
import {PartyClock} from './party_clock.js';
import type {HistoryRules} from './path_rules.js';
import {SimulatedInstance} from './simulated_instance.js';
import {SimulatedNetwork} from './simulated_network.js';
import {PLATFORM_PARTY, SimulatedPlatform} from './simulated_platform.js';
import {SimulatedPeers, type PeerEndpoint} from './simulated_peers.js';
import {SimulatedProxy} from './simulated_proxy.js';

/** Added to each advance so that rounding doesn't stop just short of a timer. */
const ROUNDING_MS = 1e-6;

const ZONES = ['zone-1', 'zone-2', 'zone-3'];

interface ProxyEntry {
  proxy: SimulatedProxy;
  peers: SimulatedPeers;
  monitorRank: number | null;
}

/**
 * The parties of one history on virtual time: three proxies and three
 * instances in three availability zones, and the platform. A party is a
 * participant with an address on the simulated network and its own clock.
 *
 * @public
 */
export class SimulatedCluster {
  readonly clock = VirtualClock.create();
  readonly network: SimulatedNetwork;
  readonly platform: InMemoryPlatformService;
  readonly transcript: string[] = [];
  private readonly random: RandomSource;
  private readonly clocks = new Map<string, PartyClock>();
  private readonly instances = new Map<string, SimulatedInstance>();
  private readonly proxies: ProxyEntry[] = [];
  private readonly lagsMs = new Map<string, number>();

  private promotionListener: ((backendServer: string) => void) | null = null;

  private constructor(
    private readonly scenario: GroupScenario,
    private readonly rules: HistoryRules,
  ) {
    this.random = SeededRandom.create(scenario.seed);
    this.network = SimulatedNetwork.create(this.clock, this.random);
    this.platform = InMemoryPlatformService.create({clock: this.clock});
  }

  static create(
    scenario: GroupScenario,
    rules: HistoryRules,
  ): SimulatedCluster {
    const cluster = new SimulatedCluster(scenario, rules);
    cluster.addParties();
    return cluster;
  }

  /** Adds a line with the current time to the transcript. */
  log(line: string): void {
    const timeMs = this.clock.nowMs().toFixed(0).padStart(5);
    this.transcript.push(`${timeMs} ms  ${line}`);
  }

  getProxy(index: number): SimulatedProxy {
    const entry = this.proxies[index];
    if (entry === undefined) {
      throw new RangeError(`No proxy ${index}`);
    }
    return entry.proxy;
  }

  getProxyName(index: number): string {
    return `proxy-${index + 1}`;
  }

  getProxyClock(index: number): PartyClock {
    return this.getClock(this.getProxyName(index));
  }

  getInstance(name: string): SimulatedInstance {
    const instance = this.instances.get(name);
    if (instance === undefined) {
      throw new RangeError(`No instance ${name}`);
    }
    return instance;
  }

  getInstances(): readonly SimulatedInstance[] {
    return [...this.instances.values()];
  }

  /** Returns the primary of the highest term, or null. */
  getPrimaryName(): string | null {
    let newest: {readonly name: string; readonly term: number} | null = null;
    for (const [name, instance] of this.instances) {
      const {role, term} = instance.getStatus();
      if (role === 'primary' && (newest === null || term > newest.term)) {
        newest = {name, term};
      }
    }
    return newest?.name ?? null;
  }

  /** Returns how many instances hold a booking now. */
  countHolders(bookingId: string): number {
    let count = 0;
    for (const instance of this.instances.values()) {
      count += instance.getStore().getCount(bookingId) > 0 ? 1 : 0;
    }
    return count;
  }

  getClock(party: string): PartyClock {
    const clock = this.clocks.get(party);
    if (clock === undefined) {
      throw new RangeError(`No party ${party}`);
    }
    return clock;
  }

  setLag(replica: string, lagMs: number): void {
    this.lagsMs.set(replica, lagMs);
  }

  /**
   * Drops the response to the next accepted promotion and calls the listener
   * with the promoted backend server.
   */
  onNextPromotion(listener: (backendServer: string) => void): void {
    this.promotionListener = listener;
  }

  /** Replaces a killed proxy with a new one. */
  restartProxy(index: number): void {
    if (this.getProxy(index).isAlive()) {
      return;
    }
    this.proxies[index] = this.createProxyEntry(
      index,
      this.proxies[index]?.monitorRank ?? null,
    );
  }

  /** Ends all faults and makes each proxy a monitor, ranked by its index. */
  heal(): void {
    this.network.heal();
    this.platform.setOutage(false);
    this.lagsMs.clear();
    for (const clock of this.clocks.values()) {
      clock.resume();
    }
    for (const instance of this.instances.values()) {
      instance.restart();
    }
    for (let index = 0; index < PROXY_COUNT; index++) {
      this.restartProxy(index);
      const entry = this.proxies[index];
      if (entry !== undefined) {
        entry.monitorRank = index;
      }
    }
  }

  /** Advances virtual time timer by timer and lets promises settle. */
  async run(durationMs: number): Promise<void> {
    const endMs = this.clock.nowMs() + durationMs;
    await settlePromises();
    while (this.clock.nowMs() < endMs) {
      const remainingMs = endMs - this.clock.nowMs();
      const delayMs = this.clock.getDelayToNextTimerMs() ?? remainingMs;
      this.clock.advance(Math.min(delayMs + ROUNDING_MS, remainingMs));
      await settlePromises();
    }
  }

  dispose(): void {
    for (const entry of this.proxies) {
      entry.proxy.kill();
    }
  }

  private addParties(): void {
    this.addClock(PLATFORM_PARTY, PartyClock.create(this.clock));
    for (const name of INSTANCE_NAMES) {
      this.addClock(name, PartyClock.create(this.clock));
      this.instances.set(name, this.createInstance(name));
    }
    const first = this.getInstance('a');
    first.call({kind: 'raise', term: 1, claimId: 'first'});
    first.call({kind: 'promote', term: 1, claimId: 'first'});
    for (let index = 0; index < PROXY_COUNT; index++) {
      const rate = this.scenario.clockRates[index] ?? 1;
      this.addClock(
        this.getProxyName(index),
        PartyClock.create(this.clock, rate, index * 1000),
      );
      this.proxies.push(
        this.createProxyEntry(index, this.scenario.watchRanks[index] ?? null),
      );
    }
  }

  private addClock(party: string, clock: PartyClock): void {
    this.clocks.set(party, clock);
    this.network.addParty(party, clock);
  }

  private createInstance(name: string): SimulatedInstance {
    return SimulatedInstance.create({
      backendServer: name,
      peers: INSTANCE_NAMES.filter(other => other !== name),
      clock: this.getClock(name),
      network: this.network,
      getLagMs: replica => this.lagsMs.get(replica) ?? 0,
      getInstance: other => this.getInstance(other),
    });
  }

  private createProxyEntry(
    index: number,
    monitorRank: number | null,
  ): ProxyEntry {
    const party = this.getProxyName(index);
    const clock = this.getClock(party);
    const peers = SimulatedPeers.create({
      party,
      clock,
      network: this.network,
      getOthers: () => this.getOtherPeers(index),
      getMonitorRank: () => this.proxies[index]?.monitorRank ?? monitorRank,
      zones: ZONES,
    });
    const proxy = SimulatedProxy.create({
      host: {
        party,
        clock,
        network: this.network,
        getInstance: name => this.getInstance(name),
        mustConfirmWithMajority: this.rules.path.mustConfirmWithMajority(),
        consumePromoteResponseDrop: server =>
          this.consumePromoteResponseDrop(server),
        log: line => this.log(line),
      },
      availabilityZone: ZONES[index] ?? '',
      servers: INSTANCE_NAMES.map(createServer),
      platform: SimulatedPlatform.create(
        party,
        clock,
        this.network,
        this.platform,
      ),
      peers,
      random: this.random,
      rules: this.rules,
    });
    return {proxy, peers, monitorRank};
  }

  /** Whether to drop the response to this promotion; true only once. */
  private consumePromoteResponseDrop(backendServer: string): boolean {
    const listener = this.promotionListener;
    this.promotionListener = null;
    listener?.(backendServer);
    return listener !== null;
  }

  private getOtherPeers(index: number): readonly PeerEndpoint[] {
    const others: PeerEndpoint[] = [];
    for (const [other, entry] of this.proxies.entries()) {
      if (other !== index && entry.proxy.isAlive()) {
        others.push({
          party: this.getProxyName(other),
          availabilityZone: ZONES[other] ?? '',
          probe: server => entry.proxy.manager.probe(server),
          handleView: view => entry.peers.handleView(view),
          handleWriteHold: holdMs => entry.peers.handleWriteHold(holdMs),
        });
      }
    }
    return others;
  }
}

function createServer(name: string, index: number): BackendServer {
  return {
    backendServer: name,
    availabilityZone: ZONES[index] ?? '',
    host: '127.0.0.1',
    port: index + 1,
    state: 'active',
    weight: 100,
    slots: 2,
    maxConnections: 20,
  };
}

/** Waits until all promises that don't depend on a timer have settled. */
function settlePromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
