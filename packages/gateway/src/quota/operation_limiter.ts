import type {Clock} from '@filbertrun/base/clock.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {Customer} from '../customer/customer.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {RegistrationView} from '../control/registration_view.js';
import type {ClockJumpDetector} from '../group/clock_jump_detector.js';
import type {PeerClient} from '../peer/peer_client.js';
import {UNLIMITED_PERMIT, type OperationPermit} from './operation_permit.js';
import {PermitStock} from './permit_stock.js';
import type {PermitGrant} from './quota_ledger.js';
import {findQuotaOwner} from './quota_owner_role.js';

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
  readonly entryVm: string;
  readonly availabilityZone: string;
  /** All availability zones of the deployment. */
  readonly availabilityZones: readonly string[];
  readonly clock: Clock;
  readonly clockJumpDetector: ClockJumpDetector;
  readonly peers: PeerClient;
  getView(): RegistrationView | null;
  /** Grants permits if this proxy is the owner itself, else returns null. */
  grantLocally(customer: string, wanted: number): PermitGrant | null;
}

/** Timeout for the answer of a quota owner. */
const ASK_TIMEOUT_MS = 100;

/** Time for which an owner that did not answer is not asked again. */
const UNREACHABLE_BACKOFF_MS = 700;

/** Retry delay if no quota owner could be asked; retries reach other proxies. */
const UNREACHABLE_RETRY_AFTER_MS = 100;

/**
 * Shortest time between two requests to an owner of another zone that has no
 * permits left, because traffic between zones is billed.
 */
const OTHER_ZONE_BACKOFF_MS = 400;

/** The same in the local zone, where traffic is free: at least and at most. */
const MIN_LOCAL_BACKOFF_MS = 20;
const MAX_LOCAL_BACKOFF_MS = 250;

/** Requests to owners after which an operation is refused. */
const MAX_ROUNDS = 3;

type AskOutcome =
  | {readonly kind: 'granted'}
  | {readonly kind: 'exhausted'; readonly retryAfterMs: number}
  | {readonly kind: 'unreachable'};

/** Limits of one customer as this proxy sees them. */
interface CustomerState {
  readonly stock: PermitStock;
  /** Operations that wait for the request in progress. */
  waiting: number;
  request: Promise<AskOutcome> | null;
  /** Zones whose owner has no permits left. */
  readonly exhausted: Map<string, ExhaustedZone>;
}

interface ExhaustedZone {
  /** Time until which the owner is not asked again. */
  readonly askAgainAtMs: number;
  /** Time at which the owner expects to have a permit. */
  readonly permitAtMs: number;
}

/**
 * Admits operations with permits of the customer's quota owners: first the one
 * of the local zone, then those of the other zones, whose shares may be left
 * over.
 *
 * @public
 */
export class QuotaOperationLimiter implements OperationLimiter {
  private readonly states = new Map<string, CustomerState>();
  /** Times until which proxies that did not answer are not asked, by entry VM. */
  private readonly unreachableUntilMs = new Map<string, number>();

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
    const state = this.getState(customer.name);
    const held = state.stock.take();
    if (held !== null) {
      return success(held);
    }
    return this.waitForPermit(customer.name, state);
  }

  /** Forgets customers that the configuration no longer has. */
  retain(customers: ReadonlySet<string>): void {
    for (const name of [...this.states.keys()]) {
      if (!customers.has(name)) {
        this.states.delete(name);
      }
    }
  }

  private async waitForPermit(
    customer: string,
    state: CustomerState,
  ): Promise<Result<OperationPermit, LimitError>> {
    state.waiting++;
    // A request that was sent before this operation arrived may not include it.
    for (let round = 0; round < MAX_ROUNDS; round++) {
      state.request ??= this.ask(customer, state).finally(() => {
        state.request = null;
      });
      const outcome = await state.request;
      const permit = state.stock.take();
      if (permit !== null) {
        state.waiting--;
        return success(permit);
      }
      if (outcome.kind !== 'granted') {
        state.waiting--;
        return failure(toLimitError(outcome));
      }
    }
    state.waiting--;
    return failure({
      kind: 'exhausted',
      retryAfterMs: UNREACHABLE_RETRY_AFTER_MS,
    });
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
    const {availabilityZone, availabilityZones} = this.options;
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
    const {clock} = this.options;
    const known = state.exhausted.get(zone);
    if (known !== undefined && clock.nowMs() < known.askAgainAtMs) {
      const retryAfterMs = known.permitAtMs - clock.nowMs();
      return {kind: 'exhausted', retryAfterMs};
    }
    const owner = this.findOwner(customer, zone);
    if (owner === null || this.isUnreachable(owner)) {
      return {kind: 'unreachable'};
    }
    const grant = await this.fetchGrant(customer, state, owner);
    if (grant === null) {
      return {kind: 'unreachable'};
    }
    if (grant.grantedCount > 0) {
      state.exhausted.delete(zone);
      return {kind: 'granted'};
    }
    const {retryAfterMs} = grant;
    const permitAtMs = clock.nowMs() + retryAfterMs;
    const backoffMs = this.chooseBackoffMs(zone, retryAfterMs);
    const askAgainAtMs = clock.nowMs() + backoffMs;
    state.exhausted.set(zone, {askAgainAtMs, permitAtMs});
    return {kind: 'exhausted', retryAfterMs};
  }

  private chooseBackoffMs(zone: string, retryAfterMs: number): number {
    if (zone !== this.options.availabilityZone) {
      return Math.max(OTHER_ZONE_BACKOFF_MS, retryAfterMs);
    }
    const waitMs = Math.max(MIN_LOCAL_BACKOFF_MS, retryAfterMs);
    return Math.min(MAX_LOCAL_BACKOFF_MS, waitMs);
  }

  private isUnreachable(owner: EntryVmRecord): boolean {
    const untilMs = this.unreachableUntilMs.get(owner.entryVm);
    return untilMs !== undefined && this.options.clock.nowMs() < untilMs;
  }

  /**
   * Returns the owner's answer, whose permits are in the stock by then; null if
   * there is none in time or the proxy is not the owner. Permits of a late answer
   * are added to the stock, too.
   */
  private async fetchGrant(
    customer: string,
    state: CustomerState,
    owner: EntryVmRecord,
  ): Promise<PermitGrant | null> {
    const {clock, clockJumpDetector, peers} = this.options;
    const askedAt = clockJumpDetector.read();
    const wanted = Math.max(1, state.waiting);
    if (owner.entryVm === this.options.entryVm) {
      const grant = this.options.grantLocally(customer, wanted);
      state.stock.add(grant?.grantedCount ?? 0, askedAt);
      return grant;
    }
    const answer = peers.takePermits(owner, {customer, wanted}).then(result => {
      const grant = result.ok ? result.value : null;
      state.stock.add(grant?.grantedCount ?? 0, askedAt);
      return grant;
    });
    const timeout = sleep(clock, ASK_TIMEOUT_MS).then(() => null);
    const grant = await Promise.race([answer, timeout]);
    if (grant === null) {
      const untilMs = clock.nowMs() + UNREACHABLE_BACKOFF_MS;
      this.unreachableUntilMs.set(owner.entryVm, untilMs);
    }
    return grant;
  }

  private findOwner(customer: string, zone: string): EntryVmRecord | null {
    const view = this.options.getView();
    return view === null ? null : findQuotaOwner(customer, zone, view);
  }

  private getState(customer: string): CustomerState {
    let state = this.states.get(customer);
    if (state === undefined) {
      state = {
        stock: PermitStock.create(this.options.clockJumpDetector),
        waiting: 0,
        request: null,
        exhausted: new Map(),
      };
      this.states.set(customer, state);
    }
    return state;
  }
}

function toLimitError(outcome: AskOutcome): LimitError {
  return outcome.kind === 'exhausted'
    ? {kind: 'exhausted', retryAfterMs: outcome.retryAfterMs}
    : {kind: 'unreachable', retryAfterMs: UNREACHABLE_RETRY_AFTER_MS};
}
