import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import {supersedes, type MemberRecord, type MemberState} from './member.js';
import {computeHash} from './rendezvous.js';

/**
 * Table of the other proxies that one proxy knows.
 *
 * @public
 */

/** Entry of one member. @public */
export interface MemberEntry {
  readonly record: MemberRecord;
  /** When this proxy learned the current state. */
  readonly changedAtMs: number;
  /**
   * Last known contact with the member, by this proxy or by a voter in a
   * suspicion check; null if there was none.
   */
  readonly heardAtMs: number | null;
  /** When the last heartbeat of the member arrived; null if none did. */
  readonly heartbeatAtMs: number | null;
  /** Since when this proxy sends it heartbeats; null while it does not. */
  readonly neighbourSinceMs: number | null;
}

/** The other proxies by entry VM. @public */
export type MemberTable = ReadonlyMap<EntryVmId, MemberEntry>;

/** Maximum number of members in a table. */
export const MAX_MEMBERS = 2000;

/** Time after which a dead or left member is removed from the table. */
const MEMBER_RETENTION_MS = 600_000;

/** Whether a member is live or still drains. @public */
export function isPresent(state: MemberState): boolean {
  return state === 'live' || state === 'leaving';
}

/** Merges a record if it is newer; returns the same table otherwise. @public */
export function mergeRecord(
  table: MemberTable,
  record: MemberRecord,
  nowMs: number,
): MemberTable {
  const held = table.get(record.entryVm);
  if (held === undefined) {
    const isIgnored = !isPresent(record.state) || table.size >= MAX_MEMBERS;
    return isIgnored ? table : setEntry(table, createEntry(record, nowMs));
  }
  if (!supersedes(record, held.record)) {
    return table;
  }
  const isNewIncarnation = record.incarnation !== held.record.incarnation;
  const isSameState = record.state === held.record.state;
  return setEntry(table, {
    ...held,
    record,
    changedAtMs: isSameState ? held.changedAtMs : nowMs,
    neighbourSinceMs: isNewIncarnation ? null : held.neighbourSinceMs,
  });
}

/** Records a contact with a member unless a later one is known. @public */
export function recordContact(
  table: MemberTable,
  entryVm: EntryVmId,
  heardAtMs: number,
): MemberTable {
  const entry = table.get(entryVm);
  if (entry === undefined || (entry.heardAtMs ?? -Infinity) >= heardAtMs) {
    return table;
  }
  return setEntry(table, {...entry, heardAtMs});
}

/** Records that a heartbeat of a member arrived. @public */
export function recordHeartbeat(
  table: MemberTable,
  entryVm: EntryVmId,
  heartbeatAtMs: number,
): MemberTable {
  const entry = table.get(entryVm);
  return entry === undefined
    ? table
    : setEntry(table, {...entry, heartbeatAtMs});
}

/** Marks the members to which this proxy sends heartbeats. @public */
export function markNeighbours(
  table: MemberTable,
  neighbours: readonly EntryVmId[],
  nowMs: number,
): MemberTable {
  const next = new Map(table);
  for (const [entryVm, entry] of table) {
    const isNeighbour = neighbours.includes(entryVm);
    const neighbourSinceMs = isNeighbour
      ? (entry.neighbourSinceMs ?? nowMs)
      : null;
    next.set(entryVm, {...entry, neighbourSinceMs});
  }
  return next;
}

/** Removes dead and left members whose retention has expired. @public */
export function removeExpired(table: MemberTable, nowMs: number): MemberTable {
  const next = new Map(table);
  for (const [entryVm, {record, changedAtMs}] of table) {
    const isAbsent = !isPresent(record.state);
    if (isAbsent && nowMs - changedAtMs > MEMBER_RETENTION_MS) {
      next.delete(entryVm);
    }
  }
  return next.size === table.size ? table : next;
}

/** The records of the members that are present. @public */
export function getPresentRecords(table: MemberTable): readonly MemberRecord[] {
  const records: MemberRecord[] = [];
  for (const {record} of table.values()) {
    if (isPresent(record.state)) {
      records.push(record);
    }
  }
  return records;
}

/**
 * Hash of the present members, equal on proxies that agree on them. It omits
 * incarnations, because only neighbours need to know them.
 *
 * @public
 */
export function computeDigest(self: MemberRecord, table: MemberTable): number {
  let digest = hashRecord(self);
  for (const {record} of table.values()) {
    if (isPresent(record.state)) {
      digest ^= hashRecord(record);
    }
  }
  return digest >>> 0;
}

/** Cached hashes of records, which are immutable; every heartbeat needs all. */
const recordHashes = new WeakMap<MemberRecord, number>();

function hashRecord(record: MemberRecord): number {
  const known = recordHashes.get(record);
  if (known !== undefined) {
    return known;
  }
  const hash = computeHash(`${record.entryVm} ${record.state}`);
  recordHashes.set(record, hash);
  return hash;
}

function createEntry(record: MemberRecord, nowMs: number): MemberEntry {
  return {
    record,
    changedAtMs: nowMs,
    heardAtMs: null,
    heartbeatAtMs: null,
    neighbourSinceMs: null,
  };
}

function setEntry(table: MemberTable, entry: MemberEntry): MemberTable {
  const next = new Map(table);
  next.set(entry.record.entryVm, entry);
  return next;
}
