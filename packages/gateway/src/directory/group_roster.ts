import type {Clock} from '@filbertrun/base/clock.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import type {PlatformTable} from '@filbertrun/platform/platform_service.js';
import * as z from 'zod';
import {parseRecord} from '../control/control_record.js';
import type {BackendServerEntry} from './backend_server_entry.js';

/** Validates the roster of a database group. */
const rosterSchema = z.array(
  z.object({
    backendServer: z.string().min(1),
    databaseGroup: z.string().min(1),
    host: z.string().min(1),
    port: z.number().int(),
    availabilityZone: z.string(),
    state: z.enum(['active', 'draining']),
    reportedRole: z.enum(['primary', 'replica']),
    slots: z.number(),
    warmUpRemainingMs: z.number(),
    startedAtEpochMs: z.number().nullable(),
  }),
);

/** Least time between two looks at the rosters. */
const MAINTAIN_INTERVAL_MS = 500;

/** What rosters are made of. @public */
export interface GroupRosterOptions {
  readonly clock: Clock;
  /** Table of the system's own, apart from the one that all proxies read often. */
  readonly table: PlatformTable;
  /**
   * The instances of a group that this process knows, those included that left
   * a short while ago.
   */
  listKnown(databaseGroup: DatabaseGroupName): readonly BackendServerEntry[];
  /** Whether this process has followed the directory for long enough to know who left. */
  hasLongMemory(): boolean;
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

  /** Instances of a group by its roster; null when the store does not answer. */
  async read(
    databaseGroup: DatabaseGroupName,
  ): Promise<readonly BackendServerEntry[] | null> {
    const result = await this.options.table.getEntry(getKey(databaseGroup));
    if (!result.ok) {
      return null;
    }
    const {value: entry} = result;
    const entries =
      entry === null ? [] : (parseRecord(rosterSchema, entry.value) ?? []);
    this.stored.set(databaseGroup, {entries, revision: entry?.revision ?? 0});
    return entries;
  }

  /** Writes the rosters that no longer name the instances that are known. */
  async maintain(groups: readonly DatabaseGroupName[]): Promise<void> {
    const nowMs = this.options.clock.nowMs();
    if (this.isWriting || nowMs - this.maintainedAtMs < MAINTAIN_INTERVAL_MS) {
      return;
    }
    this.maintainedAtMs = nowMs;
    this.isWriting = true;
    for (const databaseGroup of groups) {
      await this.maintainOne(databaseGroup);
    }
    this.isWriting = false;
  }

  private async maintainOne(databaseGroup: DatabaseGroupName): Promise<void> {
    if (!this.stored.has(databaseGroup)) {
      await this.read(databaseGroup);
    }
    const stored = this.stored.get(databaseGroup);
    if (stored === undefined) {
      return;
    }
    const entries = this.merge(databaseGroup, stored.entries);
    if (namesSame(entries, stored.entries)) {
      return;
    }
    const result = await this.options.table.putEntry({
      key: getKey(databaseGroup),
      value: JSON.stringify(entries),
      expectedRevision: stored.revision,
    });
    if (result.ok) {
      const {revision} = result.value;
      this.stored.set(databaseGroup, {entries, revision});
    } else {
      // Whatever became of the write, the next look reads the roster anew.
      this.stored.delete(databaseGroup);
    }
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
