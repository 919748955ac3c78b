import type {Clock} from '@filbertrun/base/clock.js';
import type {InstanceControl} from '../backend/instance_control.js';
import type {GroupRuntime} from './group_runtime.js';

/** Dependencies of a {@link FreshnessSeeder}. @public */
export interface FreshnessSeederOptions {
  readonly clock: Clock;
  readonly instances: InstanceControl;
}

/**
 * Queries the primary of a group for its log position before any caller's
 * statement has returned one. The position is the group's first freshness bound:
 * all commits that were acknowledged before the query are at or before it. With
 * it, replicas can serve reads right after a start.
 *
 * @public
 */
export class FreshnessSeeder {
  /** Groups whose primary is being queried. */
  private readonly pendingGroups = new Set<GroupRuntime>();

  private constructor(private readonly options: FreshnessSeederOptions) {}

  static create(options: FreshnessSeederOptions): FreshnessSeeder {
    return new FreshnessSeeder(options);
  }

  async seed(group: GroupRuntime): Promise<void> {
    const leased = group.lease.getPrimary();
    const server = group.getLeasedPrimary();
    if (leased === null || server === null || group.hasFreshnessBound) {
      return;
    }
    if (this.pendingGroups.has(group)) {
      return;
    }
    this.pendingGroups.add(group);
    const sentAtMs = this.options.clock.nowMs();
    const status = await this.options.instances.getStatus(server.entry);
    this.pendingGroups.delete(group);
    if (status.ok && status.value.role === 'primary') {
      const {receivedPosition} = status.value;
      group.recordPrimaryPosition(sentAtMs, leased, receivedPosition);
    }
  }
}
