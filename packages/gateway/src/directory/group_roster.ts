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

/** Validates the roster of a database group. */
const rosterSchema = z.array(backendServerEntrySchema);

/** Least time between two looks at the rosters. */
const MAINTAIN_INTERVAL_MS = 500;

/** What rosters are made of. @public */
export interface GroupRosterOptions {
  readonly clock: Clock;
  /** Table of the system's own, apart from the one that all proxies read often. */
  readonly table: ListableTable;
  /**
   * The instances of a group that this process knows, those included that left
   * a short while ago.
   */
  listKnown(databaseGroup: DatabaseGroupName): readonly BackendServerEntry[];
  /** Whether this process has followed the directory for long enough to know who left. */
  hasLongMemory(): boolean;
}

/** Rosters that are written at once. */
const MAX_BATCH = 50;

/** A roster to be written over the one of a revision. */
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
 * The instances of each database group that may still run, kept in the store. A
 * process that has just started learns from it of instances whose entries had
 * expired before: cut off together with their primary, they go on
 * acknowledging commits.
 *
 * @public
 */
export class GroupRoster {
  private readonly stored = new Map<DatabaseGroupName, StoredRoster>();
  private maintainedAtMs = Number.NEGATIVE_INFINITY;
  private isWriting = false;

  private constructor(private readonly options: GroupRosterOptions) {}

  static create(options: GroupRosterOptions): GroupRoster {
    return new GroupRoster(options);
  }

  /** Reads all rosters anew, since the store has come back from a copy. */
  forgetStored(): void {
    this.stored.clear();
  }

  /** Instances of a group by its roster; null when the store does not answer. */
  async read(
    databaseGroup: DatabaseGroupName,
  ): Promise<readonly BackendServerEntry[] | null> {
    const result = await this.options.table.getEntry(getKey(databaseGroup));
    return result.ok ? this.store(databaseGroup, result.value) : null;
  }

  /** Writes the rosters that no longer name the instances that are known. */
  async maintain(groups: readonly DatabaseGroupName[]): Promise<void> {
    const nowMs = this.options.clock.nowMs();
    if (this.isWriting || nowMs - this.maintainedAtMs < MAINTAIN_INTERVAL_MS) {
      return;
    }
    this.maintainedAtMs = nowMs;
    this.isWriting = true;
    const isRead =
      groups.every(group => this.stored.has(group)) ||
      (await this.readAll(groups));
    const changes = isRead ? this.findChanges(groups) : [];
    for (let start = 0; start < changes.length; start += MAX_BATCH) {
      await this.write(changes.slice(start, start + MAX_BATCH));
    }
    this.isWriting = false;
  }

  /** Reads the rosters of all groups by one listing; false without an answer. */
  private async readAll(
    groups: readonly DatabaseGroupName[],
  ): Promise<boolean> {
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
      if (!namesSame(entries, stored.entries)) {
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
        // Whatever became of the write, the next look reads the rosters anew.
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
    return entries;
  }

  /** A process without a long memory drops no instance that another one named. */
  private merge(
    databaseGroup: DatabaseGroupName,
    stored: readonly BackendServerEntry[],
  ): readonly BackendServerEntry[] {
    const known = this.options.listKnown(databaseGroup);
    if (this.options.hasLongMemory()) {
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

/** Whether two rosters name the same starts of the same instances. */
function namesSame(
  left: readonly BackendServerEntry[],
  right: readonly BackendServerEntry[],
): boolean {
  return describeNames(left) === describeNames(right);
}

function describeNames(entries: readonly BackendServerEntry[]): string {
  return entries
    .map(
      ({backendServer, host, port, startedAtEpochMs}) =>
        `${backendServer} ${host}:${port} ${startedAtEpochMs ?? ''}`,
    )
    .sort()
    .join('\n');
}
