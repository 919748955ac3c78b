import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import type {AnnouncedChange} from './primary_record_cache.js';

/** A release that another proxy has asked for. @public */
export interface RememberedRelease {
  readonly change: AnnouncedChange;
  /** Revision of the record of the change. */
  readonly revision: number;
}

/**
 * Remembers the newest release of each database group for as long as the process
 * runs. A process may be asked for a release before it has a configuration, and
 * then know no group yet.
 *
 * @public
 */
export class ReleaseMemory {
  private readonly releases = new Map<DatabaseGroupName, RememberedRelease>();

  private constructor() {}

  static create(): ReleaseMemory {
    return new ReleaseMemory();
  }

  /** Records a release unless a newer one is known. */
  record(databaseGroup: DatabaseGroupName, release: RememberedRelease): void {
    const known = this.releases.get(databaseGroup);
    if (known === undefined || known.revision < release.revision) {
      this.releases.set(databaseGroup, release);
    }
  }

  /** The newest release of a group; null if there was none. */
  get(databaseGroup: DatabaseGroupName): RememberedRelease | null {
    return this.releases.get(databaseGroup) ?? null;
  }
}
