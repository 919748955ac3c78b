import type {
  AvailabilityZone,
  BackendServerId,
  DatabaseGroupName,
  EntryVmId,
} from '@filbertrun/model/identifiers.js';

/**
 * Interface of a database group to the other proxies.
 */

/** One proxy's view of the primary of a group. @public */
export interface GroupView {
  readonly databaseGroup: DatabaseGroupName;
  readonly term: number;
  /** Claim of the term; null if the sender did not know it. */
  readonly claimId: string | null;
  readonly primary: BackendServerId;
}

/**
 * Health of an instance as observed by one proxy. `refused`: the call failed;
 * `silent`: no response in time; `unknown`: the proxy does not know the
 * instance.
 *
 * @public
 */
export type InstanceHealth = 'healthy' | 'refused' | 'silent' | 'unknown';

/** One proxy's response to a suspicion. @public */
export interface SuspicionVote {
  readonly entryVm: EntryVmId;
  readonly availabilityZone: AvailabilityZone;
  readonly health: InstanceHealth;
}

/** Communication of one database group with the other proxies. @public */
export interface GroupPeers {
  /**
   * Asks the live proxies for the health of an instance. Resolves with the
   * votes that arrive within `timeoutMs`.
   */
  collectVotes(
    databaseGroup: DatabaseGroupName,
    backendServer: BackendServerId,
    timeoutMs: number,
  ): Promise<readonly SuspicionVote[]>;
  /** Announces the primary to the live proxies. Best effort. */
  announceView(view: GroupView): void;
  /**
   * Calls `listener` with each view that another proxy announces. Returns a
   * function that unsubscribes it.
   */
  onView(
    databaseGroup: DatabaseGroupName,
    listener: (view: GroupView) => void,
  ): () => void;
  /**
   * Asks every proxy, including this one, to hold new writes for `holdMs`; 0
   * releases them.
   */
  announceWriteHold(databaseGroup: DatabaseGroupName, holdMs: number): void;
  /**
   * Calls `listener` for each hold, including those announced by this proxy.
   * Returns a function that unsubscribes it.
   */
  onWriteHold(
    databaseGroup: DatabaseGroupName,
    listener: (holdMs: number) => void,
  ): () => void;
  /**
   * Rank of this proxy among the monitors of the group, from 0; null if it is
   * not a monitor. Monitors are the proxies that poll all instances and may
   * start a failover.
   */
  getMonitorRank(databaseGroup: DatabaseGroupName): number | null;
  /**
   * Availability zones with proxies, reachable or not, including this one's.
   */
  getKnownZones(): readonly AvailabilityZone[];
}
