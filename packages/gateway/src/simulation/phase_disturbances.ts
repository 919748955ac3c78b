import type {Clock} from '@filbertrun/base/clock.js';
import type {
  InstanceRole,
  PhaseAction,
  PhaseFault,
  PhaseTrigger,
} from './phase_fault.js';
import {getMachine} from './machine_name.js';
import type {SimulatedInstance} from './simulated_group.js';
import {STORE} from './simulated_network.js';
import type {SimulatedDeployment} from './simulated_proxy.js';

/** Time for which a fault waits for its trigger. @internal */
export const PHASE_ARMED_MS = 8_000;

/** Dependencies of `PhaseDisturbances`. @internal */
export interface PhaseDisturbancesOptions {
  readonly deployment: SimulatedDeployment;
  killProxy(name: string): void;
  isolateProxy(name: string, forMs: number): void;
  trace(node: string, event: object): void;
}

interface ArmedFault {
  readonly fault: PhaseFault;
  readonly untilMs: number;
  remainingSkips: number;
  hasStruck: boolean;
}

/**
 * Strikes in phase with a change of primary: each armed fault strikes some time
 * after the next event of its kind.
 *
 * @internal
 */
export class PhaseDisturbances {
  private readonly armed: ArmedFault[] = [];
  private leader: string | null = null;
  private target: string | null = null;
  private paused: string | null = null;

  private constructor(private readonly options: PhaseDisturbancesOptions) {}

  static create(options: PhaseDisturbancesOptions): PhaseDisturbances {
    return new PhaseDisturbances(options);
  }

  arm(fault: PhaseFault): void {
    this.armed.push({
      fault,
      untilMs: this.clock.nowMs() + PHASE_ARMED_MS,
      remainingSkips: fault.skip,
      hasStruck: false,
    });
  }

  /** Handles an event that a proxy has recorded. */
  handleProxyEvent(proxy: string, kind: string): void {
    if (kind === 'changeIntended' || kind === 'promotionOrdered') {
      this.leader = proxy;
    }
    this.handle(kind);
  }

  /** Handles an event at an instance or at the platform. */
  handleGroupEvent(kind: PhaseTrigger, backendServer: string): void {
    if (kind === 'pauseArrived') {
      this.paused = backendServer;
    } else if (kind === 'promotionArrived') {
      this.target = backendServer;
    }
    this.handle(kind);
  }

  handleAcknowledgement(): void {
    this.handle('commitAcknowledged');
  }

  private get clock(): Clock {
    return this.options.deployment.clock;
  }

  private handle(kind: string): void {
    for (const armed of this.armed) {
      const {fault, untilMs, hasStruck} = armed;
      const isOver = hasStruck || this.clock.nowMs() > untilMs;
      if (isOver || fault.trigger !== kind) {
        continue;
      }
      if (armed.remainingSkips > 0) {
        armed.remainingSkips--;
        continue;
      }
      armed.hasStruck = true;
      this.after(fault.afterMs, () => this.strike(fault.action));
    }
  }

  private after(delayMs: number, run: () => void): void {
    this.clock.startTimer(delayMs, run);
  }

  private strike(action: PhaseAction): void {
    this.options.trace('fault', action);
    switch (action.kind) {
      case 'killLeader':
        this.killAll([this.leader ?? this.getProxy(0)]);
        return;
      case 'killAllProxies':
        this.killAll(this.proxies);
        return;
      case 'killOtherProxies': {
        const spared = this.getProxy(action.proxy);
        this.killAll(this.proxies.filter(name => name !== spared));
        return;
      }
      case 'freezeLeader':
        this.freeze(this.leader ?? this.getProxy(0), action.forMs);
        return;
      case 'freezeProxy':
        this.freeze(this.getProxy(action.proxy), action.forMs);
        return;
      case 'isolateProxy':
        this.options.isolateProxy(this.getProxy(action.proxy), action.forMs);
        return;
      case 'slowStore':
      case 'slowControl':
        this.slow(action);
        return;
      default:
        this.strikeInstance(action);
    }
  }

  private strikeInstance(
    action: Extract<PhaseAction, {readonly instance: InstanceRole}>,
  ): void {
    const {group} = this.options.deployment;
    const instance = this.findInstance(action.instance);
    if (instance === null) {
      return;
    }
    this.options.trace(instance.entry.backendServer, action);
    const name = instance.entry.backendServer;
    switch (action.kind) {
      case 'cutLink':
        this.cut([name], [this.getProxy(action.proxy)], action.forMs);
        return;
      case 'cutZone':
        this.cutZone(instance, action);
        return;
      case 'hideInstance': {
        const spared = this.getProxy(action.proxy);
        const others = this.proxies.filter(proxy => proxy !== spared);
        this.cut([name], [...others, STORE], action.forMs);
        return;
      }
      case 'restartInstance':
        group.crash(instance);
        this.after(action.downMs, () => group.restart(instance));
        return;
      case 'replaceInstance':
        group.replace(instance, action.downMs);
        return;
      case 'drainInstance':
        group.drain(instance);
        return;
      case 'stallReplica':
        instance.isReplicationStalled = true;
        this.after(action.forMs, () => {
          instance.isReplicationStalled = false;
        });
        return;
      case 'silenceInstance':
        this.cut([name], [STORE], action.forMs);
        return;
    }
  }

  private cutZone(
    instance: SimulatedInstance,
    action: Extract<PhaseAction, {readonly kind: 'cutZone'}>,
  ): void {
    const {zones, group} = this.options.deployment;
    const companion = this.findInstance(action.with);
    const inside = new Set([
      ...zones.getNodesInZone(getMachine(instance.entry.backendServer)),
      getMachine((companion ?? instance).entry.backendServer),
      this.getProxy(action.proxy),
    ]);
    const machines = [...group.instances.keys()].map(getMachine);
    const all = new Set([...machines, ...this.proxies, STORE, 'promotions']);
    const outside = [...all].filter(node => !inside.has(node));
    this.cut([...inside], outside, action.forMs);
  }

  private cut(
    inside: readonly string[],
    outside: readonly string[],
    forMs: number,
  ): void {
    const {network} = this.options.deployment;
    const pairs = inside.flatMap(node =>
      outside.map(other => [node, other] as const),
    );
    for (const [node, other] of pairs) {
      network.cut(node, other);
    }
    this.after(forMs, () => {
      for (const [node, other] of pairs) {
        network.heal(node, other);
      }
    });
  }

  private slow({
    kind,
    latency,
    forMs,
  }: Extract<PhaseAction, {readonly latency: unknown}>): void {
    const {group, storeLatency} = this.options.deployment;
    const slowed = kind === 'slowStore' ? storeLatency : group.controlLatency;
    slowed.range = latency;
    this.after(forMs, () => {
      slowed.range = null;
    });
  }

  private killAll(names: readonly string[]): void {
    for (const name of names) {
      this.options.killProxy(name);
    }
  }

  private freeze(name: string, forMs: number): void {
    const proxy = this.options.deployment.proxies.get(name);
    proxy?.freeze();
    this.after(forMs, () => proxy?.thaw());
  }

  private get proxies(): readonly string[] {
    return this.options.deployment.zones.proxies;
  }

  private getProxy(index: number): string {
    return this.proxies[index % this.proxies.length] ?? 'e1';
  }

  private findInstance(role: InstanceRole): SimulatedInstance | null {
    const {group} = this.options.deployment;
    switch (role) {
      case 'primary':
        return group.findLeader();
      case 'target':
        return this.findRunning(this.target);
      case 'paused':
        return this.findRunning(this.paused);
      case 'firstReplica':
      case 'secondReplica': {
        const replicas = [...group.instances.values()].filter(
          ({role: current, hasLeft}) => current === 'replica' && !hasLeft,
        );
        return replicas[role === 'firstReplica' ? 0 : 1] ?? null;
      }
    }
  }

  private findRunning(backendServer: string | null): SimulatedInstance | null {
    return backendServer === null
      ? null
      : (this.options.deployment.group.instances.get(backendServer) ?? null);
  }
}
