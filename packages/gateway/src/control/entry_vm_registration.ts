import type {
  ConditionalWrite,
  ListableTable,
  TableEntry,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import {getEra} from '@filbertrun/platform/store_revision.js';
import type {ClockReading, ClockWatch} from '../group/clock_watch.js';
import {getEraAgeMs} from './era_age.js';
import {
  ENTRY_VM_PREFIX,
  entryVmRecordSchema,
  parseRecord,
  type EntryVmRecord,
} from './control_record.js';

/** What identifies an entry VM and its process. @public */
export type EntryVmIdentity = Omit<
  EntryVmRecord,
  'leaseEndStoreMs' | 'contactWindowMs'
>;

/** What a registration is made of. @public */
export interface EntryVmRegistrationOptions {
  readonly self: EntryVmIdentity;
  readonly table: ListableTable;
  readonly clockWatch: ClockWatch;
  /** What the record states of contact. */
  readonly contactWindowMs: number;
  /** Incarnations of the proxies whose leases this one extends, by entry VM. */
  getFollowers(): ReadonlyMap<string, string>;
  /** Whether another proxy extends the leases of this one. */
  isFollowing(): boolean;
}

/** Interval at which an entry VM extends its leases. */
const RENEWAL_INTERVAL_MS = 5_000;

/** Time after which one whose leases another proxy extends does so itself. */
const FOLLOWER_RENEWAL_MS = 7_000;

/**
 * Time after the store came back from a copy in which the proxies that remember
 * more than the copy has write it again. One that started since waits for it.
 */
const RECORDS_REWRITTEN_MS = 1_500;

/** Records that are written at once. */
const MAX_BATCH = 100;

/** Least time between a failed write and the next one. */
const RETRY_INTERVAL_MS = 500;

/**
 * Time for which an entry VM may rely on what it has read. It outlasts the
 * usual outage of the store. A change of primary waits for it only where
 * proxies of several availability zones can't be asked to release.
 *
 * @public
 */
export const LEASE_DURATION_MS = 12_000;

/** Time after the end of its lease for which an entry VM stays listed. */
const GONE_AFTER_LEASE_MS = 30_000;

interface ObservedEntryVm {
  readonly record: EntryVmRecord;
  readonly revision: number;
}

/** The store's clock beside the own one, from one listing. */
interface StoreClockReading {
  readonly readAt: ClockReading;
  readonly storeTimeMs: number;
}

/**
 * This proxy's record in the control table and the records of the others. A
 * proxy relies on a primary only up to the time that its own record states, so
 * whoever changes a primary knows whom to ask and how long to wait.
 *
 * @public
 */
export class EntryVmRegistration {
  private readonly observed = new Map<string, ObservedEntryVm>();
  /** Records from before the store came back from a copy, by entry VM. */
  private remembered: readonly EntryVmRecord[] = [];
  /** Era of the latest listing; null before the first. */
  private era: number | null = null;
  private firstEra = 0;
  private storeClock: StoreClockReading | null = null;
  private failedAt: ClockReading | null = null;
  private isWriting = false;
  private isLeaving = false;
  private hasSeenPredecessor = false;

  private constructor(private readonly options: EntryVmRegistrationOptions) {}

  static create(options: EntryVmRegistrationOptions): EntryVmRegistration {
    return new EntryVmRegistration(options);
  }

  /** Whether an earlier process of this entry VM ended without taking its leave. */
  get hasPredecessor(): boolean {
    return this.hasSeenPredecessor;
  }

  /** Registered entry VMs, this one included. */
  getEntryVms(): readonly EntryVmRecord[] {
    const records: EntryVmRecord[] = [];
    for (const {record} of this.observed.values()) {
      records.push(record);
    }
    return records;
  }

  getOtherEntryVms(): readonly EntryVmRecord[] {
    return this.getEntryVms().filter(
      ({entryVm}) => entryVm !== this.options.self.entryVm,
    );
  }

  /**
   * Proxies that were registered when the store came back from a copy, whether
   * or not the copy has them.
   */
  getRemembered(): readonly EntryVmRecord[] {
    return this.remembered;
  }

  getEntryVm(entryVm: string): EntryVmRecord | null {
    return this.observed.get(entryVm)?.record ?? null;
  }

  /** Takes a listing whose read began at `readAt`. */
  observe(listing: TableListing, readAt: ClockReading): void {
    this.storeClock = {readAt, storeTimeMs: listing.storeTimeMs};
    const own = this.observed.get(this.options.self.entryVm);
    const era = getEra(listing.revision);
    if (this.era === null) {
      this.firstEra = era;
      this.era = era;
    } else if (era > this.era) {
      this.remembered = this.getEntryVms();
      this.era = era;
      this.failedAt = null;
    }
    this.observed.clear();
    for (const [key, entry] of listing.entries) {
      if (key.startsWith(ENTRY_VM_PREFIX)) {
        this.observeEntry(entry);
      }
    }
    const {entryVm, incarnation} = this.options.self;
    if (own !== undefined && own.revision > listing.revision) {
      // Written after the listing was read.
      this.observed.set(entryVm, own);
    }
    const present = this.getEntryVm(entryVm);
    if (present !== null && present.incarnation !== incarnation) {
      this.hasSeenPredecessor = true;
    }
  }

  /**
   * Time for which what the same listing says of primaries may be relied on,
   * counted from the start of its read; 0 without the own record, or while the
   * store may lack records that others are about to write again.
   */
  getLeaseDurationMs(listing: TableListing): number {
    const {entryVm, incarnation} = this.options.self;
    // As listed: whoever changes a primary may not see a later renewal.
    const entry = listing.entries.get(getEntryVmKey(entryVm));
    const record =
      entry === undefined
        ? null
        : parseRecord(entryVmRecordSchema, entry.value);
    if (record?.incarnation !== incarnation || this.isLeaving) {
      return 0;
    }
    const remembersNothing = this.firstEra === getEra(listing.revision);
    if (remembersNothing && getEraAgeMs(listing) < RECORDS_REWRITTEN_MS) {
      return 0;
    }
    return Math.max(0, record.leaseEndStoreMs - listing.storeTimeMs);
  }

  /**
   * Writes the own record when it is missing or due, and those of the proxies
   * that follow this one with it; true when they were written.
   */
  async maintain(): Promise<boolean> {
    const {storeClock} = this;
    if (this.isWriting || this.isLeaving || storeClock === null) {
      return false;
    }
    if (!this.isDue(storeClock)) {
      return false;
    }
    this.isWriting = true;
    const leaseEndStoreMs =
      this.estimateStoreTimeMs(storeClock) + LEASE_DURATION_MS;
    const records = this.createRecords(leaseEndStoreMs);
    let isWritten = true;
    for (let start = 0; start < records.length; start += MAX_BATCH) {
      const batch = records.slice(start, start + MAX_BATCH);
      isWritten = (await this.write(batch)) && isWritten;
    }
    this.isWriting = false;
    return isWritten;
  }

  /** Removes the own record; the proxy relies on no primary from here on. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    const {entryVm} = this.options.self;
    const known = this.observed.get(entryVm);
    this.observed.delete(entryVm);
    if (known !== undefined) {
      await this.options.table.removeEntry(
        getEntryVmKey(entryVm),
        known.revision,
      );
    }
  }

  /** Removes the records of entry VMs whose lease ended long ago. */
  async removeGone(): Promise<void> {
    const {storeClock} = this;
    if (storeClock === null) {
      return;
    }
    const {self, table} = this.options;
    const goneBeforeMs = storeClock.storeTimeMs - GONE_AFTER_LEASE_MS;
    for (const {record, revision} of [...this.observed.values()]) {
      const isGone = record.leaseEndStoreMs < goneBeforeMs;
      if (isGone && record.entryVm !== self.entryVm) {
        await table.removeEntry(getEntryVmKey(record.entryVm), revision);
      }
    }
  }

  /** The own record and those of the followers, with a new end of their leases. */
  private createRecords(leaseEndStoreMs: number): readonly EntryVmRecord[] {
    const {self, contactWindowMs, getFollowers} = this.options;
    const records: EntryVmRecord[] = [
      {...self, leaseEndStoreMs, contactWindowMs},
    ];
    for (const [entryVm, incarnation] of getFollowers()) {
      const record = this.getEntryVm(entryVm);
      if (entryVm !== self.entryVm && record?.incarnation === incarnation) {
        records.push({...record, leaseEndStoreMs});
      }
    }
    return records;
  }

  private write(records: readonly EntryVmRecord[]): Promise<boolean> {
    const [first] = records;
    return records.length === 1 && first !== undefined
      ? this.writeAlone(first)
      : this.writeTogether(records);
  }

  private async writeAlone(record: EntryVmRecord): Promise<boolean> {
    const {table, clockWatch} = this.options;
    const result = await table.putEntry(this.createWrite(record));
    if (result.ok) {
      const {revision} = result.value;
      this.observed.set(record.entryVm, {record, revision});
      return true;
    }
    this.failedAt = clockWatch.read();
    if (result.error.kind === 'conflict' && result.error.current !== null) {
      this.observeEntry(result.error.current);
    }
    return false;
  }

  private async writeTogether(
    records: readonly EntryVmRecord[],
  ): Promise<boolean> {
    const {table, clockWatch, self} = this.options;
    const result = await table.putEntries(
      records.map(record => this.createWrite(record)),
    );
    if (result.ok) {
      for (const record of records) {
        const entry = result.value.get(getEntryVmKey(record.entryVm));
        if (entry !== undefined) {
          const {revision} = entry;
          this.observed.set(record.entryVm, {record, revision});
        }
      }
      return true;
    }
    let mayRepeatAtOnce = false;
    if (result.error.kind === 'conflicts') {
      const {current} = result.error;
      this.observeConflicts(current);
      // Only records of others have changed; the next try takes them as they are.
      mayRepeatAtOnce = !current.has(getEntryVmKey(self.entryVm));
    }
    if (!mayRepeatAtOnce) {
      this.failedAt = clockWatch.read();
    }
    return false;
  }

  private createWrite(record: EntryVmRecord): ConditionalWrite {
    return {
      key: getEntryVmKey(record.entryVm),
      value: JSON.stringify(record),
      expectedRevision: this.observed.get(record.entryVm)?.revision ?? 0,
    };
  }

  private observeConflicts(
    current: ReadonlyMap<string, TableEntry | null>,
  ): void {
    for (const [key, entry] of current) {
      if (entry === null) {
        this.observed.delete(key.slice(ENTRY_VM_PREFIX.length));
      } else {
        this.observeEntry(entry);
      }
    }
  }

  private isDue(storeClock: StoreClockReading): boolean {
    const {self, clockWatch, isFollowing} = this.options;
    if (this.failedAt !== null) {
      const sinceMs = clockWatch.getElapsedMs(this.failedAt);
      if (sinceMs !== null && sinceMs < RETRY_INTERVAL_MS) {
        return false;
      }
    }
    const own = this.getEntryVm(self.entryVm);
    if (own?.incarnation !== self.incarnation) {
      return true;
    }
    const intervalMs = isFollowing()
      ? FOLLOWER_RENEWAL_MS
      : RENEWAL_INTERVAL_MS;
    const leftMs = own.leaseEndStoreMs - this.estimateStoreTimeMs(storeClock);
    return leftMs <= LEASE_DURATION_MS - intervalMs;
  }

  /** The store's clock now; an estimate only moves how long a lease is asked for. */
  private estimateStoreTimeMs(storeClock: StoreClockReading): number {
    const elapsedMs = this.options.clockWatch.getElapsedMs(storeClock.readAt);
    return storeClock.storeTimeMs + (elapsedMs ?? 0);
  }

  private observeEntry(entry: TableEntry): void {
    const record = parseRecord(entryVmRecordSchema, entry.value);
    if (record !== null) {
      this.observed.set(record.entryVm, {record, revision: entry.revision});
    }
  }
}

function getEntryVmKey(entryVm: string): string {
  return `${ENTRY_VM_PREFIX}${entryVm}`;
}
