import type {Clock} from '@filbertrun/base/clock.js';
import {
  getLaterPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {InstanceControl} from '../backend/instance_control.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {GatewayEvents} from '../observability/gateway_events.js';
import type {GroupRuntime} from './group_runtime.js';

/** What the freshness of replicas is found with. @public */
export interface ReplicaFreshnessOptions {
  readonly clock: Clock;
  readonly events: GatewayEvents;
  readonly instances: InstanceControl;
  /** Instances of a group that may still run; null when that is not known. */
  listKnown(databaseGroup: string): readonly BackendServerEntry[] | null;
}

/** Age of the newest proof from which replicas are asked for another one. */
const REFRESH_AFTER_MS = 600;

/** Least time between two questions to the replicas of a group. */
const ASK_INTERVAL_MS = 400;

/**
 * Keeps reads of a bounded age possible while a group's primary can't be
 * reached and is not replaced yet, as when the store is down as well. A commit
 * is acknowledged once two instances hold it, so all that was acknowledged
 * before every instance but the primary was asked is at or before the latest
 * position that they answer.
 *
 * @public
 */
export class ReplicaFreshness {
  private readonly askedAtMs = new Map<string, number>();

  private constructor(private readonly options: ReplicaFreshnessOptions) {}

  static create(options: ReplicaFreshnessOptions): ReplicaFreshness {
    return new ReplicaFreshness(options);
  }

  /** Asks the replicas of a group whose primary is silent. */
  async maintain(group: GroupRuntime): Promise<void> {
    const {clock, events} = this.options;
    const primary = group.getSilentPrimary();
    if (primary === null || group.getFreshnessAgeMs() < REFRESH_AFTER_MS) {
      return;
    }
    const nowMs = clock.nowMs();
    const askedAtMs = this.askedAtMs.get(group.databaseGroup) ?? -Infinity;
    if (nowMs - askedAtMs < ASK_INTERVAL_MS) {
      return;
    }
    this.askedAtMs.set(group.databaseGroup, nowMs);
    const position = await this.findLatestPosition(
      group.databaseGroup,
      primary,
    );
    if (position !== null) {
      group.recordProof(nowMs, position);
      events.record({
        kind: 'freshnessProvenByReplicas',
        databaseGroup: group.databaseGroup,
        primary,
        position,
      });
    }
  }

  /** The latest position of all instances but one; null unless all of them answer. */
  private async findLatestPosition(
    databaseGroup: string,
    primary: string,
  ): Promise<LogPosition | null> {
    const known = this.options.listKnown(databaseGroup);
    const asked = (known ?? []).filter(
      ({backendServer}) => backendServer !== primary,
    );
    const statuses = await Promise.all(
      asked.map(entry => this.options.instances.getStatus(entry)),
    );
    let latest: LogPosition | null = null;
    for (const status of statuses) {
      if (!status.ok) {
        return null;
      }
      const {receivedPosition} = status.value;
      latest =
        latest === null
          ? receivedPosition
          : getLaterPosition(latest, receivedPosition);
    }
    return latest;
  }
}
