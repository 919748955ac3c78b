import type {Clock} from '@filbertrun/base/clock.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import type {ListableTable} from '@filbertrun/platform/platform_service.js';
import type {BackendDirectory} from './backend_directory.js';
import type {BackendServerEntry} from './backend_server_entry.js';
import {GroupRoster} from './group_roster.js';
import type {WatchableTable} from './watchable_table.js';

/** Where instances are known from. @public */
export interface KnownInstancesOptions {
  readonly clock: Clock;
  readonly directory: BackendDirectory;
  readonly directoryTable: WatchableTable<BackendServerEntry>;
  readonly rosterTable: ListableTable;
}

/** The instances of a group that may run, as a change of its primary counts them. @public */
export class KnownInstances {
  readonly roster: GroupRoster;

  private constructor(private readonly options: KnownInstancesOptions) {
    const {clock, directory, rosterTable} = options;
    this.roster = GroupRoster.create({
      clock,
      table: rosterTable,
      listKnown: databaseGroup => this.listRemembered(databaseGroup),
      hasLongMemory: () => directory.hasLongMemory,
    });
  }

  static create(options: KnownInstancesOptions): KnownInstances {
    return new KnownInstances(options);
  }

  /** Instances that are listed, or were a short while ago, as this process saw it. */
  listRemembered(
    databaseGroup: DatabaseGroupName,
  ): readonly BackendServerEntry[] {
    const {directory} = this.options;
    const known = [...directory.getDeparted(), ...directory.getEntries()];
    return known.filter(entry => entry.databaseGroup === databaseGroup);
  }

  /** Like `listRemembered`; null while this process may not know who left. */
  listIfComplete(
    databaseGroup: DatabaseGroupName,
  ): readonly BackendServerEntry[] | null {
    return this.options.directory.hasLongMemory
      ? this.listRemembered(databaseGroup)
      : null;
  }

  /** Asks the store as well; null when it does not answer. */
  async listFromStore(
    databaseGroup: DatabaseGroupName,
  ): Promise<readonly BackendServerEntry[] | null> {
    const {directory, directoryTable} = this.options;
    const listing = await directoryTable.list();
    if (!listing.ok) {
      return null;
    }
    const enrolled = directory.hasLongMemory
      ? []
      : await this.roster.read(databaseGroup);
    if (enrolled === null) {
      return null;
    }
    const instances = new Map<string, BackendServerEntry>();
    const remembered = this.listRemembered(databaseGroup);
    for (const entry of [...enrolled, ...remembered]) {
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
