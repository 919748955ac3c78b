import {SeededRandom} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {sleep} from '@filbertrun/base/sleep.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {Customer, CustomerLimit} from '../customer/customer.js';
import type {EntryVmRecord} from '../control/control_record.js';
import {EntryVmRegistration} from '../control/entry_vm_registration.js';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import type {PeerError} from '../peer/peer_client.js';
import {bindPeers} from '../simulation/mutant_wrappers.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {FakePeers} from '../testing/fake_peers.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {advanceClock} from '../testing/settle.js';
import {CustomerQuotas} from './customer_quotas.js';
import type {PermitExchange, PermitGrants} from './permit_exchange.js';
import {computeWindowLimit, type QuotaRules} from './quota_rules.js';

/** Simulated proxies of several zones that apply the limit of one customer. */

/** Name of the customer. */
const CUSTOMER = 'studio';

/** One-way latency of a message between proxies. */
const MESSAGE_MS = 1;

/** Step of virtual time. */
const STEP_MS = 10;

const READ_INTERVAL_MS = 5_000;

const MS_PER_SECOND = 1_000;

/** How a simulated deployment differs from a correct one. @internal */
export interface QuotaMutation {
  /** Changes what a proxy sees of the registrations. */
  changeRecords?(records: readonly EntryVmRecord[]): readonly EntryVmRecord[];
  /** Whether a proxy that is cut off renews its view without a read. */
  readonly ignoresViewAge?: boolean;
  /** Whether an owner grants whatever it is asked for. */
  readonly grantsWithoutLimit?: boolean;
  /** Whether proxies ignore newer limits. */
  readonly ignoresNewLimits?: boolean;
  /** Whether zones each use the whole limit. */
  readonly ignoresZoneCount?: boolean;
}

/** Settings of a simulation. @internal */
export interface QuotaSimulationOptions {
  readonly seed: number;
  readonly zones: readonly string[];
  readonly proxiesPerZone: number;
  readonly limit: CustomerLimit;
  readonly isFirstStart: boolean;
  readonly mutation?: QuotaMutation;
}

/** A proxy with its own registration, quota owner role and limiter. */
interface QuotaProxy {
  readonly zone: string;
  readonly registration: EntryVmRegistration;
  readonly quotas: CustomerQuotas;
  readonly detector: ClockJumpDetector;
  nextReadAtMs: number;
}

/** Proxies that run operations of one customer under faults. @internal */
export class QuotaSimulation {
  readonly clock = VirtualClock.create();
  readonly table = FakeControlTable.create(this.clock);
  readonly random: SeededRandom;
  readonly rules: QuotaRules;
  /** Times at which operations were sent. */
  readonly sentAtMs: number[] = [];
  refusedCount = 0;
  /** Zones that cannot reach the store or proxies of other zones. */
  readonly cutZones = new Set<string>();
  /** Proxies that cannot reach the store. */
  readonly cutFromStore = new Set<string>();
  /** Proxies whose reads of the store fail, while their writes succeed. */
  readonly withoutReads = new Set<string>();
  private readonly proxies = new Map<string, QuotaProxy>();
  private incarnation = 0;
  private limit: CustomerLimit;

  constructor(private readonly options: QuotaSimulationOptions) {
    this.random = SeededRandom.create(options.seed);
    this.limit = options.limit;
    this.rules = {
      windowMs: 5_000,
      overageFraction: 0.1,
      slackOperations: 20,
      zoneCount:
        options.mutation?.ignoresZoneCount === true ? 1 : options.zones.length,
    };
    for (const zone of options.zones) {
      for (let index = 0; index < options.proxiesPerZone; index++) {
        this.start(`${zone}-${index}`, zone, options.isFirstStart);
      }
    }
  }

  get names(): readonly string[] {
    return [...this.proxies.keys()];
  }

  /** Starts a proxy; one of the same name that still runs is killed. */
  start(name: string, zone: string, isFirstStart = false): void {
    const {clock} = this;
    const incarnation = `${name}-${this.incarnation++}`;
    const detector = ClockJumpDetector.create(
      clock,
      FakeWallClock.create(clock),
    );
    const self = {
      entryVm: name,
      availabilityZone: zone,
      peerHost: name,
      peerPort: 1,
      incarnation,
    };
    const registration = EntryVmRegistration.create({
      self,
      table: this.table,
      clockJumpDetector: detector,
      isFirstStart,
      contactWindowMs: 2_500,
      getFollowers: () => new Map(),
      isFollowing: () => false,
    });
    const quotas = CustomerQuotas.create({
      self,
      availabilityZones: this.options.zones,
      clock,
      clockJumpDetector: detector,
      events: InMemoryEventRecorder.create(),
      peers: {
        ...bindPeers(FakePeers.create()),
        exchangePermits: (peer, exchange) =>
          this.deliver(name, peer.entryVm, exchange),
      },
      rules: this.rules,
      getView: () => this.getView(registration),
    });
    quotas.applyCustomers([this.createCustomer()]);
    const nextReadAtMs = clock.nowMs() + this.random.nextInteger(0, 300);
    this.proxies.set(name, {
      zone,
      registration,
      quotas,
      detector,
      nextReadAtMs,
    });
  }

  kill(name: string): void {
    this.proxies.delete(name);
  }

  /** Stops a proxy, which removes its registration. */
  async stop(name: string): Promise<void> {
    const proxy = this.proxies.get(name);
    this.proxies.delete(name);
    await proxy?.registration.deregister();
  }

  /** Applies a new limit at all proxies. */
  setLimit(limit: CustomerLimit): void {
    this.limit = limit;
    if (this.options.mutation?.ignoresNewLimits === true) {
      return;
    }
    for (const {quotas} of this.proxies.values()) {
      quotas.applyCustomers([this.createCustomer()]);
    }
  }

  /** Starts an operation at a proxy. */
  async operate(name: string): Promise<void> {
    const proxy = this.proxies.get(name);
    if (proxy === undefined) {
      return;
    }
    const admitted = await proxy.quotas.limiter.admit(this.createCustomer());
    if (!admitted.ok) {
      this.refusedCount++;
      return;
    }
    // A process that was killed meanwhile sends nothing any more.
    if (this.proxies.get(name) === proxy) {
      admitted.value.markSent();
      this.sentAtMs.push(this.clock.nowMs());
    }
    admitted.value.end();
  }

  /** Runs for a time with a mean rate of operations over the given proxies. */
  async run(
    durationMs: number,
    operationsPerSecond: number,
    names: readonly string[] = this.names,
  ): Promise<void> {
    const endMs = this.clock.nowMs() + durationMs;
    const meanPerStep = (operationsPerSecond * STEP_MS) / MS_PER_SECOND;
    while (this.clock.nowMs() < endMs) {
      for (let left = meanPerStep; left > 0; left--) {
        const name = names[this.random.nextInteger(0, names.length - 1)];
        if (name !== undefined && this.random.nextFloat() < left) {
          void this.operate(name);
        }
      }
      this.maintain();
      await advanceClock(this.clock, STEP_MS);
    }
  }

  /** Delivers an exchange of permits; fails between zones that are cut off. */
  async deliver(
    from: string,
    to: string,
    exchange: PermitExchange,
  ): Promise<Result<PermitGrants | null, PeerError>> {
    await sleep(this.clock, MESSAGE_MS);
    const sender = this.proxies.get(from);
    const receiver = this.proxies.get(to);
    if (sender === undefined || receiver === undefined) {
      return failure({kind: 'unreachable', reason: 'simulated'});
    }
    const crossesCut =
      sender.zone !== receiver.zone &&
      (this.cutZones.has(sender.zone) || this.cutZones.has(receiver.zone));
    if (crossesCut) {
      return failure({kind: 'unreachable', reason: 'simulated'});
    }
    const answer =
      this.options.mutation?.grantsWithoutLimit === true
        ? grantAll(exchange)
        : receiver.quotas.owner.exchange(exchange);
    await sleep(this.clock, MESSAGE_MS);
    // The answer is lost if the holder was restarted meanwhile.
    return this.proxies.get(from) === sender
      ? success(answer)
      : failure({kind: 'unreachable', reason: 'simulated'});
  }

  /** Most operations in any window, compared with the limit. */
  findExcess(limit: CustomerLimit = this.options.limit): number {
    const allowed = computeWindowLimit(limit, this.rules);
    let excess = 0;
    let start = 0;
    for (const [end, sentMs] of this.sentAtMs.entries()) {
      while ((this.sentAtMs[start] ?? 0) < sentMs - this.rules.windowMs) {
        start++;
      }
      excess = Math.max(excess, end - start + 1 - allowed);
    }
    return excess;
  }

  private maintain(): void {
    for (const [name, proxy] of this.proxies) {
      proxy.quotas.maintain();
      const isCut =
        this.cutZones.has(proxy.zone) || this.cutFromStore.has(name);
      if (!isCut && this.clock.nowMs() >= proxy.nextReadAtMs) {
        proxy.nextReadAtMs = this.clock.nowMs() + READ_INTERVAL_MS;
        void this.read(name, proxy);
      }
    }
  }

  private async read(name: string, proxy: QuotaProxy): Promise<void> {
    if (this.withoutReads.has(name)) {
      await proxy.registration.maintain();
      return;
    }
    const readAt = proxy.detector.read();
    const listing = await this.table.listEntries();
    if (listing.ok) {
      proxy.registration.applyListing(listing.value, readAt);
      await proxy.registration.maintain();
    }
  }

  private getView(registration: EntryVmRegistration) {
    const view = registration.getView();
    const {mutation} = this.options;
    if (view === null || mutation === undefined) {
      return view;
    }
    return {
      ...view,
      entryVms: mutation.changeRecords?.(view.entryVms) ?? view.entryVms,
      ageMs: mutation.ignoresViewAge === true ? 0 : view.ageMs,
    };
  }

  private createCustomer(): Customer {
    return {name: CUSTOMER, keyDigests: [], limit: this.limit};
  }
}

function grantAll({reports}: PermitExchange): PermitGrants {
  return {
    grants: reports.map(({customer, neededCount, wantedCount, heldCount}) => ({
      customer,
      confirmedCount: heldCount,
      grantedCount: neededCount,
      reservedCount: wantedCount,
      retryAfterMs: 0,
    })),
  };
}
