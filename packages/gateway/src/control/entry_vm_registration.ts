import type {
  ListableTable,
  TableEntry,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import type {ClockReading, ClockWatch} from '../group/clock_watch.js';
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
}

/** Interval at which an entry VM extends its leases. */
const RENEWAL_INTERVAL_MS = 5_000;

/** Least time between a failed write and the next one. */
const RETRY_INTERVAL_MS = 500;

/**
 * Time for which an entry VM may rely on what it has read. It outlasts the
 * usual outage of the store. A change of primary waits for it only where
 * proxies of several availability zones can't be asked to release.
 */
const LEASE_DURATION_MS = 12_000;

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
  private storeClock: StoreClockReading | null = null;
  private renewedAt: ClockReading | null = null;
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

  getEntryVm(entryVm: string): EntryVmRecord | null {
    return this.observed.get(entryVm)?.record ?? null;
  }

  /** Takes a listing whose read began at `readAt`. */
  observe(listing: TableListing, readAt: ClockReading): void {
    this.storeClock = {readAt, storeTimeMs: listing.storeTimeMs};
    this.observed.clear();
    for (const [key, entry] of listing.entries) {
      if (key.startsWith(ENTRY_VM_PREFIX)) {
        this.observeEntry(entry);
      }
    }
    const {entryVm, incarnation} = this.options.self;
    const own = this.getEntryVm(entryVm);
    if (own !== null && own.incarnation !== incarnation) {
      this.hasSeenPredecessor = true;
    }
  }

  /**
   * Time for which what the same listing says of primaries may be relied on,
   * counted from the start of its read; 0 without the own record.
   */
  getLeaseDurationMs(listing: TableListing): number {
    const {entryVm, incarnation} = this.options.self;
    const record = this.getEntryVm(entryVm);
    if (record?.incarnation !== incarnation || this.isLeaving) {
      return 0;
    }
    return Math.max(0, record.leaseEndStoreMs - listing.storeTimeMs);
  }

  /** Writes the own record when it is missing or due; true when it was written. */
  async maintain(): Promise<boolean> {
    const {storeClock} = this;
    if (this.isWriting || this.isLeaving || !this.isDue()) {
      return false;
    }
    if (storeClock === null) {
      return false;
    }
    this.isWriting = true;
    const {self, table, clockWatch} = this.options;
    const startedAt = clockWatch.read();
    const known = this.observed.get(self.entryVm) ?? null;
    const record: EntryVmRecord = {
      ...self,
      leaseEndStoreMs: this.estimateStoreTimeMs(storeClock) + LEASE_DURATION_MS,
      contactWindowMs: this.options.contactWindowMs,
    };
    const result = await table.putEntry({
      key: getEntryVmKey(self.entryVm),
      value: JSON.stringify(record),
      expectedRevision: known?.revision ?? 0,
    });
    this.isWriting = false;
    if (result.ok) {
      this.renewedAt = startedAt;
      this.observed.set(self.entryVm, {
        record,
        revision: result.value.revision,
      });
      return true;
    }
    this.failedAt = clockWatch.read();
    if (result.error.kind === 'conflict' && result.error.current !== null) {
      this.observeEntry(result.error.current);
    }
    return false;
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

  private isDue(): boolean {
    const {self, clockWatch} = this.options;
    if (this.failedAt !== null) {
      const sinceMs = clockWatch.getElapsedMs(this.failedAt);
      if (sinceMs !== null && sinceMs < RETRY_INTERVAL_MS) {
        return false;
      }
    }
    const own = this.getEntryVm(self.entryVm);
    if (own?.incarnation !== self.incarnation || this.renewedAt === null) {
      return true;
    }
    const elapsedMs = clockWatch.getElapsedMs(this.renewedAt);
    return elapsedMs === null || elapsedMs >= RENEWAL_INTERVAL_MS;
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
