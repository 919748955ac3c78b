import type {TableListener} from '../directory/table_watcher.js';
import type {
  TableChange,
  TableChanges,
  TableRead,
} from '../directory/watchable_table.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {ServiceConfiguration} from './service_configuration.js';

/** Called with each newer configuration. @public */
export type ConfigurationListener = (
  configuration: ServiceConfiguration,
) => void;

/** Options of a configuration holder. @public */
export interface ConfigurationHolderOptions {
  /** Key of the configuration in its table. */
  readonly key: string;
  readonly events: GatewayEventRecorder;
  readonly listener: ConfigurationListener;
}

const UNKNOWN_READ: TableRead = {source: 'unknown', durationMs: 0};

/** Holds the newest configuration; an older version is ignored. @public */
export class ConfigurationHolder implements TableListener<ServiceConfiguration> {
  private newest: ServiceConfiguration | null = null;
  /** Whether the listener has applied all of the newest configuration. */
  private isApplied = true;

  private constructor(private readonly options: ConfigurationHolderOptions) {}

  static create(options: ConfigurationHolderOptions): ConfigurationHolder {
    return new ConfigurationHolder(options);
  }

  get current(): ServiceConfiguration | null {
    return this.newest;
  }

  handleListing(listing: TableChanges<ServiceConfiguration>): void {
    this.handleChanges(listing);
  }

  handleChanges(changes: TableChanges<ServiceConfiguration>): void {
    for (const change of changes.changes) {
      this.apply(change, changes);
    }
  }

  /** Applies a configuration if it is newer than the current one. */
  private applyIfNewer(
    configuration: ServiceConfiguration,
    {read = UNKNOWN_READ, responseBytes}: TableChanges<ServiceConfiguration>,
  ): void {
    const previousVersion = this.newest?.version ?? 0;
    const isNewer = configuration.version > previousVersion;
    const mustRepeat =
      configuration.version === previousVersion && !this.isApplied;
    if (!isNewer && !mustRepeat) {
      return;
    }
    this.newest = configuration;
    this.isApplied = false;
    this.options.events.record({
      kind: 'configurationTaken',
      version: configuration.version,
      previousVersion,
      routeCount: configuration.routes.size,
      ...read,
      responseBytes: responseBytes ?? null,
    });
    this.options.listener(configuration);
    this.isApplied = true;
  }

  private apply(
    change: TableChange<ServiceConfiguration>,
    changes: TableChanges<ServiceConfiguration>,
  ): void {
    if (change.key !== this.options.key) {
      return;
    }
    if (change.kind === 'put') {
      this.applyIfNewer(change.value, changes);
      return;
    }
    const reason =
      change.kind === 'unreadable' ? change.reason : 'it was removed';
    this.options.events.record({kind: 'configurationRejected', reason});
  }
}
