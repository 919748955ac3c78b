import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {GatewayEvents} from '../observability/gateway_events.js';
import type {BackendServerEntry} from './backend_server_entry.js';
import type {TableListener} from './table_watcher.js';
import type {TableChange, TableChanges} from './watchable_table.js';

/** Takes the backend servers that are to be used. @public */
export interface DirectoryListener {
  handleServerUpdated(entry: BackendServerEntry): void;
  handleServerGone(entry: BackendServerEntry, reason: string): void;
}

/** What a directory is made of. @public */
export interface BackendDirectoryOptions {
  readonly clock: Clock;
  readonly events: GatewayEvents;
  readonly listener: DirectoryListener;
}

/**
 * Time for which a server whose entry expired is still used. An outage of the
 * store makes entries expire that come back soon after it.
 */
const LAPSE_GRACE_MS = 2_500;

/**
 * Time for which a server that is gone from the table may still run. One that
 * is cut off together with its primary goes on confirming commits.
 *
 * @public
 */
export const DEPARTED_MS = 12_000;

/** A server that was removed, and when. */
interface Departure {
  readonly entry: BackendServerEntry;
  readonly atMs: number;
}

/** The backend servers that exist, from the table in which they report themselves. @public */
export class BackendDirectory implements TableListener<BackendServerEntry> {
  private readonly entries = new Map<BackendServerId, BackendServerEntry>();
  private readonly graceTimers = new Map<BackendServerId, Timer>();
  private readonly departures = new Map<BackendServerId, Departure>();
  private listedAtMs: number | null = null;

  private constructor(private readonly options: BackendDirectoryOptions) {}

  static create(options: BackendDirectoryOptions): BackendDirectory {
    return new BackendDirectory(options);
  }

  /** Whether the table has been read since the start. */
  get isListed(): boolean {
    return this.listedAtMs !== null;
  }

  /** Whether the table has been followed for as long as a server that left may run. */
  get hasLongMemory(): boolean {
    return (
      this.listedAtMs !== null &&
      this.options.clock.nowMs() - this.listedAtMs >= DEPARTED_MS
    );
  }

  getEntry(backendServer: BackendServerId): BackendServerEntry | null {
    return this.entries.get(backendServer) ?? null;
  }

  getEntries(): readonly BackendServerEntry[] {
    return [...this.entries.values()];
  }

  /** Servers that were removed a short while ago and may still run. */
  getDeparted(): readonly BackendServerEntry[] {
    const oldestMs = this.options.clock.nowMs() - DEPARTED_MS;
    const departed: BackendServerEntry[] = [];
    for (const [backendServer, {entry, atMs}] of this.departures) {
      if (atMs >= oldestMs) {
        departed.push(entry);
      } else {
        this.departures.delete(backendServer);
      }
    }
    return departed;
  }

  handleListing(listing: TableChanges<BackendServerEntry>): void {
    this.listedAtMs ??= this.options.clock.nowMs();
    const present = new Set<BackendServerId>();
    for (const change of listing.changes) {
      this.apply(change);
      if (change.kind === 'put') {
        present.add(change.key);
      }
    }
    for (const backendServer of [...this.entries.keys()]) {
      if (!present.has(backendServer)) {
        this.startGrace(backendServer);
      }
    }
  }

  handleChanges(changes: TableChanges<BackendServerEntry>): void {
    for (const change of changes.changes) {
      this.apply(change);
    }
  }

  dispose(): void {
    for (const timer of this.graceTimers.values()) {
      timer.cancel();
    }
    this.graceTimers.clear();
  }

  private apply(change: TableChange<BackendServerEntry>): void {
    switch (change.kind) {
      case 'put':
        this.update(change.value);
        return;
      case 'removed':
        this.startGrace(change.key);
        return;
      case 'unreadable':
        this.options.events.record({
          kind: 'directoryEntryRejected',
          backendServer: change.key,
          reason: change.reason,
        });
        this.startGrace(change.key);
        return;
    }
  }

  private update(entry: BackendServerEntry): void {
    const {backendServer} = entry;
    this.graceTimers.get(backendServer)?.cancel();
    this.graceTimers.delete(backendServer);
    const known = this.entries.get(backendServer);
    if (known !== undefined && known.databaseGroup !== entry.databaseGroup) {
      this.remove(backendServer, 'it moved to another database group');
    }
    this.entries.set(backendServer, entry);
    this.departures.delete(backendServer);
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

  /** Starts the grace of an entry that is missing; a drained server is gone at once. */
  private startGrace(backendServer: BackendServerId): void {
    const entry = this.entries.get(backendServer);
    if (entry === undefined || this.graceTimers.has(backendServer)) {
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
    const timer = this.options.clock.startTimer(LAPSE_GRACE_MS, () => {
      this.graceTimers.delete(backendServer);
      this.remove(backendServer, 'its entry stayed away');
    });
    this.graceTimers.set(backendServer, timer);
  }

  private remove(backendServer: BackendServerId, reason: string): void {
    const entry = this.entries.get(backendServer);
    if (entry === undefined) {
      return;
    }
    this.entries.delete(backendServer);
    this.departures.set(backendServer, {
      entry,
      atMs: this.options.clock.nowMs(),
    });
    this.options.events.record({
      kind: 'backendServerGone',
      backendServer,
      databaseGroup: entry.databaseGroup,
      reason,
    });
    this.options.listener.handleServerGone(entry, reason);
  }
}
