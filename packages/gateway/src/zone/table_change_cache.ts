import type {TableChange, TableChanges} from '../directory/watchable_table.js';

/** Changes of a table that one proxy sends to another. @public */
export interface TableUpdate<T> extends TableChanges<T> {
  /** Whether these are all keys; a key that is missing does not exist. */
  readonly isListing: boolean;
}

/**
 * Tombstones that are kept, so that a follower that was briefly absent needs no
 * full listing.
 */
const MAX_TOMBSTONES = 500;

/**
 * Caches the latest change of each key of a table to compute the changes since
 * any revision.
 *
 * @public
 */
export class TableChangeCache<T> {
  private readonly changes = new Map<string, TableChange<T>>();
  private newestRevision = 0;
  /** Oldest revision since which all tombstones are kept. */
  private oldestDeltaRevision = 0;
  private tombstoneCount = 0;

  private constructor() {}

  static create<T>(): TableChangeCache<T> {
    return new TableChangeCache<T>();
  }

  /** Newest applied revision of the table; 0 before the first listing. */
  get revision(): number {
    return this.newestRevision;
  }

  /** Applies a full listing of the table. */
  applyListing(listing: TableChanges<T>): void {
    const {revision} = listing;
    const present = new Set(listing.changes.map(({key}) => key));
    for (const [key, known] of [...this.changes]) {
      if (!present.has(key) && known.kind !== 'removed') {
        this.put({kind: 'removed', key, revision});
      }
    }
    if (this.newestRevision === 0) {
      this.oldestDeltaRevision = revision;
    }
    this.applyChanges(listing);
  }

  /** Applies the changes after the newest revision. */
  applyChanges({changes, revision}: TableChanges<T>): void {
    for (const change of changes) {
      this.put(change);
    }
    this.newestRevision = Math.max(this.newestRevision, revision);
    this.dropTombstones();
  }

  /**
   * The changes since a revision; a full listing if the revision is null or
   * older than the tombstones.
   */
  getUpdateSince(revision: number | null): TableUpdate<T> {
    const isListing = revision === null || revision < this.oldestDeltaRevision;
    const changes: TableChange<T>[] = [];
    for (const change of this.changes.values()) {
      const isIncluded = isListing
        ? change.kind !== 'removed'
        : change.revision > revision;
      if (isIncluded) {
        changes.push(change);
      }
    }
    return {isListing, changes, revision: this.newestRevision};
  }

  private put(change: TableChange<T>): void {
    const known = this.changes.get(change.key);
    if (known !== undefined && known.revision > change.revision) {
      return;
    }
    this.tombstoneCount += Number(change.kind === 'removed');
    this.tombstoneCount -= Number(known?.kind === 'removed');
    this.changes.set(change.key, change);
  }

  private dropTombstones(): void {
    if (this.tombstoneCount <= MAX_TOMBSTONES) {
      return;
    }
    for (const [key, {kind}] of [...this.changes]) {
      if (kind === 'removed') {
        this.changes.delete(key);
      }
    }
    this.tombstoneCount = 0;
    this.oldestDeltaRevision = this.newestRevision;
  }
}
