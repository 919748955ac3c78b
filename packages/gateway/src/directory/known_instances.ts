import type {Clock} from '@filbertrun/base/clock.js';
import type {
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import type {ListableTable} from '@filbertrun/platform/platform_service.js';
import type {InstanceSource} from '../observability/promotion_event.js';
import type {BackendDirectory} from './backend_directory.js';
import type {BackendServerEntry} from './backend_server_entry.js';
import {GroupRoster} from './group_roster.js';
import type {WatchableTable} from './watchable_table.js';

/** Dependencies of {@link KnownInstances}. @public */
export interface KnownInstancesOptions {
  readonly clock: Clock;
  readonly directory: BackendDirectory;
  readonly directoryTable: WatchableTable<BackendServerEntry>;
  readonly rosterTable: ListableTable;
}

/** What the last listing of a group's instances rested on. @public */
export interface ListingDescription {
  readonly sources: ReadonlyMap<BackendServerId, InstanceSource>;
  /** Whether recently removed instances were known without the roster. */
  readonly hasCompleteHistory: boolean;
  /** Time for which this process has watched the directory; null if never. */
  readonly historyAgeMs: number | null;
  /** Age of the listing. */
  readonly listingAgeMs: number;
}

/** Minimum time between two attempts to read the rosters. */
const READ_INTERVAL_MS = 1_000;

/** Sources of the entries of one listing. */
interface DescribedListing {
  readonly sources: ReadonlyMap<BackendServerId, InstanceSource>;
  readonly hasCompleteHistory: boolean;
  readonly listedAtMs: number;
}

/**
 * Lists the instances of a group that may still be running. A primary change
 * must consider all of them.
 *
 * @public
 */
export class KnownInstances {
  readonly roster: GroupRoster;
  private readonly lastListings = new Map<
    DatabaseGroupName,
    DescribedListing
  >();

  /** Groups whose roster was read since the directory was listed. */
  private readonly readGroups = new Set<DatabaseGroupName>();
  /** Listing of the directory after which they were read. */
  private readAfterListingMs: number | null = null;
  private readAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: KnownInstancesOptions) {
    const {clock, directory, rosterTable} = options;
    this.roster = GroupRoster.create({
      clock,
      table: rosterTable,
      listKnown: databaseGroup => this.listKnown(databaseGroup),
      handleRead: entries => this.adopt(entries),
      hasCompleteHistory: () => directory.hasCompleteHistory,
    });
  }

  static create(options: KnownInstancesOptions): KnownInstances {
    return new KnownInstances(options);
  }

  /**
   * Takes over what another failover leader knew: an instance whose entry expired
   * long ago may still be running and confirm commits.
   */
  private adopt(entries: readonly BackendServerEntry[]): void {
    for (const entry of entries) {
      this.options.directory.recordRemoved(entry);
    }
  }

  /** Returns listed and recently removed instances known to this process. */
  listKnown(databaseGroup: DatabaseGroupName): readonly BackendServerEntry[] {
    const {directory} = this.options;
    const known = [
      ...directory.getRecentlyRemoved(),
      ...directory.getEntries(),
    ];
    return known.filter(entry => entry.databaseGroup === databaseGroup);
  }

  /**
   * Reads the rosters of groups for which that was not done since the directory
   * was listed. A listing does not show an instance whose entry expired before it,
   * though the instance may still be running.
   */
  async maintain(groups: readonly DatabaseGroupName[]): Promise<void> {
    const nowMs = this.options.clock.nowMs();
    this.forgetReadsBeforeListing();
    const unread = groups.filter(group => !this.readGroups.has(group));
    const isDue = nowMs - this.readAtMs >= READ_INTERVAL_MS;
    if (unread.length === 0 || !isDue || !this.options.directory.isListed) {
      return;
    }
    this.readAtMs = nowMs;
    const listingMs = this.readAfterListingMs;
    const isRead = await this.roster.readAll(unread);
    if (!isRead || listingMs !== this.options.directory.lastListedAtMs) {
      return;
    }
    for (const group of unread) {
      this.readGroups.add(group);
    }
  }

  private forgetReadsBeforeListing(): void {
    const {lastListedAtMs} = this.options.directory;
    if (this.readAfterListingMs !== lastListedAtMs) {
      this.readAfterListingMs = lastListedAtMs;
      this.readGroups.clear();
    }
  }

  /**
   * Like `listKnown`, but null while this process may not know all
   * recently removed instances.
   */
  listIfComplete(
    databaseGroup: DatabaseGroupName,
  ): readonly BackendServerEntry[] | null {
    this.forgetReadsBeforeListing();
    const isComplete =
      this.options.directory.hasCompleteHistory &&
      this.readGroups.has(databaseGroup);
    return isComplete ? this.listKnown(databaseGroup) : null;
  }

  /**
   * Like `listKnown`, but also lists the directory table and reads the roster;
   * null when the store is unavailable.
   */
  async listFromStore(
    databaseGroup: DatabaseGroupName,
  ): Promise<readonly BackendServerEntry[] | null> {
    const {directory, directoryTable} = this.options;
    const listing = await directoryTable.list();
    if (!listing.ok) {
      return null;
    }
    const {hasCompleteHistory} = directory;
    const knownBefore = new Set(
      this.listKnown(databaseGroup).map(({backendServer}) => backendServer),
    );
    const rosterEntries = await this.roster.read(databaseGroup);
    if (rosterEntries === null) {
      return null;
    }
    const instances = new Map<string, BackendServerEntry>();
    const sources = new Map<BackendServerId, InstanceSource>();
    for (const entry of this.listKnown(databaseGroup)) {
      instances.set(entry.backendServer, entry);
      sources.set(entry.backendServer, 'remembered');
    }
    for (const entry of rosterEntries) {
      if (!knownBefore.has(entry.backendServer)) {
        instances.set(entry.backendServer, entry);
        sources.set(entry.backendServer, 'roster');
      }
    }
    for (const change of listing.value.changes) {
      if (
        change.kind === 'put' &&
        change.value.databaseGroup === databaseGroup
      ) {
        instances.set(change.value.backendServer, change.value);
        sources.set(change.value.backendServer, 'listed');
      }
    }
    this.lastListings.set(databaseGroup, {
      sources,
      hasCompleteHistory,
      listedAtMs: this.options.clock.nowMs(),
    });
    return [...instances.values()];
  }

  /** What the last `listFromStore` of a group rested on; null before one. */
  describeLastListing(
    databaseGroup: DatabaseGroupName,
  ): ListingDescription | null {
    const listing = this.lastListings.get(databaseGroup);
    if (listing === undefined) {
      return null;
    }
    const {clock, directory} = this.options;
    const {sources, hasCompleteHistory, listedAtMs} = listing;
    return {
      sources,
      hasCompleteHistory,
      historyAgeMs: directory.getHistoryAgeMs(),
      listingAgeMs: clock.nowMs() - listedAtMs,
    };
  }
}
