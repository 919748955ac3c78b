import {getEra} from '@filbertrun/platform/store_revision.js';
import type {TableListener} from '../directory/table_watcher.js';
import type {TableChanges} from '../directory/watchable_table.js';
import type {GatewayEvents} from '../observability/gateway_events.js';

/** What a watch of the era is made of. @public */
export interface StoreEraWatchOptions {
  readonly events: GatewayEvents;
  /** Called when the store has come back from a copy. */
  handleRestored(): void;
}

/**
 * Notices from any answer of the store that it has come back from a copy, so
 * that everything else is read again at once.
 *
 * @public
 */
export class StoreEraWatch {
  private newestEra: number | null = null;

  private constructor(private readonly options: StoreEraWatchOptions) {}

  static create(options: StoreEraWatchOptions): StoreEraWatch {
    return new StoreEraWatch(options);
  }

  /** The newest era that was seen; 0 before the first answer. */
  get era(): number {
    return this.newestEra ?? 0;
  }

  /** Takes the revision of any answer. */
  note(revision: number): void {
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

  /** Notes the revisions that a watched table shows to its listener. */
  observe<T>(listener: TableListener<T>): TableListener<T> {
    return {
      handleListing: (listing: TableChanges<T>) => {
        listener.handleListing(listing);
        this.note(listing.revision);
      },
      handleChanges: (changes: TableChanges<T>) => {
        listener.handleChanges(changes);
        this.note(changes.revision);
      },
    };
  }
}
