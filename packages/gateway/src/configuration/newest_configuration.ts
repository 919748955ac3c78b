import type {TableListener} from '../directory/table_watcher.js';
import type {TableChange, TableChanges} from '../directory/watchable_table.js';
import type {ServiceConfiguration} from './service_configuration.js';

/** What the filter needs of the process. @public */
export interface NewestConfigurationOptions {
  readonly key: string;
  readonly listener: TableListener<ServiceConfiguration>;
  /** The configuration in force, or null. */
  getCurrent(): ServiceConfiguration | null;
}

/**
 * Stands before whoever passes the configuration on. A store that came back
 * from a copy may hold an older one than is in force; then that one is passed
 * on, so that a proxy of the zone that has just started learns it.
 *
 * @public
 */
export class NewestConfiguration implements TableListener<ServiceConfiguration> {
  private constructor(private readonly options: NewestConfigurationOptions) {}

  static create(options: NewestConfigurationOptions): NewestConfiguration {
    return new NewestConfiguration(options);
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
    listener.handleListing(this.raise({changes, revision}));
  }

  handleChanges(changes: TableChanges<ServiceConfiguration>): void {
    this.options.listener.handleChanges(this.raise(changes));
  }

  /** Puts the configuration in force in the place of an older one. */
  private raise({
    changes,
    revision,
  }: TableChanges<ServiceConfiguration>): TableChanges<ServiceConfiguration> {
    const {key, getCurrent} = this.options;
    const current = getCurrent();
    const raised = changes.map(change =>
      change.key === key &&
      change.kind === 'put' &&
      current !== null &&
      change.value.version < current.version
        ? {...change, value: current}
        : change,
    );
    return {changes: raised, revision};
  }
}
