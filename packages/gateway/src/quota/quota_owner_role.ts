import type {Clock} from '@filbertrun/base/clock.js';
import type {Customer} from '../customer/customer.js';
import type {EntryVmIdentity} from '../control/entry_vm_registration.js';
import type {RegistrationView} from '../control/registration_view.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import {mayActAsOwner} from './choose_quota_owner.js';
import type {
  CustomerGrant,
  PermitExchange,
  PermitGrants,
} from './permit_exchange.js';
import {QuotaLedger} from './quota_ledger.js';
import {getQuotaPartition, listPartitions} from './quota_partition.js';
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

/** Interval at which ownership of all partitions is checked. */
const CHECK_INTERVAL_MS = 1_000;

/** Grants permits of the quotas that this proxy owns in its zone. @public */
export class QuotaOwnerRole {
  private readonly ledger: QuotaLedger;
  private checkedAtMs = Number.NEGATIVE_INFINITY;
  private ownedPartitions: ReadonlySet<string> = new Set();

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

  /** Applies changed customers and limits at once. */
  handleCustomers(): void {
    this.checkOwnership();
  }

  /** Grants permits; null if this proxy is not the owner of the partition. */
  exchange({holder, partition, reports}: PermitExchange): PermitGrants | null {
    if (!this.ownedPartitions.has(partition) || !this.isOwner(partition)) {
      this.checkOwnership();
      return null;
    }
    const grants: CustomerGrant[] = [];
    for (const report of reports) {
      const {customer} = report;
      const isOwned = getQuotaPartition(customer) === partition;
      const grant = isOwned
        ? this.ledger.exchange(customer, holder, report)
        : null;
      if (grant !== null) {
        grants.push({customer, ...grant});
      }
    }
    return {grants};
  }

  private checkOwnership(): void {
    const {getCustomers, events, getView} = this.options;
    const owned = new Set(
      listPartitions().filter(partition => this.isOwner(partition)),
    );
    const customers = getCustomers().filter(({name}) =>
      owned.has(getQuotaPartition(name)),
    );
    this.ledger.setOwned(customers);
    if (owned.size !== this.ownedPartitions.size) {
      events.record({
        kind: 'quotasOwned',
        partitionCount: owned.size,
        viewAgeMs: getView()?.ageMs ?? null,
      });
    }
    this.ownedPartitions = owned;
  }

  private isOwner(partition: string): boolean {
    const {self, getView} = this.options;
    const view = getView();
    return (
      view !== null &&
      mayActAsOwner({
        self,
        partition,
        availabilityZone: self.availabilityZone,
        entryVms: view.entryVms,
        storeNowMs: view.storeNowMs,
        viewAgeMs: view.ageMs,
      })
    );
  }
}
