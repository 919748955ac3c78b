import type {TableEntry} from '@filbertrun/platform/platform_service.js';
import type {ConfigurationHistory} from '../configuration/configuration_history.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {ContactTracker} from '../control/contact_tracker.js';
import type {ControlPoller} from '../control/control_poller.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {TableWatcher} from '../directory/table_watcher.js';
import type {ClockReading} from '../group/clock_jump_detector.js';
import type {TableUpdate} from './table_change_cache.js';
import type {ControlUpdate, ZoneUpdate} from './zone_update.js';

/** Components that an update from the zone reader is applied to. @public */
export interface ZoneUpdateTargets {
  readonly controlPoller: ControlPoller;
  readonly contact: ContactTracker;
  readonly directoryWatcher: TableWatcher<BackendServerEntry>;
  readonly configurationWatcher: TableWatcher<ServiceConfiguration>;
  /** Versions to which deltas may be applied. */
  readonly configurationHistory: ConfigurationHistory;
  readonly configurationKey: string;
  /**
   * Digest of the revisions of all primary records, which name the primary of
   * each database group, as known to this process.
   */
  computeDigest(): string;
}

/** The request that an update answers. @public */
export interface RequestedUpdate {
  /** Entry VM of the zone reader. */
  readonly reader: string;
  /** When the request was sent. */
  readonly requestedAt: ClockReading;
  /** Time until the response arrived. */
  readonly durationMs: number;
}

/** Applies an update from the zone reader. @public */
export function applyZoneUpdate(
  update: ZoneUpdate,
  {reader, requestedAt, durationMs}: RequestedUpdate,
  targets: ZoneUpdateTargets,
): void {
  const {configurationLeadMs, directory, control, contact} = update;
  const {configurationWatcher, directoryWatcher, controlPoller} = targets;
  const configuration = resolveConfiguration(update, targets);
  const read = {source: reader, durationMs};
  if (configuration !== null) {
    configurationWatcher.applyUpdate(
      {...configuration, read},
      configuration.isListing,
      configurationLeadMs === null
        ? null
        : subtractLead(requestedAt, configurationLeadMs),
    );
  }
  directoryWatcher.applyUpdate(directory, directory.isListing);
  applyControl(control, requestedAt, controlPoller);
  // A contact confirms the primary records of the reader. It confirms those of
  // this process only if they are the same after this update was applied.
  if (contact !== null && contact.digest === targets.computeDigest()) {
    targets.contact.recordContact(
      subtractLead(requestedAt, contact.startLeadMs),
    );
  }
}

/**
 * Adds the configuration that an update's delta leads to. Returns null if its base
 * is not known, so that nothing of the table may be applied.
 */
function resolveConfiguration(
  {configuration, configurationDelta}: ZoneUpdate,
  {configurationHistory, configurationKey}: ZoneUpdateTargets,
): TableUpdate<ServiceConfiguration> | null {
  if (configurationDelta === null) {
    return configuration;
  }
  const value = configurationHistory.apply(configurationDelta);
  if (value === null) {
    return null;
  }
  const {revision} = configurationDelta;
  const change = {kind: 'put', key: configurationKey, revision, value} as const;
  return {...configuration, changes: [...configuration.changes, change]};
}

function applyControl(
  control: ControlUpdate,
  requestedAt: ClockReading,
  controlPoller: ControlPoller,
): void {
  const entries = new Map<string, TableEntry>(
    control.isListing ? [] : controlPoller.newestListing?.entries,
  );
  for (const change of control.changes) {
    if (change.kind === 'put') {
      const {key, value, revision} = change;
      entries.set(key, {value, revision});
    } else {
      entries.delete(change.key);
    }
  }
  const {revision, storeTimeMs, readLeadMs} = control;
  controlPoller.applyListing(
    {entries, revision, storeTimeMs},
    subtractLead(requestedAt, readLeadMs),
  );
}

/**
 * The time `leadMs` before a reading, in the same clock epoch. A lead is the
 * time from an event at the reader to the arrival of the request there.
 */
function subtractLead(reading: ClockReading, leadMs: number): ClockReading {
  return {timeMs: reading.timeMs - leadMs, epoch: reading.epoch};
}
