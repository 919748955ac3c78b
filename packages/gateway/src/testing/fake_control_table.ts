import type {Clock} from '@filbertrun/base/clock.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {
  createRevision,
  splitRevision,
} from '@filbertrun/platform/store_revision.js';
import type {
  BatchWriteError,
  ConditionalWrite,
  ListableTable,
  PlatformError,
  TableEntry,
  TableListing,
} from '@filbertrun/platform/platform_service.js';

/** How the table responds to writes. @internal */
export type WriteMode = 'answered' | 'unavailable' | 'doneWithoutAnswer';

/** The state of the table after a change. */
interface TableBackup {
  readonly atMs: number;
  readonly entries: ReadonlyMap<string, TableEntry>;
  readonly revision: number;
}

/** Maximum number of retained backups. */
const MAX_BACKUPS = 2_000;

/**
 * An in-memory control table that simulates outages, lost responses and restores
 * from a backup. After a restore, change numbers are assigned again, and the
 * conditions of writes compare only these numbers, not the era.
 *
 * @internal
 */
export class FakeControlTable implements ListableTable {
  readonly entries = new Map<string, TableEntry>();
  writeMode: WriteMode = 'answered';
  isReadable = true;
  writeCount = 0;
  private revision = 0;
  private readonly backups: TableBackup[] = [];

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): FakeControlTable {
    return new FakeControlTable(clock);
  }

  /** The value of a key parsed from JSON, or undefined if there is none. */
  getValue(key: string): unknown {
    const entry = this.entries.get(key);
    return entry === undefined ? undefined : JSON.parse(entry.value);
  }

  /** Writes a value regardless of its revision. */
  seed(key: string, value: unknown): number {
    this.revision++;
    const entry = {value: JSON.stringify(value), revision: this.revision};
    this.entries.set(key, entry);
    this.recordBackup();
    return this.revision;
  }

  /** The store era, which increases with each restore. */
  get era(): number {
    return splitRevision(this.revision).era;
  }

  /** Restores the state that the table had at a time, in a new era. */
  restore(toMs: number): void {
    const backup = this.backups.findLast(({atMs}) => atMs <= toMs);
    const era = this.era + 1;
    this.revision = withEra(backup?.revision ?? 0, era);
    this.entries.clear();
    for (const [key, {value, revision}] of backup?.entries ?? []) {
      this.entries.set(key, {value, revision: withEra(revision, era)});
    }
    this.backups.length = 0;
    this.recordBackup();
  }

  private recordBackup(): void {
    this.backups.push({
      atMs: this.clock.nowMs(),
      entries: new Map(this.entries),
      revision: this.revision,
    });
    if (this.backups.length > MAX_BACKUPS) {
      this.backups.shift();
    }
  }

  async listEntries(): Promise<Result<TableListing, PlatformError>> {
    await Promise.resolve();
    if (!this.isReadable) {
      return failure({kind: 'unavailable', reason: 'switched off'});
    }
    return success({
      entries: new Map(this.entries),
      revision: Math.max(1, this.revision),
      storeTimeMs: this.clock.nowMs(),
    });
  }

  async getEntry(
    key: string,
  ): Promise<Result<TableEntry | null, PlatformError>> {
    await Promise.resolve();
    return this.isReadable
      ? success(this.entries.get(key) ?? null)
      : failure({kind: 'unavailable', reason: 'switched off'});
  }

  async putEntry(
    write: ConditionalWrite,
  ): Promise<Result<TableEntry, PlatformError>> {
    await Promise.resolve();
    this.writeCount++;
    const error = this.findWriteError(write.key, write.expectedRevision);
    if (error !== null) {
      return failure(error);
    }
    this.revision++;
    const entry = {value: write.value, revision: this.revision};
    this.entries.set(write.key, entry);
    this.recordBackup();
    return this.writeMode === 'doneWithoutAnswer'
      ? failure({kind: 'outcomeUnknown', reason: 'the response was lost'})
      : success(entry);
  }

  async putEntries(
    writes: readonly ConditionalWrite[],
  ): Promise<Result<ReadonlyMap<string, TableEntry>, BatchWriteError>> {
    await Promise.resolve();
    this.writeCount++;
    const current = new Map<string, TableEntry | null>();
    for (const {key, expectedRevision} of writes) {
      const error = this.findWriteError(key, expectedRevision);
      if (error?.kind === 'conflict') {
        current.set(key, error.current);
      } else if (error !== null) {
        return failure(error);
      }
    }
    if (current.size > 0) {
      return failure({kind: 'conflicts', current});
    }
    this.revision++;
    const written = new Map<string, TableEntry>();
    for (const {key, value} of writes) {
      written.set(key, {value, revision: this.revision});
    }
    for (const [key, entry] of written) {
      this.entries.set(key, entry);
    }
    this.recordBackup();
    return this.writeMode === 'doneWithoutAnswer'
      ? failure({kind: 'outcomeUnknown', reason: 'the response was lost'})
      : success(written);
  }

  async removeEntry(
    key: string,
    expectedRevision: number,
  ): Promise<Result<void, PlatformError>> {
    await Promise.resolve();
    const error = this.findWriteError(key, expectedRevision);
    if (error !== null) {
      return failure(error);
    }
    this.revision++;
    this.entries.delete(key);
    this.recordBackup();
    return success(undefined);
  }

  private findWriteError(
    key: string,
    expectedRevision: number,
  ): PlatformError | null {
    if (this.writeMode === 'unavailable') {
      return {kind: 'unavailable', reason: 'switched off'};
    }
    const current = this.entries.get(key) ?? null;
    const isExpected =
      splitRevision(current?.revision ?? 0).change ===
      splitRevision(expectedRevision).change;
    return isExpected ? null : {kind: 'conflict', current};
  }
}

/** The revision with the same change number in another era. */
function withEra(revision: number, era: number): number {
  const {change} = splitRevision(revision);
  return createRevision({era, change}) ?? 0;
}
