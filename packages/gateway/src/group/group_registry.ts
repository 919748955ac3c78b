import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {BackendDirectory} from '../directory/backend_directory.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import {GroupRuntime, type GroupRuntimeOptions} from './group_runtime.js';
import type {AnnouncedChange} from './primary_record_cache.js';
import {ReleaseMemory} from './release_memory.js';

/** Dependencies of a {@link GroupRegistry}. @public */
export interface GroupRegistryOptions {
  /** Options of all group runtimes, without the group's name. */
  readonly shared: Omit<GroupRuntimeOptions, 'databaseGroup'>;
  /**
   * Returns the directory, whose servers are assigned to a group when it is
   * added.
   */
  readonly getDirectory: () => BackendDirectory;
}

/** Database groups of the active configuration. @public */
export class GroupRegistry {
  readonly groups = new Map<string, GroupRuntime>();
  private readonly releases = ReleaseMemory.create();

  private constructor(private readonly options: GroupRegistryOptions) {}

  static create(options: GroupRegistryOptions): GroupRegistry {
    return new GroupRegistry(options);
  }

  list(): readonly GroupRuntime[] {
    return [...this.groups.values()];
  }

  /** Adds and removes groups; returns true if any was added. */
  applyConfiguration(configuration: ServiceConfiguration): boolean {
    const {databaseGroups} = configuration;
    let hasAdded = false;
    for (const databaseGroup of databaseGroups.keys()) {
      if (!this.groups.has(databaseGroup)) {
        this.add(databaseGroup);
        hasAdded = true;
      }
    }
    for (const [databaseGroup, group] of [...this.groups]) {
      if (!databaseGroups.has(databaseGroup)) {
        this.groups.delete(databaseGroup);
        group.dispose('the database group was removed');
      }
    }
    return hasAdded;
  }

  /**
   * Releases the primary of a group for a change that was recorded at `revision`.
   * The release also holds for a group that is added later.
   */
  releaseForChange(
    databaseGroup: string,
    change: AnnouncedChange,
    revision: number,
  ): void {
    this.releases.record(databaseGroup, {change, revision});
    this.groups.get(databaseGroup)?.releaseForChange(change, revision);
  }

  updateServer(entry: BackendServerEntry): void {
    this.groups.get(entry.databaseGroup)?.updateServer(entry);
  }

  removeServer(entry: BackendServerEntry, reason: string): void {
    const {backendServer, databaseGroup} = entry;
    this.groups.get(databaseGroup)?.removeServer(backendServer, reason);
  }

  dispose(reason: string): void {
    for (const group of this.groups.values()) {
      group.dispose(reason);
    }
  }

  private add(databaseGroup: string): void {
    const group = GroupRuntime.create({...this.options.shared, databaseGroup});
    this.groups.set(databaseGroup, group);
    const released = this.releases.get(databaseGroup);
    if (released !== null) {
      group.releaseForChange(released.change, released.revision);
    }
    for (const entry of this.options.getDirectory().getEntries()) {
      if (entry.databaseGroup === databaseGroup) {
        group.updateServer(entry);
      }
    }
  }
}
