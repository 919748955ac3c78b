import type {Clock} from '@filbertrun/base/clock.js';
import type {ZoneUpdate} from '../zone/zone_update.js';
import {SimulatedLink} from './simulated_link.js';

/** Sizes of messages and links. @internal */
export interface TransferPlan {
  /** Size of one version of the configuration as the store sends it. */
  readonly versionBytes: number;
  /** Width of the link of each proxy. */
  readonly linkBytesPerMs: number;
}

/** Size of an update from a zone reader without a version. */
const UPDATE_BYTES = 600;

/**
 * Transfers of configurations over the links of the proxies. Without a plan, they
 * take no time.
 *
 * @internal
 */
export class SimulatedTransfers {
  private readonly links = new Map<string, SimulatedLink>();

  private constructor(
    private readonly clock: Clock,
    private readonly plan: TransferPlan | null,
  ) {}

  static create(clock: Clock, plan: TransferPlan | null): SimulatedTransfers {
    return new SimulatedTransfers(clock, plan);
  }

  get versionBytes(): number {
    return this.plan?.versionBytes ?? 0;
  }

  /** Transfers a response of the store to a proxy. */
  async receive(proxy: string, bytes: number): Promise<void> {
    if (this.plan !== null) {
      await this.getLink(proxy, this.plan).transfer(bytes);
    }
  }

  /** Transfers an update of a zone reader. */
  async send(
    reader: string,
    follower: string,
    update: ZoneUpdate,
  ): Promise<void> {
    const {plan} = this;
    if (plan === null) {
      return;
    }
    const bytes = UPDATE_BYTES + this.getConfigurationBytes(update);
    const sent = [reader, follower].map(name =>
      this.getLink(name, plan).transfer(bytes),
    );
    await Promise.all(sent);
  }

  private getConfigurationBytes({
    configuration,
    configurationDelta,
  }: ZoneUpdate): number {
    const isWhole =
      configuration.changes.length > 0 ||
      (configurationDelta !== null && configurationDelta.base === null);
    return isWhole ? this.versionBytes : 0;
  }

  private getLink(
    proxy: string,
    {linkBytesPerMs}: TransferPlan,
  ): SimulatedLink {
    const known = this.links.get(proxy);
    if (known !== undefined) {
      return known;
    }
    const link = SimulatedLink.create(this.clock, linkBytesPerMs);
    this.links.set(proxy, link);
    return link;
  }
}
