import type {
  ConditionalWrite,
  ListableTable,
  TableEntry,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import {getEra} from '@filbertrun/platform/store_revision.js';
import type {
  ClockReading,
  ClockJumpDetector,
} from '../group/clock_jump_detector.js';
import type {RegistrationView} from './registration_view.js';
import {getEraAgeMs} from './era_age.js';
import {
  ENTRY_VM_PREFIX,
  entryVmRecordSchema,
  parseRecord,
  type EntryVmRecord,
} from './control_record.js';

/** Identity of an entry VM and its process. @public */
export type EntryVmIdentity = Omit<
  EntryVmRecord,
  'leaseEndStoreMs' | 'contactWindowMs' | 'registeredSinceStoreMs'
>;

/** Options of {@link EntryVmRegistration}. @public */
export interface EntryVmRegistrationOptions {
  readonly self: EntryVmIdentity;
  readonly table: ListableTable;
  readonly clockJumpDetector: ClockJumpDetector;
  /**
   * Whether the whole deployment starts for the first time. No earlier process
   * can then rely on registrations that lack this one.
   */
  readonly isFirstStart: boolean;
  /** Contact window that is published in the record. */
  readonly contactWindowMs: number;
  /**
   * Incarnations of the followers by entry VM. While this proxy is the zone
   * reader, it reads the store for them and renews their leases.
   */
  getFollowers(): ReadonlyMap<string, string>;
  /** Whether another proxy, the zone reader, renews the lease of this one. */
  isFollowing(): boolean;
}

/** Interval at which an entry VM renews its lease. */
const RENEWAL_INTERVAL_MS = 5_000;

/** Time after which a follower renews its lease if the zone reader did not. */
const FOLLOWER_RENEWAL_MS = 7_000;

/**
 * Time after a restore of the store in which proxies rewrite the records that
 * the backup lacks. A process that started after the restore uses no primary
 * record until this time has passed.
 */
const RECORD_REWRITE_MS = 1_500;

/** Maximum number of records in one write. */
const MAX_BATCH = 100;

/** Minimum time between a failed write and the next one. */
const RETRY_INTERVAL_MS = 500;

/**
 * Duration of the lease under which an entry VM uses the records that it has
 * read. It exceeds the usual length of a store outage. A primary change waits
 * for the lease to expire only if proxies of several availability zones cannot
 * be asked to release the primary, because these may still renew each other's
 * contact, or if all proxies are in one zone. Otherwise, it waits only for the
 * contact window.
 *
 * @public
 */
export const LEASE_DURATION_MS = 12_000;

/**
 * Time after the end of its lease for which a registration that is renewed
 * counts as uninterrupted.
 *
 * @public
 */
export const REGISTRATION_GAP_MS = 12_000;

/**
 * How long before its first registration an entry VM counts as registered when
 * the whole deployment starts for the first time. No process has older
 * registrations in view then, so it is enough that each one reads the store again.
 */
const FIRST_START_LEAD_MS = 12_000;

/** Time after the end of its lease at which an entry VM's record is removed. */
const REMOVAL_DELAY_MS = 30_000;

interface ObservedEntryVm {
  readonly record: EntryVmRecord;
  readonly revision: number;
}

/**
 * The store's time in a listing and the local time at the start of its read.
 */
interface StoreClockReading {
  readonly readAt: ClockReading;
  readonly storeTimeMs: number;
}

/**
 * Maintains this proxy's record in the control table and tracks the records of
 * the other proxies. A proxy uses a primary only until the lease end in its
 * record. The failover leader therefore knows which proxies it has to ask for a
 * release before it replaces a primary, and how long it has to wait for them.
 *
 * @public
 */
export class EntryVmRegistration {
  private readonly observed = new Map<string, ObservedEntryVm>();
  /** Records from before the last restore of the store. */
  private entryVmsBeforeRestore: readonly EntryVmRecord[] = [];
  /** Era of the newest listing; null before the first one. */
  private era: number | null = null;
  /**
   * Era of the first listing. If it is still current, this process has seen no
   * records from before the last restore.
   */
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

  /**
   * Whether a previous process of this entry VM ended without deregistering.
   */
  get hasPredecessor(): boolean {
    return this.hasSeenPredecessor;
  }

  /**
   * Returns the registrations as of the newest listing; null before the first
   * one and after a suspension of the machine, until the next one.
   */
  getView(): RegistrationView | null {
    const {storeClock} = this;
    if (storeClock === null) {
      return null;
    }
    const ageMs = this.options.clockJumpDetector.getElapsedMs(
      storeClock.readAt,
    );
    return ageMs === null
      ? null
      : {
          entryVms: this.getEntryVms(),
          storeNowMs: storeClock.storeTimeMs + ageMs,
          ageMs,
        };
  }

  /** Returns the registered entry VMs, including this one. */
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
   * Returns the proxies that were registered before the last restore of the
   * store, even if the backup lacks their records.
   */
  getEntryVmsBeforeRestore(): readonly EntryVmRecord[] {
    return this.entryVmsBeforeRestore;
  }

  getEntryVm(entryVm: string): EntryVmRecord | null {
    return this.observed.get(entryVm)?.record ?? null;
  }

  /** Applies a listing; `readAt` is the start of its read. */
  applyListing(listing: TableListing, readAt: ClockReading): void {
    this.storeClock = {readAt, storeTimeMs: listing.storeTimeMs};
    const previousEntry = this.observed.get(this.options.self.entryVm);
    const era = getEra(listing.revision);
    if (this.era === null) {
      this.firstEra = era;
      this.era = era;
    } else if (era > this.era) {
      this.entryVmsBeforeRestore = this.getEntryVms();
      this.era = era;
      this.failedAt = null;
    }
    const previous = new Map(this.observed);
    this.observed.clear();
    for (const [key, entry] of listing.entries) {
      if (!key.startsWith(ENTRY_VM_PREFIX)) {
        continue;
      }
      // Most records are unchanged, and each proxy gets those of all others.
      const known = previous.get(key.slice(ENTRY_VM_PREFIX.length));
      if (known?.revision === entry.revision) {
        this.observed.set(known.record.entryVm, known);
      } else {
        this.observeEntry(entry);
      }
    }
    const {entryVm, incarnation} = this.options.self;
    if (
      previousEntry !== undefined &&
      previousEntry.revision > listing.revision
    ) {
      // This proxy's record was written after the listing was read.
      this.observed.set(entryVm, previousEntry);
    }
    const currentRecord = this.getEntryVm(entryVm);
    if (currentRecord !== null && currentRecord.incarnation !== incarnation) {
      this.hasSeenPredecessor = true;
    }
  }

  /**
   * Returns the time from the start of the read for which the primary records
   * in the same listing may be used. It is 0 if the listing lacks this proxy's
   * record, or while the store may lack records that other proxies will rewrite
   * after a restore.
   */
  getLeaseDurationMs(listing: TableListing): number {
    const {entryVm, incarnation} = this.options.self;
    // Uses the listed record, since the failover leader may not see a later
    // renewal.
    const entry = listing.entries.get(getEntryVmKey(entryVm));
    const record =
      entry === undefined
        ? null
        : parseRecord(entryVmRecordSchema, entry.value);
    if (record?.incarnation !== incarnation || this.isLeaving) {
      return 0;
    }
    const hasStartedSinceRestore = this.firstEra === getEra(listing.revision);
    if (hasStartedSinceRestore && getEraAgeMs(listing) < RECORD_REWRITE_MS) {
      return 0;
    }
    return Math.max(0, record.leaseEndStoreMs - listing.storeTimeMs);
  }

  /**
   * Writes this proxy's record if it is missing or due for renewal, together
   * with the records of its followers. Returns true if all of them were
   * written.
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
    try {
      return await this.writeRecords(storeClock);
    } finally {
      this.isWriting = false;
    }
  }

  /** Writes all records in batches; true if all of them were written. */
  private async writeRecords(storeClock: StoreClockReading): Promise<boolean> {
    const storeNowMs = this.estimateStoreTimeMs(storeClock);
    const records = this.createRecords(storeNowMs);
    let isWritten = true;
    for (let start = 0; start < records.length; start += MAX_BATCH) {
      const batch = records.slice(start, start + MAX_BATCH);
      isWritten = (await this.write(batch)) && isWritten;
    }
    return isWritten;
  }

  /** Deregisters this proxy, which uses no primary from then on. */
  async deregister(): Promise<void> {
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

  /** Removes the records of entry VMs whose leases expired long ago. */
  async removeExpired(): Promise<void> {
    const {storeClock} = this;
    if (storeClock === null) {
      return;
    }
    const {self, table} = this.options;
    const removeBeforeMs = storeClock.storeTimeMs - REMOVAL_DELAY_MS;
    for (const {record, revision} of [...this.observed.values()]) {
      const isExpired = record.leaseEndStoreMs < removeBeforeMs;
      if (isExpired && record.entryVm !== self.entryVm) {
        await table.removeEntry(getEntryVmKey(record.entryVm), revision);
      }
    }
  }

  /**
   * Returns this proxy's record and those of its followers with the new lease
   * end.
   */
  private createRecords(storeNowMs: number): readonly EntryVmRecord[] {
    const {self, contactWindowMs, getFollowers} = this.options;
    const leaseEndStoreMs = storeNowMs + LEASE_DURATION_MS;
    const records: EntryVmRecord[] = [
      {
        ...self,
        leaseEndStoreMs,
        contactWindowMs,
        registeredSinceStoreMs: this.computeRegisteredSinceMs(storeNowMs),
      },
    ];
    for (const [entryVm, incarnation] of getFollowers()) {
      const record = this.getEntryVm(entryVm);
      if (entryVm !== self.entryVm && record?.incarnation === incarnation) {
        const registeredSinceStoreMs = continueRegistration(record, storeNowMs);
        records.push({...record, leaseEndStoreMs, registeredSinceStoreMs});
      }
    }
    return records;
  }

  /** A restarted process continues the registration of the previous one. */
  private computeRegisteredSinceMs(storeNowMs: number): number {
    const known = this.getEntryVm(this.options.self.entryVm);
    if (known !== null) {
      return continueRegistration(known, storeNowMs);
    }
    return this.options.isFirstStart
      ? storeNowMs - FIRST_START_LEAD_MS
      : storeNowMs;
  }

  private write(records: readonly EntryVmRecord[]): Promise<boolean> {
    const [first] = records;
    return records.length === 1 && first !== undefined
      ? this.writeOne(first)
      : this.writeBatch(records);
  }

  private async writeOne(record: EntryVmRecord): Promise<boolean> {
    const {table, clockJumpDetector} = this.options;
    const result = await table.putEntry(this.createWrite(record));
    if (result.ok) {
      const {revision} = result.value;
      this.observed.set(record.entryVm, {record, revision});
      return true;
    }
    this.failedAt = clockJumpDetector.read();
    if (result.error.kind === 'conflict' && result.error.current !== null) {
      this.observeEntry(result.error.current);
    }
    return false;
  }

  private async writeBatch(
    records: readonly EntryVmRecord[],
  ): Promise<boolean> {
    const {table, clockJumpDetector, self} = this.options;
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
    let mayRetryAtOnce = false;
    if (result.error.kind === 'conflicts') {
      const {current} = result.error;
      this.observeConflicts(current);
      // Only records of other proxies have changed. They were just observed, so
      // the write can be retried without a delay.
      mayRetryAtOnce = !current.has(getEntryVmKey(self.entryVm));
    }
    if (!mayRetryAtOnce) {
      this.failedAt = clockJumpDetector.read();
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
    const {self, clockJumpDetector, isFollowing} = this.options;
    if (this.failedAt !== null) {
      const sinceMs = clockJumpDetector.getElapsedMs(this.failedAt);
      if (sinceMs !== null && sinceMs < RETRY_INTERVAL_MS) {
        return false;
      }
    }
    const currentRecord = this.getEntryVm(self.entryVm);
    if (currentRecord?.incarnation !== self.incarnation) {
      return true;
    }
    const intervalMs = isFollowing()
      ? FOLLOWER_RENEWAL_MS
      : RENEWAL_INTERVAL_MS;
    const leftMs =
      currentRecord.leaseEndStoreMs - this.estimateStoreTimeMs(storeClock);
    return leftMs <= LEASE_DURATION_MS - intervalMs;
  }

  /**
   * Estimates the store's current time. An error only changes the length of the
   * requested lease.
   */
  private estimateStoreTimeMs(storeClock: StoreClockReading): number {
    const elapsedMs = this.options.clockJumpDetector.getElapsedMs(
      storeClock.readAt,
    );
    return storeClock.storeTimeMs + (elapsedMs ?? 0);
  }

  private observeEntry(entry: TableEntry): void {
    const record = parseRecord(entryVmRecordSchema, entry.value);
    if (record !== null) {
      this.observed.set(record.entryVm, {record, revision: entry.revision});
    }
  }
}

/**
 * Returns since when an entry VM is registered if its record is renewed now. The
 * registration starts anew if other proxies may have regarded it as expired.
 */
function continueRegistration(
  {registeredSinceStoreMs, leaseEndStoreMs}: EntryVmRecord,
  storeNowMs: number,
): number {
  return registeredSinceStoreMs === null ||
    storeNowMs > leaseEndStoreMs + REGISTRATION_GAP_MS
    ? storeNowMs
    : registeredSinceStoreMs;
}

function getEntryVmKey(entryVm: string): string {
  return `${ENTRY_VM_PREFIX}${entryVm}`;
}
