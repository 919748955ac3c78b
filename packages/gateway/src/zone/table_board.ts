import type {TableChange, TableChanges} from '../directory/watchable_table.js';

/** Changes of a table that one proxy passes on to another. @public */
export interface TableNews<T> extends TableChanges<T> {
  /** Whether these are all keys, so that a key that is missing does not exist. */
  readonly isListing: boolean;
}

/** Removed keys that are remembered, so that a short absence needs no listing. */
const MAX_REMOVED_KEYS = 500;

/**
 * What a proxy knows of one table, kept so that it can tell another one what
 * has changed since any revision.
 *
 * @public
 */
export class TableBoard<T> {
  private readonly changes = new Map<string, TableChange<T>>();
  private newestRevision = 0;
  /** Revision before which removed keys are no longer remembered. */
  private memoryStart = 0;
  private removedCount = 0;

  private constructor() {}

  static create<T>(): TableBoard<T> {
    return new TableBoard<T>();
  }

  /** Newest revision of the table that was taken; 0 before the first listing. */
  get revision(): number {
    return this.newestRevision;
  }

  /** Takes all keys of the table as of one moment. */
  takeListing(listing: TableChanges<T>): void {
    const {revision} = listing;
    const present = new Set(listing.changes.map(({key}) => key));
    for (const [key, known] of [...this.changes]) {
      if (!present.has(key) && known.kind !== 'removed') {
        this.put({kind: 'removed', key, revision});
      }
    }
    if (this.newestRevision === 0) {
      this.memoryStart = revision;
    }
    this.takeChanges(listing);
  }

  /** Takes the changes after the newest revision. */
  takeChanges({changes, revision}: TableChanges<T>): void {
    for (const change of changes) {
      this.put(change);
    }
    this.newestRevision = Math.max(this.newestRevision, revision);
    this.forgetRemoved();
  }

  /** What has changed since a revision; all keys when that is not known or null. */
  getNewsSince(revision: number | null): TableNews<T> {
    const isListing = revision === null || revision < this.memoryStart;
    const changes: TableChange<T>[] = [];
    for (const change of this.changes.values()) {
      const isNews = isListing
        ? change.kind !== 'removed'
        : change.revision > revision;
      if (isNews) {
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
    this.removedCount += Number(change.kind === 'removed');
    this.removedCount -= Number(known?.kind === 'removed');
    this.changes.set(change.key, change);
  }

  private forgetRemoved(): void {
    if (this.removedCount <= MAX_REMOVED_KEYS) {
      return;
    }
    for (const [key, {kind}] of [...this.changes]) {
      if (kind === 'removed') {
        this.changes.delete(key);
      }
    }
    this.removedCount = 0;
    this.memoryStart = this.newestRevision;
  }
}
