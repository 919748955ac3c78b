import type {
  AvailabilityZone,
  DatabaseGroupName,
  EntryVmId,
} from '@filbertrun/model/identifiers.js';
import {
  computeHash,
  createCandidate,
  findBest,
  groupByZone,
  selectSpread,
  type RendezvousCandidate,
} from './rendezvous.js';

/**
 * Assigns database groups to the proxies that monitor them and to those that
 * hold connections to them.
 *
 * @public
 */

/** A proxy and its availability zone. @public */
export interface ProxyLocation {
  readonly entryVm: EntryVmId;
  readonly availabilityZone: AvailabilityZone;
}

/** Minimum number of connections in a useful share. */
const MIN_SHARE_CONNECTIONS = 2;

/**
 * Assignment of database groups to a set of proxies. The keys have prefixes, so
 * that monitors and holders are assigned independently of each other.
 *
 * @public
 */
export class GroupAssignment {
  private readonly zones: ReadonlyMap<string, readonly RendezvousCandidate[]>;
  /** Holders by count and group; the instances of a group share an entry. */
  private readonly cachedHolders = new Map<string, readonly EntryVmId[]>();

  private constructor(private readonly members: readonly ProxyLocation[]) {
    this.zones = groupByZone(
      members.map(member =>
        createCandidate(member.entryVm, member.availabilityZone),
      ),
    );
  }

  static create(members: readonly ProxyLocation[]): GroupAssignment {
    return new GroupAssignment(members);
  }

  /** The proxy of each availability zone that monitors a database group. */
  getMonitors(databaseGroup: DatabaseGroupName): readonly EntryVmId[] {
    const keyHash = computeHash(`watch/${databaseGroup}`);
    const monitors: EntryVmId[] = [];
    for (const candidates of this.zones.values()) {
      const best = findBest(keyHash, candidates);
      if (best !== null) {
        monitors.push(best.name);
      }
    }
    return monitors;
  }

  /**
   * The proxies that hold connections to an instance of a database group, in
   * the order in which they get the remainder of the division. All proxies are
   * holders if the limit gives each one a useful share.
   */
  getHolders(
    databaseGroup: DatabaseGroupName,
    maxConnections: number,
  ): readonly EntryVmId[] {
    const count = Math.min(
      this.members.length,
      computeMaxHolders(maxConnections),
    );
    const cacheKey = `${count} ${databaseGroup}`;
    const cached = this.cachedHolders.get(cacheKey);
    if (cached !== undefined) {
      return cached;
    }
    const keyHash = computeHash(`hold/${databaseGroup}`);
    const holders = selectSpread(keyHash, this.zones, count).map(
      candidate => candidate.name,
    );
    this.cachedHolders.set(cacheKey, holders);
    return holders;
  }
}

/**
 * Maximum number of proxies that share the connections of one instance.
 *
 * @public
 */
export function computeMaxHolders(maxConnections: number): number {
  return Math.max(1, Math.floor(maxConnections / MIN_SHARE_CONNECTIONS));
}
