import type {Clock} from '@filbertrun/base/clock.js';
import type {Customer} from '../customer/customer.js';
import type {EntryVmIdentity} from '../control/entry_vm_registration.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {RegistrationView} from '../control/registration_view.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import {chooseQuotaOwner, mayActAsOwner} from './choose_quota_owner.js';
import {QuotaLedger, type PermitGrant} from './quota_ledger.js';
import type {QuotaRules} from './quota_rules.js';

/** Dependencies of {@link QuotaOwnerRole}. @public */
export interface QuotaOwnerRoleOptions {
  readonly self: EntryVmIdentity;
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly rules: QuotaRules;
  /** Null before the first read and after a suspension of the machine. */
  getView(): RegistrationView | null;
  /** Customers of the configuration in force. */
  getCustomers(): readonly Customer[];
}

/** Interval at which ownership of all customers' quotas is checked. */
const CHECK_INTERVAL_MS = 1_000;

/** Grants permits of the quotas that this proxy owns in its zone. @public */
export class QuotaOwnerRole {
  private readonly ledger: QuotaLedger;
  private checkedAtMs = Number.NEGATIVE_INFINITY;
  private ownedCount = 0;

  private constructor(private readonly options: QuotaOwnerRoleOptions) {
    this.ledger = QuotaLedger.create(options.clock, options.rules);
  }

  static create(options: QuotaOwnerRoleOptions): QuotaOwnerRole {
    return new QuotaOwnerRole(options);
  }

  /** Checks ownership if it is due. Called on each maintenance pass. */
  maintain(): void {
    const nowMs = this.options.clock.nowMs();
    if (nowMs - this.checkedAtMs >= CHECK_INTERVAL_MS) {
      this.checkedAtMs = nowMs;
      this.checkOwnership();
    }
  }

  /** Applies changed limits at once. */
  handleConfiguration(): void {
    this.checkOwnership();
  }

  /** Grants up to `wanted` permits; null if this proxy is not the owner. */
  grant(customer: string, wanted: number): PermitGrant | null {
    const view = this.options.getView();
    if (view === null || !this.isOwner(customer, view)) {
      this.ledger.drop(customer);
      return null;
    }
    return this.ledger.grant(customer, wanted);
  }

  private checkOwnership(): void {
    const view = this.options.getView();
    const owned =
      view === null
        ? []
        : this.options
            .getCustomers()
            .filter(({name}) => this.isOwner(name, view));
    this.ledger.setOwned(owned);
    if (owned.length !== this.ownedCount) {
      this.ownedCount = owned.length;
      this.options.events.record({
        kind: 'quotasOwned',
        count: owned.length,
        viewAgeMs: view?.ageMs ?? null,
      });
    }
  }

  private isOwner(customer: string, view: RegistrationView): boolean {
    const {self} = this.options;
    return mayActAsOwner({
      self,
      customer,
      availabilityZone: self.availabilityZone,
      entryVms: view.entryVms,
      storeNowMs: view.storeNowMs,
      viewAgeMs: view.ageMs,
    });
  }
}

/** Returns the quota owner of a customer in a zone, or null. @public */
export function findQuotaOwner(
  customer: string,
  availabilityZone: string,
  view: RegistrationView,
): EntryVmRecord | null {
  const {entryVms, storeNowMs} = view;
  return chooseQuotaOwner({customer, availabilityZone, entryVms, storeNowMs});
}
