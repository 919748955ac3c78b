import type {TableChange, TableChanges} from '../directory/watchable_table.js';

/** Changes of a table that one proxy sends to another. @public */
export interface TableUpdate<T> extends TableChanges<T> {
  /** Whether these are all keys; if so, a missing key does not exist. */
  readonly isListing: boolean;
}

/**
 * Number of removed keys above which all removals are dropped. Up to this
 * number, a follower that was briefly unreachable needs no full listing.
 */
const MAX_REMOVALS = 500;

/**
 * Caches the latest change of each key of a table to compute the changes since
 * any revision.
 *
 * @public
 */
export class TableChangeCache<T> {
  private readonly changes = new Map<string, TableChange<T>>();
  private newestRevision = 0;
  /** Oldest revision since which all removals are kept. */
  private oldestDeltaRevision = 0;
  private removalCount = 0;

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
    const listedKeys = new Set(listing.changes.map(({key}) => key));
    for (const [key, known] of [...this.changes]) {
      if (!listedKeys.has(key) && known.kind !== 'removed') {
        this.put({kind: 'removed', key, revision});
      }
    }
    if (this.newestRevision === 0) {
      // Keys that were removed before the first listing are unknown.
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
    this.dropRemovals();
  }

  /**
   * The changes since a revision; a full listing if the revision is null or
   * older than the kept removals.
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

  /** Stores a change of any kind, unless a later one of its key is known. */
  private put(change: TableChange<T>): void {
    const known = this.changes.get(change.key);
    if (known !== undefined && known.revision > change.revision) {
      return;
    }
    this.removalCount += Number(change.kind === 'removed');
    this.removalCount -= Number(known?.kind === 'removed');
    this.changes.set(change.key, change);
  }

  private dropRemovals(): void {
    if (this.removalCount <= MAX_REMOVALS) {
      return;
    }
    for (const [key, {kind}] of [...this.changes]) {
      if (kind === 'removed') {
        this.changes.delete(key);
      }
    }
    this.removalCount = 0;
    this.oldestDeltaRevision = this.newestRevision;
  }
}
