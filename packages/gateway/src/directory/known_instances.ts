import type {Clock} from '@filbertrun/base/clock.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import type {ListableTable} from '@filbertrun/platform/platform_service.js';
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

/**
 * Lists the instances of a group that may still be running. A primary change
 * must consider all of them.
 *
 * @public
 */
export class KnownInstances {
  readonly roster: GroupRoster;

  private constructor(private readonly options: KnownInstancesOptions) {
    const {clock, directory, rosterTable} = options;
    this.roster = GroupRoster.create({
      clock,
      table: rosterTable,
      listKnown: databaseGroup => this.listKnown(databaseGroup),
      hasCompleteHistory: () => directory.hasCompleteHistory,
    });
  }

  static create(options: KnownInstancesOptions): KnownInstances {
    return new KnownInstances(options);
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
   * Like `listKnown`, but null while this process may not know all
   * recently removed instances.
   */
  listIfComplete(
    databaseGroup: DatabaseGroupName,
  ): readonly BackendServerEntry[] | null {
    return this.options.directory.hasCompleteHistory
      ? this.listKnown(databaseGroup)
      : null;
  }

  /**
   * Like `listKnown`, but also lists the directory table and, while the history
   * is incomplete, reads the roster; null when the store is unavailable.
   */
  async listFromStore(
    databaseGroup: DatabaseGroupName,
  ): Promise<readonly BackendServerEntry[] | null> {
    const {directory, directoryTable} = this.options;
    const listing = await directoryTable.list();
    if (!listing.ok) {
      return null;
    }
    const rosterEntries = directory.hasCompleteHistory
      ? []
      : await this.roster.read(databaseGroup);
    if (rosterEntries === null) {
      return null;
    }
    const instances = new Map<string, BackendServerEntry>();
    const known = this.listKnown(databaseGroup);
    for (const entry of [...rosterEntries, ...known]) {
      instances.set(entry.backendServer, entry);
    }
    for (const change of listing.value.changes) {
      if (
        change.kind === 'put' &&
        change.value.databaseGroup === databaseGroup
      ) {
        instances.set(change.value.backendServer, change.value);
      }
    }
    return [...instances.values()];
  }
}
