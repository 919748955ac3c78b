import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {BackendServerEntry} from './backend_server_entry.js';
import type {TableListener} from './table_watcher.js';
import type {TableChange, TableChanges} from './watchable_table.js';

/** Receives updates and removals of backend servers. @public */
export interface DirectoryListener {
  handleServerUpdated(entry: BackendServerEntry): void;
  handleServerRemoved(entry: BackendServerEntry, reason: string): void;
}

/** Options of {@link BackendDirectory}. @public */
export interface BackendDirectoryOptions {
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly listener: DirectoryListener;
}

/**
 * Time for which a server stays in use after its entry has expired. Entries
 * expire during an outage of the store and are written again soon after it.
 */
const EXPIRY_GRACE_MS = 2_500;

/**
 * Time for which a server that was removed from the table and does not respond may
 * still be running. A replica that is partitioned together with its primary keeps
 * acknowledging commits.
 *
 * @public
 */
export const REMOVED_RETENTION_MS = 12_000;

/** A removed server and the time of its removal. */
interface Removal {
  readonly entry: BackendServerEntry;
  readonly removedAtMs: number;
}

/**
 * Tracks the backend servers that have an entry in the directory table.
 *
 * @public
 */
export class BackendDirectory implements TableListener<BackendServerEntry> {
  private readonly entries = new Map<BackendServerId, BackendServerEntry>();
  private readonly expiryTimers = new Map<BackendServerId, Timer>();
  /** Removed servers by database group and id. */
  private readonly removals = new Map<string, Removal>();
  private listedAtMs: number | null = null;

  private constructor(private readonly options: BackendDirectoryOptions) {}

  static create(options: BackendDirectoryOptions): BackendDirectory {
    return new BackendDirectory(options);
  }

  /** When the table was last listed; null if it never was. */
  get lastListedAtMs(): number | null {
    return this.listedAtMs;
  }

  /** Whether the table has been listed since process start. */
  get isListed(): boolean {
    return this.listedAtMs !== null;
  }

  /**
   * Whether the table has been watched for as long as a removed server may
   * still be running, so that the list of removed servers is complete. A listing
   * starts this time again: it does not show servers that came and expired since
   * the last change that was seen.
   */
  get hasCompleteHistory(): boolean {
    return (
      this.listedAtMs !== null &&
      this.options.clock.nowMs() - this.listedAtMs >= REMOVED_RETENTION_MS
    );
  }

  /** Time for which the table has been watched; null if it never was. */
  getHistoryAgeMs(): number | null {
    return this.listedAtMs === null
      ? null
      : this.options.clock.nowMs() - this.listedAtMs;
  }

  getEntry(backendServer: BackendServerId): BackendServerEntry | null {
    return this.entries.get(backendServer) ?? null;
  }

  getEntries(): readonly BackendServerEntry[] {
    return [...this.entries.values()];
  }

  /** Returns recently removed servers, which may still be running. */
  getRecentlyRemoved(): readonly BackendServerEntry[] {
    const oldestMs = this.options.clock.nowMs() - REMOVED_RETENTION_MS;
    const removed: BackendServerEntry[] = [];
    for (const [key, {entry, removedAtMs}] of this.removals) {
      if (removedAtMs >= oldestMs) {
        removed.push(entry);
      } else {
        this.removals.delete(key);
      }
    }
    return removed;
  }

  /**
   * Records a server that another process knew and that is not listed; it counts
   * as removed now.
   */
  recordRemoved(entry: BackendServerEntry): void {
    const known = this.entries.get(entry.backendServer);
    const key = getRemovalKey(entry);
    if (
      known?.databaseGroup !== entry.databaseGroup &&
      !this.removals.has(key)
    ) {
      this.removals.set(key, {entry, removedAtMs: this.options.clock.nowMs()});
    }
  }

  /** Records that a removed server has responded, so it is still running. */
  renewRemoved(entry: BackendServerEntry): void {
    const key = getRemovalKey(entry);
    const removal = this.removals.get(key);
    if (removal !== undefined) {
      const removedAtMs = this.options.clock.nowMs();
      this.removals.set(key, {entry: removal.entry, removedAtMs});
    }
  }

  handleListing(listing: TableChanges<BackendServerEntry>): void {
    this.listedAtMs = this.options.clock.nowMs();
    const listedServers = new Set<BackendServerId>();
    for (const change of listing.changes) {
      this.apply(change);
      if (change.kind === 'put') {
        listedServers.add(change.key);
      }
    }
    for (const backendServer of [...this.entries.keys()]) {
      if (!listedServers.has(backendServer)) {
        this.startGracePeriod(backendServer);
      }
    }
  }

  handleChanges(changes: TableChanges<BackendServerEntry>): void {
    for (const change of changes.changes) {
      this.apply(change);
    }
  }

  dispose(): void {
    for (const timer of this.expiryTimers.values()) {
      timer.cancel();
    }
    this.expiryTimers.clear();
  }

  private apply(change: TableChange<BackendServerEntry>): void {
    switch (change.kind) {
      case 'put':
        this.update(change.value);
        return;
      case 'removed':
        this.startGracePeriod(change.key);
        return;
      case 'unreadable':
        this.options.events.record({
          kind: 'directoryEntryRejected',
          backendServer: change.key,
          reason: change.reason,
        });
        this.startGracePeriod(change.key);
        return;
    }
  }

  private update(entry: BackendServerEntry): void {
    const {backendServer} = entry;
    this.expiryTimers.get(backendServer)?.cancel();
    this.expiryTimers.delete(backendServer);
    this.removals.delete(getRemovalKey(entry));
    const known = this.entries.get(backendServer);
    if (known !== undefined && known.databaseGroup !== entry.databaseGroup) {
      this.remove(backendServer, 'it moved to another database group');
    }
    this.entries.set(backendServer, entry);
    if (
      known?.state !== entry.state ||
      known.reportedRole !== entry.reportedRole
    ) {
      this.options.events.record({
        kind: 'backendServerSeen',
        backendServer,
        databaseGroup: entry.databaseGroup,
        availabilityZone: entry.availabilityZone,
        role: entry.reportedRole,
        state: entry.state,
      });
    }
    this.options.listener.handleServerUpdated(entry);
  }

  /**
   * Starts the grace period of a missing entry. A drained server is removed
   * immediately.
   */
  private startGracePeriod(backendServer: BackendServerId): void {
    const entry = this.entries.get(backendServer);
    if (entry === undefined || this.expiryTimers.has(backendServer)) {
      return;
    }
    if (entry.state === 'draining') {
      this.remove(backendServer, 'it was drained');
      return;
    }
    this.options.events.record({
      kind: 'backendServerLapsed',
      backendServer,
      databaseGroup: entry.databaseGroup,
    });
    const timer = this.options.clock.startTimer(EXPIRY_GRACE_MS, () => {
      this.expiryTimers.delete(backendServer);
      this.remove(backendServer, 'its entry expired and was not renewed');
    });
    this.expiryTimers.set(backendServer, timer);
  }

  private remove(backendServer: BackendServerId, reason: string): void {
    const entry = this.entries.get(backendServer);
    if (entry === undefined) {
      return;
    }
    this.entries.delete(backendServer);
    this.removals.set(getRemovalKey(entry), {
      entry,
      removedAtMs: this.options.clock.nowMs(),
    });
    this.options.events.record({
      kind: 'backendServerGone',
      backendServer,
      databaseGroup: entry.databaseGroup,
      reason,
    });
    this.options.listener.handleServerRemoved(entry, reason);
  }
}

/**
 * Key of a removal. A row that names another group does not tell that the instance
 * of the first group is running or gone.
 */
function getRemovalKey({
  databaseGroup,
  backendServer,
}: BackendServerEntry): string {
  return `${databaseGroup} ${backendServer}`;
}
