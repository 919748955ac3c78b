import type {TableListener} from '../directory/table_watcher.js';
import type {TableChange, TableChanges} from '../directory/watchable_table.js';
import type {ServiceConfiguration} from './service_configuration.js';

/** Dependencies of the filter. @public */
export interface NewestConfigurationFilterOptions {
  readonly key: string;
  readonly listener: TableListener<ServiceConfiguration>;
  /** The configuration in force, or null. */
  getCurrent(): ServiceConfiguration | null;
}

/**
 * Filters the configuration before it is forwarded to the other proxies of the
 * zone. A store restored from a backup may hold an older version than the one
 * in force. The filter then forwards the version in force, so a proxy of the
 * zone that has just started gets the newer one.
 *
 * @public
 */
export class NewestConfigurationFilter implements TableListener<ServiceConfiguration> {
  private constructor(
    private readonly options: NewestConfigurationFilterOptions,
  ) {}

  static create(
    options: NewestConfigurationFilterOptions,
  ): NewestConfigurationFilter {
    return new NewestConfigurationFilter(options);
  }

  handleListing(listing: TableChanges<ServiceConfiguration>): void {
    const {key, listener, getCurrent} = this.options;
    const {revision} = listing;
    const current = getCurrent();
    const isListed = listing.changes.some(change => change.key === key);
    const missing: readonly TableChange<ServiceConfiguration>[] =
      isListed || current === null
        ? []
        : [{kind: 'put', key, revision, value: current}];
    const changes = [...listing.changes, ...missing];
    listener.handleListing(this.replaceOlder({...listing, changes}));
  }

  handleChanges(changes: TableChanges<ServiceConfiguration>): void {
    this.options.listener.handleChanges(this.replaceOlder(changes));
  }

  /** Replaces an older configuration by the one in force. */
  private replaceOlder(
    update: TableChanges<ServiceConfiguration>,
  ): TableChanges<ServiceConfiguration> {
    const {key, getCurrent} = this.options;
    const current = getCurrent();
    const changes = update.changes.map(change =>
      change.key === key &&
      change.kind === 'put' &&
      current !== null &&
      change.value.version < current.version
        ? {...change, value: current}
        : change,
    );
    return {...update, changes};
  }
}
