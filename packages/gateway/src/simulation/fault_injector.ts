import type {HistoryFault} from './history_fault.js';
import type {LeaderDisturbances} from './leader_disturbances.js';
import type {PhaseDisturbances} from './phase_disturbances.js';
import {STORE} from './simulated_network.js';
import type {SimulatedDeployment} from './simulated_proxy.js';
import type {DisturbanceTracker} from './disturbance_tracker.js';

/** Dependencies of `FaultInjector`. @internal */
export interface FaultInjectorOptions {
  readonly deployment: SimulatedDeployment;
  readonly disturbances: DisturbanceTracker;
  /** Names of the proxies, by their index in a fault. */
  readonly proxies: readonly string[];
  killProxy(name: string): void;
  readonly leaderDisturbances: LeaderDisturbances;
  readonly phaseDisturbances: PhaseDisturbances;
}

/** Injects the faults of a history. @internal */
export class FaultInjector {
  private constructor(private readonly options: FaultInjectorOptions) {}

  static create(options: FaultInjectorOptions): FaultInjector {
    return new FaultInjector(options);
  }

  /** Injects a fault; one with a duration ends by itself. */
  inject(fault: HistoryFault): void {
    const {group, store} = this.options.deployment;
    switch (fault.kind) {
      case 'crashPrimary': {
        const primary = group.findLeader();
        group.crash(primary);
        this.after(fault.forMs, () => group.restart(primary));
        return;
      }
      case 'crashReplica':
      case 'stallReplication': {
        const replica = this.pickReplica(
          fault.kind === 'stallReplication' ? fault.replica : 0,
        );
        if (replica === null) {
          return;
        }
        if (fault.kind === 'stallReplication') {
          replica.isReplicationStalled = true;
          this.after(fault.forMs, () => {
            replica.isReplicationStalled = false;
          });
          return;
        }
        group.crash(replica);
        this.after(fault.forMs, () => group.restart(replica));
        return;
      }
      case 'isolatePrimary': {
        const primary = group.findLeader().entry.backendServer;
        const others = [...group.instances.keys()].filter(id => id !== primary);
        const proxies = fault.proxies.map(index => this.getProxy(index));
        const replicas = fault.isFromReplicas ? others : [];
        this.disconnectFor(primary, [...replicas, ...proxies], fault.forMs);
        return;
      }
      case 'isolateProxy':
        this.isolateProxy(this.getProxy(fault.proxy), fault.forMs);
        return;
      case 'disconnectStore':
        this.disconnectFor(this.getProxy(fault.proxy), [STORE], fault.forMs);
        return;
      case 'disconnectPeers': {
        const [left, right] = fault.proxies;
        const peer = this.getProxy(right);
        this.disconnectFor(this.getProxy(left), [peer], fault.forMs);
        return;
      }
      case 'storeDown':
        this.isolateStore(fault.forMs);
        return;
      case 'storeRestored':
        this.isolateStore(fault.forMs);
        // No node reaches the store until the fault ends, so restoring it now has the
        // same effect as restoring it at the end.
        this.options.deployment.restore.restore(fault.ageMs);
        return;
      case 'loseWriteResponses':
        store.writeMode = 'doneWithoutAnswer';
        this.after(fault.forMs, () => {
          store.writeMode = 'answered';
        });
        return;
      case 'killProxy':
        this.options.killProxy(this.getProxy(fault.proxy));
        return;
      case 'stepClock':
        this.options.deployment.proxies
          .get(this.getProxy(fault.proxy))
          ?.wallClock.step(fault.byMs);
        this.options.disturbances.recordDisturbance(
          this.getProxy(fault.proxy),
          this.options.deployment.clock.nowMs(),
        );
        return;
      case 'drainPrimary': {
        group.drain(group.findLeader());
        return;
      }
      case 'drainReplica':
      case 'reuseAddress': {
        const replica = this.pickReplica(fault.replica);
        if (replica === null) {
          return;
        }
        if (fault.kind === 'drainReplica') {
          group.drain(replica);
        } else {
          group.replaceWithForeign(replica);
        }
        return;
      }
      case 'isolateZone':
        this.isolateZone(fault);
        return;
      case 'isolateZoneControl':
        this.isolateZoneControl(fault);
        return;
      case 'changeConfiguration':
        this.options.deployment.operator.toggleOptionalRoute();
        return;
      case 'delayConfiguration': {
        const {operator, clock} = this.options.deployment;
        const untilMs = clock.nowMs() + fault.forMs;
        for (const index of fault.proxies) {
          operator.delayListings(this.getProxy(index), untilMs);
        }
        return;
      }
      case 'killAllProxies':
        for (const name of this.options.proxies) {
          this.options.killProxy(name);
        }
        return;
      case 'stopProxy':
        this.options.leaderDisturbances.stop(this.getProxy(fault.proxy));
        return;
      case 'slowPromotions':
        group.acceptDelayMs = fault.delayMs;
        this.after(fault.forMs, () => {
          group.acceptDelayMs = 0;
        });
        return;
      case 'lateOrder': {
        const replica = this.pickReplica(fault.replica);
        if (replica !== null) {
          group.promote(replica);
        }
        return;
      }
      case 'inPhase':
        this.options.phaseDisturbances.arm(fault);
        return;
      case 'delayReplication': {
        const replica = this.pickReplica(fault.replica);
        if (replica !== null) {
          replica.replicationDelayMs = fault.delayMs;
          this.after(fault.forMs, () => {
            replica.replicationDelayMs = 0;
          });
        }
        return;
      }
      case 'disturbLeader':
        this.options.leaderDisturbances.arm(fault);
        return;
    }
  }

  /**
   * Disconnects a proxy from the store, the node `promotions`, which is the
   * promotion service, and the other
   * proxies, but not from instances.
   */
  isolateProxy(proxy: string, forMs: number): void {
    const others = this.options.proxies.filter(name => name !== proxy);
    this.disconnectFor(proxy, [...others, STORE, 'promotions'], forMs);
  }

  private isolateStore(forMs: number): void {
    const {group} = this.options.deployment;
    this.disconnectFor(
      STORE,
      [...this.options.proxies, ...group.instances.keys()],
      forMs,
    );
  }

  private pickReplica(index: number) {
    const replicas = [
      ...this.options.deployment.group.instances.values(),
    ].filter(({role, isRunning}) => role === 'replica' && isRunning);
    return replicas[index] ?? replicas[0] ?? null;
  }

  private isolateZone(
    fault: Extract<HistoryFault, {readonly kind: 'isolateZone'}>,
  ): void {
    const {group} = this.options.deployment;
    const leader = group.findLeader().entry.backendServer;
    const zoneNodes = this.options.deployment.zones.getNodesInZone(leader);
    const inside =
      zoneNodes.length > 1
        ? zoneNodes
        : [
            leader,
            this.pickReplica(fault.replica)?.entry.backendServer ?? '',
            this.getProxy(fault.proxy),
          ];
    const allNodes = [
      ...group.instances.keys(),
      ...this.options.proxies,
      STORE,
      'promotions',
    ];
    const outside = allNodes.filter(node => !inside.includes(node));
    for (const node of inside) {
      this.disconnectFor(node, outside, fault.forMs);
    }
  }

  private isolateZoneControl(
    fault: Extract<HistoryFault, {readonly kind: 'isolateZoneControl'}>,
  ): void {
    const {zones} = this.options.deployment;
    const zone = zones.getZone(this.getProxy(fault.proxy));
    const inside = zones.proxies.filter(name => zones.getZone(name) === zone);
    const outside = [
      ...zones.proxies.filter(name => !inside.includes(name)),
      STORE,
      'promotions',
    ];
    for (const name of inside) {
      this.disconnectFor(name, outside, fault.forMs);
    }
  }

  private getProxy(index: number): string {
    return this.options.proxies[index] ?? 'e1';
  }

  private disconnectFor(
    node: string,
    others: readonly string[],
    forMs: number,
  ): void {
    for (const other of others) {
      this.options.deployment.network.cut(node, other);
    }
    this.after(forMs, () => {
      for (const other of others) {
        this.options.deployment.network.heal(node, other);
      }
    });
  }

  private after(delayMs: number, run: () => void): void {
    this.options.deployment.clock.startTimer(delayMs, run);
  }
}
