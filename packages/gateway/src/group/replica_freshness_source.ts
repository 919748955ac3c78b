import type {Clock} from '@filbertrun/base/clock.js';
import {
  getLaterPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {InstanceControl} from '../backend/instance_control.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {GroupRuntime} from './group_runtime.js';

/** Dependencies of the replica freshness source. @public */
export interface ReplicaFreshnessSourceOptions {
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly instances: InstanceControl;
  /** Lists the instances of a group that may still run; null if unknown. */
  listKnown(databaseGroup: string): readonly BackendServerEntry[] | null;
  /** Whether the primary acknowledges a commit only once a replica holds it. */
  isReplicatedBeforeAcknowledgement(databaseGroup: string): boolean;
}

/** Replicas are queried once the newest freshness bound has this age. */
const REFRESH_AFTER_MS = 600;

/** Minimum time between two queries of the replicas of a group. */
const QUERY_INTERVAL_MS = 400;

/**
 * Keeps reads with a bounded age available while a group's primary is
 * unreachable and has not been replaced, for example because the store is down
 * too. A commit is acknowledged once two instances hold it. If every instance
 * but the primary is queried, all commits that were acknowledged before the
 * queries are at or before the latest position in the responses. Replicas prove
 * nothing in a group whose primary acknowledges without them.
 *
 * @public
 */
export class ReplicaFreshnessSource {
  private readonly queriedAtMs = new Map<string, number>();

  private constructor(
    private readonly options: ReplicaFreshnessSourceOptions,
  ) {}

  static create(
    options: ReplicaFreshnessSourceOptions,
  ): ReplicaFreshnessSource {
    return new ReplicaFreshnessSource(options);
  }

  /** Queries the replicas if the primary is unreachable and a query is due. */
  async maintain(group: GroupRuntime): Promise<void> {
    const {clock, events} = this.options;
    const primary = group.getUnresponsivePrimary();
    if (primary === null || group.getFreshnessAgeMs() < REFRESH_AFTER_MS) {
      return;
    }
    if (!this.options.isReplicatedBeforeAcknowledgement(group.databaseGroup)) {
      return;
    }
    const nowMs = clock.nowMs();
    const queriedAtMs = this.queriedAtMs.get(group.databaseGroup) ?? -Infinity;
    if (nowMs - queriedAtMs < QUERY_INTERVAL_MS) {
      return;
    }
    this.queriedAtMs.set(group.databaseGroup, nowMs);
    const position = await this.findLatestPosition(
      group.databaseGroup,
      primary,
    );
    if (position !== null) {
      group.recordFreshnessBound(nowMs, position);
      events.record({
        kind: 'freshnessProvenByReplicas',
        databaseGroup: group.databaseGroup,
        primary,
        position,
      });
    }
  }

  /**
   * Returns the latest position of all instances except the primary; null
   * unless all of them respond.
   */
  private async findLatestPosition(
    databaseGroup: string,
    primary: string,
  ): Promise<LogPosition | null> {
    const known = this.options.listKnown(databaseGroup);
    const queried = (known ?? []).filter(
      ({backendServer}) => backendServer !== primary,
    );
    const statuses = await Promise.all(
      queried.map(entry => this.options.instances.getStatus(entry)),
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
