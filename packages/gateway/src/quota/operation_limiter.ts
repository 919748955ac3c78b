import type {Clock} from '@filbertrun/base/clock.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {Customer, CustomerLimit} from '../customer/customer.js';
import type {EntryVmIdentity} from '../control/entry_vm_registration.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {RegistrationView} from '../control/registration_view.js';
import type {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {runInBackground} from '../observability/background_task.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {PeerClient} from '../peer/peer_client.js';
import {chooseQuotaOwner} from './choose_quota_owner.js';
import {UNLIMITED_PERMIT, type OperationPermit} from './operation_permit.js';
import type {
  CustomerReport,
  PermitExchange,
  PermitGrants,
} from './permit_exchange.js';
import {PermitReserve, type ReserveSnapshot} from './permit_reserve.js';
import {PermitStock} from './permit_stock.js';
import {isSameLimit} from './quota_ledger.js';
import {getQuotaPartition} from './quota_partition.js';

/** Why an operation got no permit. It was not run. @public */
export interface LimitError {
  /**
   * `exhausted` if the customer has reached its limit, `unreachable` if no
   * quota owner could be asked.
   */
  readonly kind: 'exhausted' | 'unreachable';
  readonly retryAfterMs: number;
}

/** Admits the operations of customers within their limits. @public */
export interface OperationLimiter {
  admit(
    customer: Customer | null,
  ): Promise<Result<OperationPermit, LimitError>>;
}

/** Admits all operations, for deployments without limits. @public */
export const UNLIMITED_OPERATIONS: OperationLimiter = {
  admit: () => Promise.resolve(success(UNLIMITED_PERMIT)),
};

/** Dependencies of {@link QuotaOperationLimiter}. @public */
export interface QuotaOperationLimiterOptions {
  readonly self: EntryVmIdentity;
  /** All availability zones of the deployment. */
  readonly availabilityZones: readonly string[];
  readonly clock: Clock;
  readonly clockJumpDetector: ClockJumpDetector;
  readonly events: GatewayEventRecorder;
  readonly peers: PeerClient;
  getView(): RegistrationView | null;
  /** Exchanges permits with this proxy if it is the owner itself. */
  exchangeLocally(exchange: PermitExchange): PermitGrants | null;
}

/** Timeout for the answer of a quota owner. */
const ASK_TIMEOUT_MS = 100;

/** Time for which an owner that did not answer is not asked again. */
const UNREACHABLE_BACKOFF_MS = 700;

/** Retry delay if no quota owner could be asked; retries reach other proxies. */
const UNREACHABLE_RETRY_AFTER_MS = 100;

/**
 * Time for which an owner of another zone that has no permits left is not asked
 * again. It doubles while the owner has none, because traffic between zones is
 * billed.
 */
const MIN_OTHER_ZONE_BACKOFF_MS = 1_000;
const MAX_OTHER_ZONE_BACKOFF_MS = 8_000;

/** The same in the local zone, where traffic is free. */
const MIN_LOCAL_BACKOFF_MS = 20;
const MAX_LOCAL_BACKOFF_MS = 250;

/** Requests to owners after which an operation is refused. */
const MAX_ROUNDS = 3;

/** Interval at which reserved permits are replenished. */
const REPLENISH_INTERVAL_MS = 2_000;

/** Time without operations after which a customer's permits are returned. */
const IDLE_RETURN_MS = 15_000;

/** Remaining lifetime below which held permits are reported again. */
const RENEW_BELOW_MS = 10_000;

/** Permits to reserve for each operation of the last interval. */
const RESERVE_FACTOR = 2;

/** Most permits that are reserved for one customer. */
const MAX_RESERVE = 50;

type AskOutcome =
  | {readonly kind: 'granted'}
  | {readonly kind: 'exhausted'; readonly retryAfterMs: number}
  | {readonly kind: 'unreachable'};

interface ExhaustedZone {
  /** Time until which the owner is not asked again. */
  readonly askAgainAtMs: number;
  readonly backoffMs: number;
  /** Time at which the owner expects to have a permit. */
  readonly permitAtMs: number;
}

/** One customer as this proxy sees it. */
interface CustomerState {
  readonly partition: string;
  readonly limit: CustomerLimit;
  /** Permits for operations that wait. */
  readonly stock: PermitStock;
  readonly reserve: PermitReserve;
  /** Operations that wait for the request in progress. */
  waiting: number;
  request: Promise<AskOutcome> | null;
  /** Zones whose owner has no permits left. */
  readonly exhausted: Map<string, ExhaustedZone>;
  usedAtMs: number;
  /** Operations since the reserve was last replenished. */
  recentCount: number;
}

/**
 * Admits operations with permits of the customer's quota owners. Most use one
 * that the owner of the local zone has reserved for this proxy. Without one, the
 * owner of the local zone is asked, then those of the other zones, whose shares
 * may be left over.
 *
 * @public
 */
export class QuotaOperationLimiter implements OperationLimiter {
  private readonly states = new Map<string, CustomerState>();
  /** Times until which proxies that did not answer are not asked, by entry VM. */
  private readonly unreachableUntilMs = new Map<string, number>();
  private replenishedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: QuotaOperationLimiterOptions) {}

  static create(options: QuotaOperationLimiterOptions): QuotaOperationLimiter {
    return new QuotaOperationLimiter(options);
  }

  async admit(
    customer: Customer | null,
  ): Promise<Result<OperationPermit, LimitError>> {
    if (customer === null || customer.limit === null) {
      return success(UNLIMITED_PERMIT);
    }
    const state = this.getState(customer.name, customer.limit);
    state.usedAtMs = this.options.clock.nowMs();
    state.recentCount++;
    const held = state.stock.take() ?? state.reserve.take();
    return held === null
      ? this.waitForPermit(customer.name, state)
      : success(held);
  }

  /** Forgets the permits of customers whose limit has changed. */
  applyCustomers(customers: readonly Customer[]): void {
    const limits = new Map(customers.map(({name, limit}) => [name, limit]));
    for (const [name, {limit}] of [...this.states]) {
      if (!isSameLimit(limits.get(name) ?? null, limit)) {
        this.states.delete(name);
      }
    }
  }

  /** Replenishes and returns permits if due. Called on each maintenance pass. */
  maintain(): void {
    const nowMs = this.options.clock.nowMs();
    if (nowMs - this.replenishedAtMs < REPLENISH_INTERVAL_MS) {
      return;
    }
    this.replenishedAtMs = nowMs;
    const reports = new Map<string, CustomerReport[]>();
    for (const [customer, state] of this.states) {
      const report = this.createReplenishment(customer, state);
      if (report !== null) {
        const known = reports.get(state.partition) ?? [];
        known.push(report);
        reports.set(state.partition, known);
      }
    }
    for (const [partition, partitionReports] of reports) {
      runInBackground(
        this.options.events,
        'exchange of permits',
        this.exchange(
          partition,
          this.options.self.availabilityZone,
          partitionReports,
        ),
      );
    }
  }

  /** Returns what to report about a customer's reserve; null for nothing. */
  private createReplenishment(
    customer: string,
    state: CustomerState,
  ): CustomerReport | null {
    const nowMs = this.options.clock.nowMs();
    const {reserve} = state;
    const target = chooseReserve(state.recentCount);
    state.recentCount = 0;
    if (state.request !== null) {
      return null;
    }
    const {heldCount} = reserve;
    if (nowMs - state.usedAtMs >= IDLE_RETURN_MS) {
      return heldCount === 0
        ? null
        : createReport(customer, {returnedCount: reserve.clear()});
    }
    const wantedCount = Math.max(0, target - heldCount);
    const isDue = wantedCount > 0 || reserve.getRemainingMs() < RENEW_BELOW_MS;
    return isDue ? createReport(customer, {heldCount, wantedCount}) : null;
  }

  private async waitForPermit(
    customer: string,
    state: CustomerState,
  ): Promise<Result<OperationPermit, LimitError>> {
    state.waiting++;
    try {
      // A request that was sent before this operation arrived may not include it.
      for (let round = 0; round < MAX_ROUNDS; round++) {
        state.request ??= this.ask(customer, state).finally(() => {
          state.request = null;
        });
        const outcome = await state.request;
        const permit = state.stock.take() ?? state.reserve.take();
        if (permit !== null) {
          return success(permit);
        }
        if (outcome.kind !== 'granted') {
          return failure(toLimitError(outcome));
        }
      }
    } finally {
      state.waiting--;
    }
    const retryAfterMs = UNREACHABLE_RETRY_AFTER_MS;
    return failure({kind: 'exhausted', retryAfterMs});
  }

  /** Asks the owners zone by zone until one of them grants a permit. */
  private async ask(
    customer: string,
    state: CustomerState,
  ): Promise<AskOutcome> {
    // Lets the operations that arrive together share a request.
    await Promise.resolve();
    let result: AskOutcome = {kind: 'unreachable'};
    for (const zone of this.listZones(customer)) {
      const outcome = await this.askZone(customer, state, zone);
      if (outcome.kind === 'granted') {
        return outcome;
      }
      if (outcome.kind === 'exhausted') {
        const earlierMs =
          result.kind === 'exhausted'
            ? result.retryAfterMs
            : Number.POSITIVE_INFINITY;
        const retryAfterMs = Math.min(earlierMs, outcome.retryAfterMs);
        result = {kind: 'exhausted', retryAfterMs};
      }
    }
    return result;
  }

  /** The local zone first, then the others in an order of the customer's own. */
  private listZones(customer: string): readonly string[] {
    const {self, availabilityZones} = this.options;
    const {availabilityZone} = self;
    const others = availabilityZones.filter(zone => zone !== availabilityZone);
    const first = customer.length % Math.max(1, others.length);
    return [
      availabilityZone,
      ...others.slice(first),
      ...others.slice(0, first),
    ];
  }

  private async askZone(
    customer: string,
    state: CustomerState,
    zone: string,
  ): Promise<AskOutcome> {
    const {clock, self} = this.options;
    const known = state.exhausted.get(zone);
    if (known !== undefined && clock.nowMs() < known.askAgainAtMs) {
      const retryAfterMs = known.permitAtMs - clock.nowMs();
      return {kind: 'exhausted', retryAfterMs};
    }
    const isLocal = zone === self.availabilityZone;
    const report = createReport(customer, {
      heldCount: isLocal ? state.reserve.heldCount : 0,
      neededCount: Math.max(1, state.waiting),
      wantedCount: isLocal ? 1 : 0,
    });
    const grants = await this.exchange(state.partition, zone, [report]);
    const grant = grants?.grants[0];
    if (grant === undefined) {
      return {kind: 'unreachable'};
    }
    if (grant.grantedCount > 0) {
      state.exhausted.delete(zone);
      return {kind: 'granted'};
    }
    const {retryAfterMs} = grant;
    const permitAtMs = clock.nowMs() + retryAfterMs;
    const backoffMs = isLocal
      ? chooseLocalBackoffMs(retryAfterMs)
      : chooseOtherZoneBackoffMs(known?.backoffMs ?? 0);
    const askAgainAtMs = clock.nowMs() + backoffMs;
    state.exhausted.set(zone, {askAgainAtMs, backoffMs, permitAtMs});
    return {kind: 'exhausted', retryAfterMs};
  }

  /**
   * Exchanges permits with the owner of a partition in a zone. Returns the answer
   * after it was applied; null if there is none in time or the proxy is not the
   * owner. A late answer is applied, too.
   */
  private async exchange(
    partition: string,
    zone: string,
    reports: readonly CustomerReport[],
  ): Promise<PermitGrants | null> {
    const {clock, peers, self} = this.options;
    const owner = this.findOwner(partition, zone);
    if (owner === null || this.isUnreachable(owner)) {
      return null;
    }
    const holder = self.incarnation;
    const message = {holder, partition, reports};
    const apply = this.prepareApply(reports, zone);
    if (owner.entryVm === self.entryVm) {
      return apply(this.options.exchangeLocally(message));
    }
    const answer = peers
      .exchangePermits(owner, message)
      .then(result => apply(result.ok ? result.value : null));
    const timeout = sleep(clock, ASK_TIMEOUT_MS).then(() => null);
    const grants = await Promise.race([answer, timeout]);
    if (grants === null) {
      const untilMs = clock.nowMs() + UNREACHABLE_BACKOFF_MS;
      this.unreachableUntilMs.set(owner.entryVm, untilMs);
    }
    return grants;
  }

  /** Returns a function that applies the answer to reports sent now. */
  private prepareApply(
    reports: readonly CustomerReport[],
    zone: string,
  ): (grants: PermitGrants | null) => PermitGrants | null {
    const sentAt = this.options.clockJumpDetector.read();
    const isLocal = zone === this.options.self.availabilityZone;
    const states = new Map<string, CustomerState>();
    const snapshots = new Map<string, ReserveSnapshot>();
    for (const {customer} of reports) {
      const state = this.states.get(customer);
      if (state !== undefined) {
        states.set(customer, state);
        snapshots.set(customer, state.reserve.createSnapshot());
      }
    }
    return grants => {
      for (const grant of grants?.grants ?? []) {
        const state = states.get(grant.customer);
        const snapshot = snapshots.get(grant.customer);
        state?.stock.add(grant.grantedCount, sentAt);
        if (isLocal && state !== undefined && snapshot !== undefined) {
          state.reserve.applyGrant(grant, snapshot);
        }
      }
      return grants;
    };
  }

  private findOwner(partition: string, zone: string): EntryVmRecord | null {
    const view = this.options.getView();
    return view === null
      ? null
      : chooseQuotaOwner({
          partition,
          availabilityZone: zone,
          entryVms: view.entryVms,
          storeNowMs: view.storeNowMs,
        });
  }

  private isUnreachable(owner: EntryVmRecord): boolean {
    const untilMs = this.unreachableUntilMs.get(owner.entryVm);
    return untilMs !== undefined && this.options.clock.nowMs() < untilMs;
  }

  private getState(customer: string, limit: CustomerLimit): CustomerState {
    const {clockJumpDetector} = this.options;
    let state = this.states.get(customer);
    if (state === undefined) {
      state = {
        partition: getQuotaPartition(customer),
        limit,
        stock: PermitStock.create(clockJumpDetector),
        reserve: PermitReserve.create(clockJumpDetector),
        waiting: 0,
        request: null,
        exhausted: new Map(),
        usedAtMs: Number.NEGATIVE_INFINITY,
        recentCount: 0,
      };
      this.states.set(customer, state);
    }
    return state;
  }
}

/**
 * Returns how many permits to reserve after an interval with this many
 * operations. A customer with few operations gets one, because its callers may be
 * at many proxies and its tokens are few.
 */
function chooseReserve(recentCount: number): number {
  return recentCount <= 1
    ? 1
    : Math.min(MAX_RESERVE, recentCount * RESERVE_FACTOR);
}

function createReport(
  customer: string,
  counts: Partial<Omit<CustomerReport, 'customer'>>,
): CustomerReport {
  return {
    customer,
    heldCount: 0,
    returnedCount: 0,
    neededCount: 0,
    wantedCount: 0,
    ...counts,
  };
}

function chooseOtherZoneBackoffMs(previousMs: number): number {
  const doubledMs = Math.max(MIN_OTHER_ZONE_BACKOFF_MS, previousMs * 2);
  return Math.min(MAX_OTHER_ZONE_BACKOFF_MS, doubledMs);
}

function chooseLocalBackoffMs(retryAfterMs: number): number {
  const waitMs = Math.max(MIN_LOCAL_BACKOFF_MS, retryAfterMs);
  return Math.min(MAX_LOCAL_BACKOFF_MS, waitMs);
}

function toLimitError(outcome: AskOutcome): LimitError {
  return outcome.kind === 'exhausted'
    ? {kind: 'exhausted', retryAfterMs: outcome.retryAfterMs}
    : {kind: 'unreachable', retryAfterMs: UNREACHABLE_RETRY_AFTER_MS};
}
