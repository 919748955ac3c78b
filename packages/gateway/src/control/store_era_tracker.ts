import {getEra} from '@filbertrun/platform/store_revision.js';
import type {TableListener} from '../directory/table_watcher.js';
import type {TableChanges} from '../directory/watchable_table.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';

/** Options of the store era tracker. @public */
export interface StoreEraTrackerOptions {
  readonly events: GatewayEventRecorder;
  /** Called when the store was restored from a backup. */
  handleRestored(): void;
}

/**
 * Tracks the store era, the number of restores, which is part of every revision
 * in the store's responses. A higher era shows that the store was restored from
 * a backup. All tables are read again then; `handleRestored` starts this for
 * tables that no watcher follows.
 *
 * @public
 */
export class StoreEraTracker {
  private newestEra: number | null = null;

  private constructor(private readonly options: StoreEraTrackerOptions) {}

  static create(options: StoreEraTrackerOptions): StoreEraTracker {
    return new StoreEraTracker(options);
  }

  /** The newest observed era; 0 before the first response. */
  get era(): number {
    return this.newestEra ?? 0;
  }

  /** Records the revision of any response. */
  recordRevision(revision: number): void {
    const era = getEra(revision);
    const previousEra = this.newestEra;
    if (previousEra !== null && era <= previousEra) {
      return;
    }
    this.newestEra = era;
    if (previousEra !== null) {
      this.options.events.record({kind: 'storeRestored', era, previousEra});
      this.options.handleRestored();
    }
  }

  /** Wraps a table listener to record the revisions that it receives. */
  wrapListener<T>(listener: TableListener<T>): TableListener<T> {
    return {
      handleListing: (listing: TableChanges<T>) => {
        listener.handleListing(listing);
        this.recordRevision(listing.revision);
      },
      handleChanges: (changes: TableChanges<T>) => {
        listener.handleChanges(changes);
        this.recordRevision(changes.revision);
      },
    };
  }
}
