import {mkdirSync} from 'node:fs';
import {createSystemRandom} from '@filbertrun/base/random_source.js';
import {Caller} from './caller.js';
import {InstanceGroup} from './instance_group.js';
import {Ledger} from './ledger.js';
import {Links, type LinkEnd} from './links.js';
import {findFreePorts} from './ports.js';
import {PromotionStandin} from './promotion_standin.js';
import {ProxyProcess} from './proxy_process.js';
import {Relay} from './relay.js';
import {RowTable, type Row} from './row_table.js';
import {
  CONFIGURATION_ROW,
  formatConfiguration,
  getRouteNames,
  readLeader,
  readRecordedChange,
} from './store_codec.js';
import {StoreStandin} from './store_standin.js';
import {Trace} from './trace.js';

/** Options of a deployment. @internal */
export interface SoakDeploymentOptions {
  readonly bundle: string;
  readonly folder: string;
  readonly groupCount: number;
}

/** The store and the API are in no zone. */
const STORE_END: LinkEnd = {name: 'store', zone: null};
const PROMOTION_END: LinkEnd = {name: 'promotion-api', zone: null};

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;

/** Zones of the proxies. */
const PROXY_ZONES = ['zone-a', 'zone-a', 'zone-b', 'zone-c', 'zone-c'] as const;

/** Ports of a proxy: callers, readiness and three internal ones. */
const PORT_COUNT = 5;

/** Distances of the internal ports from the first one. */
const PEER_OFFSET = 2;
const LAST_OFFSET = 4;

/** Time after a freeze or a cut for which a proxy counts as held up. */
const HELD_UP_MS = 300;

const CALLERS_PER_ROUTE = 2;

/** Proxies, groups, store and API of one run. @internal */
export class SoakDeployment {
  readonly trace = Trace.create();
  readonly links = Links.create();
  readonly ledger = Ledger.create(this.trace);
  readonly groups: InstanceGroup[] = [];
  readonly proxies: ProxyProcess[] = [];
  /** The store as each proxy sees it, by the name of the proxy. */
  readonly stores = new Map<string, StoreStandin>();
  readonly promotion: PromotionStandin;
  private readonly rows = RowTable.create(row => this.observe(row));
  private readonly changing = new Map<string, string>();
  /** For each port of a process, the ports of its relays by zone. */
  private readonly relayPorts = new Map<number, ReadonlyMap<string, number>>();
  private readonly relays: Relay[] = [];
  private readonly callers: Caller[] = [];
  private readonly callersDone: Promise<void>[] = [];
  private readonly heldUpUntilMs = new Map<string, number>();
  private leader: string | null = null;

  private constructor(
    private readonly options: SoakDeploymentOptions,
    promotion: PromotionStandin,
  ) {
    this.promotion = promotion;
  }

  static async start(options: SoakDeploymentOptions): Promise<SoakDeployment> {
    mkdirSync(options.folder, {recursive: true});
    const promotion: PromotionStandin = await PromotionStandin.start({
      handleArrival: call => {
        const {holder, target, fencingToken} = call;
        deployment.trace.note(
          `promote ${target} by ${holder}, token ${fencingToken}, arrives`,
        );
        deployment.trace.emit('promoteArrived');
      },
      accept: call => {
        const status = deployment
          .findGroup(call.databaseGroup)
          .promote(call.target);
        deployment.trace.note(
          `promote ${call.target} by ${call.holder}, token ${call.fencingToken}: ${status}`,
        );
        deployment.ledger.recordPromotion(call);
        return status;
      },
    });
    const deployment = new SoakDeployment(options, promotion);
    await deployment.startAll();
    return deployment;
  }

  /** The proxy that leads, as the record says. */
  findLeader(): ProxyProcess | null {
    return this.proxies.find(({name}) => name === this.leader) ?? null;
  }

  /** Whether a change of a group is recorded. */
  isChanging(databaseGroup: string): boolean {
    return this.changing.has(databaseGroup);
  }

  /** The target in the record of a group; null if there is none. */
  findTarget(databaseGroup: string): string | null {
    return this.changing.get(databaseGroup) || null;
  }

  async areAllReady(): Promise<boolean> {
    const ready = await Promise.all(this.proxies.map(proxy => proxy.isReady()));
    return ready.every(isReady => isReady);
  }

  /** Ends the callers, after which nothing more is acknowledged. */
  async stopCallers(): Promise<void> {
    for (const caller of this.callers) {
      caller.stop();
    }
    await Promise.all(this.callersDone);
  }

  async stop(): Promise<void> {
    await this.stopCallers();
    await Promise.all(this.proxies.map(proxy => proxy.stop()));
    for (const group of this.groups) {
      group.stop();
    }
    for (const relay of this.relays) {
      relay.stop();
    }
    for (const store of this.stores.values()) {
      store.stop();
    }
    this.promotion.stop();
  }

  private findGroup(name: string): InstanceGroup {
    const group = this.groups.find(candidate => candidate.name === name);
    if (group === undefined) {
      throw new Error(`no group ${name}`);
    }
    return group;
  }

  private async startAll(): Promise<void> {
    const {groupCount} = this.options;
    const names = Array.from({length: groupCount}, (_, i) => `group${i + 1}`);
    for (const name of names) {
      await this.startGroup(name);
    }
    const text = formatConfiguration(names);
    this.rows.apply([{...CONFIGURATION_ROW, text}]);
    for (const [index, zone] of PROXY_ZONES.entries()) {
      await this.startProxy(`entry-${index + 1}`, zone);
    }
    for (const proxy of this.proxies) {
      this.startCallers(proxy, names);
    }
    const timer = setInterval(() => this.updateHeldUp(), 20);
    timer.unref();
  }

  private async startGroup(name: string): Promise<void> {
    const random = createSystemRandom();
    const places = [];
    for (const zone of ZONES) {
      const port = await findFreePorts(random, 1);
      const end = {name: `instances of ${zone}`, zone};
      await this.startZoneRelays(end, port, () => this.isInstanceUp(port));
      places.push({zone, port});
    }
    const {rows, trace, links, ledger} = this;
    this.groups.push(
      await InstanceGroup.start(
        {
          name,
          rows,
          trace,
          links,
          findProxy: proxy => this.proxies.find(p => p.name === proxy) ?? null,
          handlePromotion: target => ledger.checkPromotion(target),
        },
        places,
      ),
    );
    links.refresh();
  }

  private async startProxy(entryVm: string, zone: string): Promise<void> {
    const {trace, options} = this;
    const end: LinkEnd = {name: entryVm, zone};
    const firstPort = await findFreePorts(createSystemRandom(), PORT_COUNT);
    const peerPort = firstPort + PEER_OFFSET;
    for (let port = peerPort; port <= firstPort + LAST_OFFSET; port++) {
      await this.startZoneRelays(end, port, () => true);
    }
    const store = await StoreStandin.start({
      rows: this.rows,
      trace,
      toRelayPort: port => this.relayPorts.get(port)?.get(zone) ?? port,
      toRealPort: port => this.toRealPort(port),
    });
    this.stores.set(entryVm, store);
    const storePort = await this.startRelay(end, STORE_END, store.port);
    const promotionPort = await this.startRelay(
      end,
      PROMOTION_END,
      this.promotion.port,
    );
    this.proxies.push(
      ProxyProcess.start({
        bundle: options.bundle,
        folder: options.folder,
        trace,
        settings: {
          entryVm,
          zone,
          zones: ZONES,
          callerPort: firstPort,
          readinessPort: firstPort + 1,
          firstInternalPort: peerPort,
          lastInternalPort: firstPort + LAST_OFFSET,
          storeAddress: `127.0.0.1:${storePort}`,
          promotionAddress: `127.0.0.1:${promotionPort}`,
        },
      }),
    );
  }

  private async startRelay(
    from: LinkEnd,
    to: LinkEnd,
    targetPort: number,
    isTargetUp = () => true,
  ): Promise<number> {
    const {links} = this;
    const relay = await Relay.start({
      links,
      from,
      to,
      targetPort,
      isTargetUp,
    });
    this.relays.push(relay);
    return relay.port;
  }

  /** Starts a relay to a port of a process for each zone that calls it. */
  private async startZoneRelays(
    to: LinkEnd,
    port: number,
    isTargetUp: () => boolean,
  ): Promise<void> {
    const ports = new Map<string, number>();
    for (const zone of ZONES) {
      const from = {name: `proxies of ${zone}`, zone};
      ports.set(zone, await this.startRelay(from, to, port, isTargetUp));
    }
    this.relayPorts.set(port, ports);
  }

  private isInstanceUp(port: number): boolean {
    return this.groups.some(({liveInstances}) =>
      liveInstances.some(({identity}) => identity.port === port),
    );
  }

  private toRealPort(port: number): number {
    for (const [realPort, ports] of this.relayPorts) {
      if ([...ports.values()].includes(port)) {
        return realPort;
      }
    }
    return port;
  }

  private startCallers(proxy: ProxyProcess, groups: readonly string[]): void {
    const {ledger, trace} = this;
    for (const databaseGroup of groups) {
      const {strict, ownWrites} = getRouteNames(databaseGroup);
      for (const database of [strict, ownWrites]) {
        for (let index = 1; index <= CALLERS_PER_ROUTE; index++) {
          const caller = Caller.create({
            name: `${proxy.name}${database}${index}`,
            database,
            databaseGroup,
            isStrict: database === strict,
            entryVm: proxy.name,
            port: proxy.callerPort,
            ledger,
            trace,
            random: createSystemRandom(),
            isHeldUp: () => this.isHeldUp(proxy.name),
          });
          this.callers.push(caller);
          this.callersDone.push(caller.run());
        }
      }
    }
  }

  /** Whether a proxy was frozen or on a link that was cut shortly before. */
  private isHeldUp(name: string): boolean {
    return (this.heldUpUntilMs.get(name) ?? 0) > this.trace.nowMs();
  }

  private updateHeldUp(): void {
    const nowMs = this.trace.nowMs();
    const ends = this.groups.flatMap(({liveInstances}) => liveInstances);
    for (const proxy of this.proxies) {
      const isCut = [...ends, STORE_END].some(end =>
        this.links.isCut(proxy, end),
      );
      if (isCut || proxy.frozenUntilMs > nowMs) {
        this.heldUpUntilMs.set(proxy.name, nowMs + HELD_UP_MS);
      }
    }
  }

  /** Follows the records of the proxies. */
  private observe(row: Row): void {
    this.leader = readLeader(row) ?? this.leader;
    const change = readRecordedChange(row);
    if (change === null) {
      return;
    }
    const {databaseGroup, isChanging, target, text} = change;
    const before = this.changing.get(databaseGroup) ?? null;
    if (!isChanging) {
      this.changing.delete(databaseGroup);
    } else {
      this.changing.set(databaseGroup, target ?? '');
    }
    this.trace.note(`record ${text}`);
    if (isChanging && before === null) {
      this.trace.emit('intentRecorded');
    }
    if (isChanging && target !== null && target !== before) {
      this.trace.emit('targetRecorded');
    }
  }
}
