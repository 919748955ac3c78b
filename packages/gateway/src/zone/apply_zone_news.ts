import type {TableEntry} from '@filbertrun/platform/platform_service.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {ContactWatch} from '../control/contact_watch.js';
import type {ControlPoller} from '../control/control_poller.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {TableWatcher} from '../directory/table_watcher.js';
import type {ClockReading} from '../group/clock_watch.js';
import type {ControlNews, ZoneNews} from './zone_news.js';

/** What takes the news of a follower. @public */
export interface ZoneNewsTargets {
  readonly poller: ControlPoller;
  readonly contact: ContactWatch;
  readonly directoryWatcher: TableWatcher<BackendServerEntry>;
  readonly configurationWatcher: TableWatcher<ServiceConfiguration>;
  /** Digest of the records of primaries that this process knows. */
  computeDigest(): string;
}

/** Takes news that were asked for at `askedAt`. @public */
export function applyZoneNews(
  news: ZoneNews,
  askedAt: ClockReading,
  targets: ZoneNewsTargets,
): void {
  const {configuration, directory, control, contact} = news;
  const {configurationWatcher, directoryWatcher, poller} = targets;
  configurationWatcher.takeNews(configuration, configuration.isListing);
  directoryWatcher.takeNews(directory, directory.isListing);
  applyControl(control, askedAt, poller);
  // A contact holds for the same records only, those that came with it included.
  if (contact !== null && contact.digest === targets.computeDigest()) {
    targets.contact.noteContact(countBack(askedAt, contact.startLeadMs));
  }
}

function applyControl(
  control: ControlNews,
  askedAt: ClockReading,
  poller: ControlPoller,
): void {
  const entries = new Map<string, TableEntry>(
    control.isListing ? [] : poller.newestListing?.entries,
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
  poller.takeListing(
    {entries, revision, storeTimeMs},
    countBack(askedAt, readLeadMs),
  );
}

/** The time that lies `leadMs` before another one, in the same epoch. */
function countBack(reading: ClockReading, leadMs: number): ClockReading {
  return {timeMs: reading.timeMs - leadMs, epoch: reading.epoch};
}
