import type {Clock} from '@filbertrun/base/clock.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import type {
  ListableTable,
  TableEntry,
} from '@filbertrun/platform/platform_service.js';
import * as z from 'zod';
import {parseRecord} from '../control/control_record.js';
import {
  backendServerEntrySchema,
  type BackendServerEntry,
} from './backend_server_entry.js';

/**
 * Validates the stored roster of a database group. An earlier build may have
 * stored an entry that names no instance; it must not hide the others.
 */
const rosterSchema = z.array(z.unknown()).transform(entries => {
  const valid: BackendServerEntry[] = [];
  for (const entry of entries) {
    const parsed = backendServerEntrySchema.safeParse(entry);
    if (parsed.success) {
      valid.push(parsed.data);
    }
  }
  return valid;
});

/** Minimum time between two maintenance passes. */
const MAINTAIN_INTERVAL_MS = 500;

/** Options of {@link GroupRoster}. @public */
export interface GroupRosterOptions {
  readonly clock: Clock;
  /** Separate from the control table, which all proxies list often. */
  readonly table: ListableTable;
  /**
   * Returns the instances of a group that this process knows, including
   * recently removed ones.
   */
  listKnown(databaseGroup: DatabaseGroupName): readonly BackendServerEntry[];
  /** Handles the entries of a roster that was read. */
  handleRead(entries: readonly BackendServerEntry[]): void;
  /**
   * Whether this process has watched the directory for long enough to know all
   * recently removed instances.
   */
  hasCompleteHistory(): boolean;
}

/** Maximum number of rosters in one write. */
const MAX_BATCH = 50;

/** A new roster and the revision that it replaces. */
interface RosterChange {
  readonly databaseGroup: DatabaseGroupName;
  readonly entries: readonly BackendServerEntry[];
  readonly revision: number;
}

interface StoredRoster {
  readonly entries: readonly BackendServerEntry[];
  readonly revision: number;
}

/**
 * Persists the instances of each database group that may still be running. A
 * newly started process learns from it about instances whose directory entries
 * expired before its start. Such instances, if partitioned together with their
 * primary, keep acknowledging commits.
 *
 * @public
 */
export class GroupRoster {
  private readonly stored = new Map<DatabaseGroupName, StoredRoster>();
  private lastMaintainedAtMs = Number.NEGATIVE_INFINITY;
  private isWriting = false;
  /** Token of the leadership in which the cached rosters were read. */
  private fencingToken: number | null = null;

  private constructor(private readonly options: GroupRosterOptions) {}

  static create(options: GroupRosterOptions): GroupRoster {
    return new GroupRoster(options);
  }

  /**
   * Discards the cached rosters, so that all of them are read again. Called
   * after the store was restored from a backup.
   */
  clearCache(): void {
    this.stored.clear();
  }

  /** Reads the roster of a group; null when the store is unavailable. */
  async read(
    databaseGroup: DatabaseGroupName,
  ): Promise<readonly BackendServerEntry[] | null> {
    const result = await this.options.table.getEntry(getKey(databaseGroup));
    return result.ok ? this.store(databaseGroup, result.value) : null;
  }

  /**
   * Writes the rosters that differ from the known instances, as the failover
   * leader with the given token. Another leader may have written since an earlier
   * token, so the rosters are read again.
   */
  async maintain(
    groups: readonly DatabaseGroupName[],
    fencingToken: number,
  ): Promise<void> {
    const nowMs = this.options.clock.nowMs();
    if (fencingToken !== this.fencingToken) {
      this.fencingToken = fencingToken;
      this.clearCache();
    }
    if (
      this.isWriting ||
      nowMs - this.lastMaintainedAtMs < MAINTAIN_INTERVAL_MS
    ) {
      return;
    }
    this.lastMaintainedAtMs = nowMs;
    this.isWriting = true;
    try {
      await this.writeChanges(groups);
    } finally {
      this.isWriting = false;
    }
  }

  private async writeChanges(
    groups: readonly DatabaseGroupName[],
  ): Promise<void> {
    const isRead =
      groups.every(group => this.stored.has(group)) ||
      (await this.readAll(groups));
    const changes = isRead ? this.findChanges(groups) : [];
    for (let start = 0; start < changes.length; start += MAX_BATCH) {
      await this.write(changes.slice(start, start + MAX_BATCH));
    }
  }

  /**
   * Reads all rosters with one listing; false when the store is unavailable.
   */
  async readAll(groups: readonly DatabaseGroupName[]): Promise<boolean> {
    const listing = await this.options.table.listEntries();
    if (!listing.ok) {
      return false;
    }
    for (const group of groups) {
      this.store(group, listing.value.entries.get(getKey(group)) ?? null);
    }
    return true;
  }

  private findChanges(
    groups: readonly DatabaseGroupName[],
  ): readonly RosterChange[] {
    const changes: RosterChange[] = [];
    for (const databaseGroup of groups) {
      const stored = this.stored.get(databaseGroup);
      if (stored === undefined) {
        continue;
      }
      const entries = this.merge(databaseGroup, stored.entries);
      if (!isSameRoster(entries, stored.entries)) {
        changes.push({databaseGroup, entries, revision: stored.revision});
      }
    }
    return changes;
  }

  private async write(changes: readonly RosterChange[]): Promise<void> {
    const result = await this.options.table.putEntries(
      changes.map(({databaseGroup, entries, revision}) => ({
        key: getKey(databaseGroup),
        value: JSON.stringify(entries),
        expectedRevision: revision,
      })),
    );
    for (const {databaseGroup, entries} of changes) {
      const written = result.ok
        ? result.value.get(getKey(databaseGroup))
        : undefined;
      if (written === undefined) {
        // The outcome may be unknown, so the next pass reads the rosters again.
        this.stored.delete(databaseGroup);
      } else {
        this.stored.set(databaseGroup, {entries, revision: written.revision});
      }
    }
  }

  private store(
    databaseGroup: DatabaseGroupName,
    entry: TableEntry | null,
  ): readonly BackendServerEntry[] {
    const entries =
      entry === null ? [] : (parseRecord(rosterSchema, entry.value) ?? []);
    this.stored.set(databaseGroup, {entries, revision: entry?.revision ?? 0});
    this.options.handleRead(entries);
    return entries;
  }

  /**
   * Returns the roster to store. A process that may not know all recently
   * removed instances keeps the stored ones that it does not know.
   */
  private merge(
    databaseGroup: DatabaseGroupName,
    stored: readonly BackendServerEntry[],
  ): readonly BackendServerEntry[] {
    const known = this.options.listKnown(databaseGroup);
    if (this.options.hasCompleteHistory()) {
      return known;
    }
    const names = new Set(known.map(({backendServer}) => backendServer));
    const others = stored.filter(
      ({backendServer}) => !names.has(backendServer),
    );
    return [...known, ...others];
  }
}

function getKey(databaseGroup: DatabaseGroupName): string {
  return `roster/${databaseGroup}`;
}

/** Whether two rosters list the same instances with the same start times. */
function isSameRoster(
  left: readonly BackendServerEntry[],
  right: readonly BackendServerEntry[],
): boolean {
  return createRosterKey(left) === createRosterKey(right);
}

function createRosterKey(entries: readonly BackendServerEntry[]): string {
  return entries
    .map(
      ({backendServer, host, port, startedAtEpochMs}) =>
        `${backendServer} ${host}:${port} ${startedAtEpochMs ?? ''}`,
    )
    .sort()
    .join('\n');
}
