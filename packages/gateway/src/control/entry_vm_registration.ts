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

/** What a registration is made of. @public */
export interface EntryVmRegistrationOptions {
  readonly self: Omit<EntryVmRecord, 'renewalCount'>;
  readonly table: ListableTable;
  readonly clockWatch: ClockWatch;
}

/** Interval at which an entry VM shows that it still exists; its leases rest on it. */
const RENEWAL_INTERVAL_MS = 2_000;

/** Time without a renewal after which an entry VM is held for gone. */
export const ENTRY_VM_GONE_MS = 35_000;

/** A registration with the moment at which its revision was first seen. @public */
export interface ObservedEntryVm {
  readonly record: EntryVmRecord;
  readonly revision: number;
  readonly unchangedSince: ClockReading;
}

/**
 * This proxy's record in the control table and the records of the others. A
 * proxy relies on a primary only while its own record stands, so whoever
 * changes a primary knows whom to ask.
 *
 * @public
 */
export class EntryVmRegistration {
  private readonly observed = new Map<string, ObservedEntryVm>();
  private renewedAt: ClockReading | null = null;
  private isWriting = false;
  private isLeaving = false;

  private constructor(private readonly options: EntryVmRegistrationOptions) {}

  static create(options: EntryVmRegistrationOptions): EntryVmRegistration {
    return new EntryVmRegistration(options);
  }

  /** Whether this incarnation's own record stands. */
  get isRegistered(): boolean {
    const {entryVm, incarnation} = this.options.self;
    return this.observed.get(entryVm)?.record.incarnation === incarnation;
  }

  /** When the renewal of the own record that stands was begun; null without one. */
  get renewalStartedAt(): ClockReading | null {
    return this.isRegistered ? this.renewedAt : null;
  }

  /** Registrations with the moments at which they were first seen. */
  getObserved(): readonly ObservedEntryVm[] {
    return [...this.observed.values()];
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

  observe(listing: TableListing): void {
    const present = new Set<string>();
    for (const [key, entry] of listing.entries) {
      if (key.startsWith(ENTRY_VM_PREFIX)) {
        this.observeEntry(entry, present);
      }
    }
    for (const entryVm of [...this.observed.keys()]) {
      if (!present.has(entryVm)) {
        this.observed.delete(entryVm);
      }
    }
  }

  /** Writes the own record when it is missing or due; true when it was written. */
  async maintain(): Promise<boolean> {
    if (this.isWriting || this.isLeaving || !this.isDue()) {
      return false;
    }
    this.isWriting = true;
    const {self, table, clockWatch} = this.options;
    const known = this.observed.get(self.entryVm) ?? null;
    const renewalCount = (known?.record.renewalCount ?? 0) + 1;
    const record: EntryVmRecord = {...self, renewalCount};
    const startedAt = clockWatch.read();
    const result = await table.putEntry({
      key: getEntryVmKey(self.entryVm),
      value: JSON.stringify(record),
      expectedRevision: known?.revision ?? 0,
    });
    this.isWriting = false;
    if (result.ok) {
      this.renewedAt = startedAt;
      return true;
    }
    if (result.error.kind === 'conflict' && result.error.current !== null) {
      this.observeEntry(result.error.current, new Set());
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

  /** Removes the records of entry VMs that have not renewed for long. */
  async removeGone(): Promise<void> {
    const {self, clockWatch, table} = this.options;
    for (const {record, revision, unchangedSince} of [
      ...this.observed.values(),
    ]) {
      const elapsedMs = clockWatch.getElapsedMs(unchangedSince);
      const isGone = elapsedMs !== null && elapsedMs >= ENTRY_VM_GONE_MS;
      if (isGone && record.entryVm !== self.entryVm) {
        await table.removeEntry(getEntryVmKey(record.entryVm), revision);
      }
    }
  }

  private isDue(): boolean {
    if (!this.isRegistered || this.renewedAt === null) {
      return true;
    }
    const elapsedMs = this.options.clockWatch.getElapsedMs(this.renewedAt);
    return elapsedMs === null || elapsedMs >= RENEWAL_INTERVAL_MS;
  }

  private observeEntry(entry: TableEntry, present: Set<string>): void {
    const record = parseRecord(entryVmRecordSchema, entry.value);
    if (record === null) {
      return;
    }
    present.add(record.entryVm);
    const known = this.observed.get(record.entryVm);
    if (known === undefined || known.revision < entry.revision) {
      this.observed.set(record.entryVm, {
        record,
        revision: entry.revision,
        unchangedSince: this.options.clockWatch.read(),
      });
    }
  }
}

function getEntryVmKey(entryVm: string): string {
  return `${ENTRY_VM_PREFIX}${entryVm}`;
}
