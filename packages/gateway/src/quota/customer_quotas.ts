import type {Clock} from '@filbertrun/base/clock.js';
import type {Customer} from '../customer/customer.js';
import type {EntryVmIdentity} from '../control/entry_vm_registration.js';
import type {RegistrationView} from '../control/registration_view.js';
import type {ClockJumpDetector} from '../group/clock_jump_detector.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {PeerClient} from '../peer/peer_client.js';
import {QuotaOperationLimiter} from './operation_limiter.js';
import {QuotaOwnerRole} from './quota_owner_role.js';
import type {QuotaRules} from './quota_rules.js';

/** Dependencies of {@link CustomerQuotas}. @public */
export interface CustomerQuotasOptions {
  readonly self: EntryVmIdentity;
  readonly availabilityZones: readonly string[];
  readonly clock: Clock;
  readonly clockJumpDetector: ClockJumpDetector;
  readonly events: GatewayEventRecorder;
  readonly peers: PeerClient;
  readonly rules: QuotaRules;
  getView(): RegistrationView | null;
}

/** Applies the limits of the customers of the newest configuration. @public */
export class CustomerQuotas {
  readonly owner: QuotaOwnerRole;
  readonly limiter: QuotaOperationLimiter;
  private customers: readonly Customer[] = [];

  private constructor(options: CustomerQuotasOptions) {
    const {self, clock, clockJumpDetector, events, peers, rules} = options;
    this.owner = QuotaOwnerRole.create({
      self,
      clock,
      events,
      rules,
      getView: () => options.getView(),
      getCustomers: () => this.customers,
    });
    this.limiter = QuotaOperationLimiter.create({
      self,
      availabilityZones: options.availabilityZones,
      clock,
      clockJumpDetector,
      events,
      peers,
      getView: () => options.getView(),
      exchangeLocally: exchange => this.owner.exchange(exchange),
    });
  }

  static create(options: CustomerQuotasOptions): CustomerQuotas {
    return new CustomerQuotas(options);
  }

  /** Applies the customers of a newer configuration. */
  applyCustomers(customers: readonly Customer[]): void {
    this.customers = customers;
    this.limiter.applyCustomers(customers);
    this.owner.handleCustomers();
  }

  /** Checks ownership and replenishes permits. Called on each maintenance pass. */
  maintain(): void {
    this.owner.maintain();
    this.limiter.maintain();
  }
}
