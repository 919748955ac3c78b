import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {Instance} from './instance.js';
import {describe, type InstanceGroup} from './instance_group.js';
import {cutLink, cutZone, type Cut} from './links.js';
import {pause} from './pause.js';
import type {ProxyProcess} from './proxy_process.js';
import type {SoakDeployment} from './soak_deployment.js';
import type {Fault, InstanceChoice} from './soak_plan.js';

/** Carries out faults on one group of a deployment. @internal */
export class FaultInjector {
  private readonly endings = new Set<() => void>();
  /** The replicas that choices name; they stay the same within a round. */
  private replicas: readonly Instance[] = [];
  private primary: Instance | null = null;

  private constructor(
    private readonly deployment: SoakDeployment,
    private readonly group: InstanceGroup,
    private readonly random: RandomSource,
  ) {}

  static create(
    deployment: SoakDeployment,
    group: InstanceGroup,
    random: RandomSource,
  ): FaultInjector {
    return new FaultInjector(deployment, group, random);
  }

  /** Fixes which instances the choices of a round name. */
  startRound(): void {
    this.primary = this.group.newestPrimary;
    const replicas = this.group.liveInstances.filter(
      ({role}) => role === 'replica',
    );
    this.replicas =
      this.random.nextFloat() < 0.5 ? replicas : [...replicas].reverse();
  }

  /** Ends all faults that last. */
  endRound(): void {
    for (const end of [...this.endings]) {
      end();
    }
    for (const instance of this.group.liveInstances) {
      instance.deafUntilMs = 0;
    }
  }

  inject(fault: Fault): void {
    const {deployment, group} = this;
    deployment.trace.note(`fault ${JSON.stringify(fault)}`);
    const leader = deployment.findLeader();
    switch (fault.kind) {
      case 'killLeader':
        leader?.signal('SIGKILL');
        return;
      case 'killAll':
        void this.killAll(fault.gapMs);
        return;
      case 'killAllButLeader':
        for (const proxy of deployment.proxies) {
          if (proxy !== leader) {
            proxy.signal('SIGKILL');
          }
        }
        return;
      case 'stopLeader':
        leader?.terminate();
        return;
      case 'stopLeaders':
        this.stopLeaders(fault.count, fault.gapMs, new Set());
        return;
      case 'freezeLeader':
        leader?.freeze(fault.durationMs);
        return;
      case 'freezeAny':
        this.pickProxy()?.freeze(fault.durationMs);
        return;
      case 'slowStore':
        this.changeStores(fault.durationMs, {delayMs: 700});
        return;
      case 'storeDown':
        this.changeStores(fault.durationMs, {isDown: true});
        return;
      case 'lostStoreAnswers':
        this.changeStores(fault.durationMs, {losesAnswers: true});
        return;
      case 'lostPromotionAnswer': {
        const {conduct} = deployment.promotion;
        conduct.losesAnswers = true;
        this.endAfter(fault.durationMs, () => (conduct.losesAnswers = false));
        return;
      }
      case 'latePromotion':
        deployment.promotion.conduct.acceptMs = fault.acceptMs;
        return;
      case 'cutLink': {
        const instance = this.find(fault.instance);
        if (leader !== null && instance !== null) {
          const cut = cutLink(fault.mode, leader.name, instance.name);
          this.cut(cut, fault.durationMs);
        }
        return;
      }
      case 'cutZone':
        if (this.primary !== null) {
          const {zone} = this.primary;
          this.cut(cutZone(zone, fault.withStore), fault.durationMs);
        }
        return;
      case 'deafen':
        this.deafen(fault.instance, fault.durationMs);
        return;
      case 'restart': {
        const instance = this.find(fault.instance);
        if (instance !== null) {
          void group.restart(instance, fault);
        }
        return;
      }
      case 'drain': {
        const instance = this.find(fault.instance);
        if (instance !== null) {
          void group.drain(instance, fault.drainMs, {...fault, hasNewId: true});
        }
        return;
      }
    }
  }

  /** Lets a replica receive nothing for a while. */
  private deafen(choice: InstanceChoice, durationMs: number): void {
    const instance = this.find(choice);
    if (instance === null) {
      return;
    }
    this.deployment.trace.note(
      `${describe(instance)} receives nothing for ${durationMs} ms`,
    );
    instance.deafUntilMs = this.deployment.trace.nowMs() + durationMs;
  }

  /** Ends all processes and tells when all of them have started again. */
  private async killAll(gapMs: number): Promise<void> {
    const {proxies, trace} = this.deployment;
    const ended = proxies.map(({startCount}) => startCount);
    for (const proxy of proxies) {
      proxy.signal('SIGKILL');
      await pause(gapMs);
    }
    const timer = setInterval(() => {
      const isBack = proxies.every(
        ({startCount}, index) => startCount > (ended[index] ?? 0),
      );
      if (isBack) {
        clearInterval(timer);
        trace.emit('proxiesStarted');
      }
    }, 10);
  }

  /** Stops the leader and then, in turn, the proxies that lead after it. */
  private stopLeaders(
    count: number,
    gapMs: number,
    stopped: ReadonlySet<ProxyProcess>,
  ): void {
    const leader = this.deployment.findLeader();
    if (leader !== null && !stopped.has(leader)) {
      leader.terminate();
      if (count > 1) {
        const nowStopped = new Set([...stopped, leader]);
        setTimeout(() => this.stopLeaders(count - 1, gapMs, nowStopped), gapMs);
      }
    }
  }

  private pickProxy(): ProxyProcess | null {
    const {proxies} = this.deployment;
    return proxies[this.random.nextInteger(0, proxies.length - 1)] ?? null;
  }

  private changeStores(
    durationMs: number,
    change: {delayMs?: number; isDown?: boolean; losesAnswers?: boolean},
  ): void {
    const stores = [...this.deployment.stores.values()];
    for (const {conduct} of stores) {
      Object.assign(conduct, change);
    }
    this.endAfter(durationMs, () => {
      for (const {conduct} of stores) {
        Object.assign(conduct, {
          delayMs: 0,
          isDown: false,
          losesAnswers: false,
        });
      }
    });
  }

  private cut(cut: Cut, durationMs: number): void {
    this.endAfter(durationMs, this.deployment.links.apply(cut));
  }

  private endAfter(durationMs: number, end: () => void): void {
    const finish = () => {
      clearTimeout(timer);
      if (this.endings.delete(finish)) {
        end();
        this.deployment.trace.note('the fault ends');
      }
    };
    const timer = setTimeout(finish, durationMs);
    this.endings.add(finish);
  }

  private find(choice: InstanceChoice): Instance | null {
    const instance = this.findAny(choice);
    return instance?.isAlive === true ? instance : null;
  }

  private findAny(choice: InstanceChoice): Instance | undefined {
    const [first, second] = this.replicas;
    const target = this.deployment.findTarget(this.group.name);
    switch (choice) {
      case 'primary':
        return this.primary ?? undefined;
      case 'replica':
        return first;
      case 'otherReplica':
        return second;
      case 'target':
        return this.replicas.find(({id}) => id === target);
      case 'notTarget':
        return this.replicas.find(({id}) => id !== target);
    }
  }
}
