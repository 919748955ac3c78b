import type {
  AvailabilityZone,
  BackendServerId,
  DatabaseGroupName,
  EntryVmId,
} from '@filbertrun/model/identifiers.js';

/**
 * What a database group needs from the other proxies.
 */

/** Who is primary of a group, as one proxy knows it. @public */
export interface GroupView {
  readonly databaseGroup: DatabaseGroupName;
  readonly term: number;
  /** Claim of the term; null when the one that told did not know it. */
  readonly claimId: string | null;
  readonly primary: BackendServerId;
}

/** How an instance looks from one proxy. @public */
export type InstanceHealth = 'healthy' | 'refused' | 'silent' | 'unknown';

/** The answer of one proxy to a suspicion. @public */
export interface SuspicionVote {
  readonly entryVm: EntryVmId;
  readonly availabilityZone: AvailabilityZone;
  readonly health: InstanceHealth;
}

/** The other proxies, as seen by one database group. @public */
export interface GroupPeers {
  /** Asks the live proxies how an instance looks; resolves with those that answer within `timeoutMs`. */
  collectVotes(
    databaseGroup: DatabaseGroupName,
    backendServer: BackendServerId,
    timeoutMs: number,
  ): Promise<readonly SuspicionVote[]>;
  /** Tells the live proxies who is primary. Best effort. */
  announceView(view: GroupView): void;
  /** Registers for the views that other proxies announce. Returns a function that ends it. */
  onView(
    databaseGroup: DatabaseGroupName,
    listener: (view: GroupView) => void,
  ): () => void;
  /** Asks every proxy, this one included, to hold new writes; 0 releases them. */
  announceHold(databaseGroup: DatabaseGroupName, holdMs: number): void;
  /** Registers for holds, this proxy's own included. Returns a function that ends it. */
  onHold(
    databaseGroup: DatabaseGroupName,
    listener: (holdMs: number) => void,
  ): () => void;
  /** Place of this proxy among the watchers of the group, from 0; null when not on watch. */
  getWatchRank(databaseGroup: DatabaseGroupName): number | null;
  /** Availability zones with proxies, reachable or not, this one's included. */
  getKnownZones(): readonly AvailabilityZone[];
}
