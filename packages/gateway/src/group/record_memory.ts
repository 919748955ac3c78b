import {getEra} from '@filbertrun/platform/store_revision.js';
import {
  getRecordProgress,
  type PrimaryRecord,
  type RevisedPrimaryRecord,
} from './primary_record.js';

/** A record that the store has lost, and what it holds in its place. @public */
export interface LostRecord {
  readonly record: PrimaryRecord;
  /** Revision that the store's record must still have; 0 if it has none. */
  readonly expectedRevision: number;
}

/** A change of primary that this proxy was told of. @public */
export interface ToldChange {
  readonly changeId: string;
  readonly oldTerm: number;
}

/**
 * What a process remembers of the record of a primary beyond the store, which
 * may come back from a copy without the latest changes. What the store then
 * holds is older and must not be believed until the record is written again.
 *
 * @public
 */
export class RecordMemory {
  private newest: RevisedPrimaryRecord | null = null;
  private lost: LostRecord | null = null;

  private constructor() {}

  static create(): RecordMemory {
    return new RecordMemory();
  }

  /** The record to be written again; null while the store has lost none. */
  get lostRecord(): LostRecord | null {
    return this.lost;
  }

  /**
   * Compares a record that was read with the one remembered. False if the store
   * has lost a later one and this one must not be believed.
   */
  take(revised: RevisedPrimaryRecord): boolean {
    const {newest} = this;
    const isBehind =
      newest !== null &&
      getEra(revised.revision) > getEra(newest.revision) &&
      getRecordProgress(revised.record) < getRecordProgress(newest.record);
    if (isBehind) {
      const expectedRevision = revised.revision;
      this.lost = {record: newest.record, expectedRevision};
      return false;
    }
    if (newest === null || revised.revision >= newest.revision) {
      this.newest = revised;
      this.lost = null;
    }
    return true;
  }

  /** Takes a listing of a revision that holds no record of the group at all. */
  noteMissing(revision: number): void {
    const {newest} = this;
    if (newest !== null && getEra(revision) > getEra(newest.revision)) {
      this.lost = {record: newest.record, expectedRevision: 0};
    }
  }

  /**
   * Takes a change that was intended at `revision`. Its record may be lost
   * before this process has read it.
   */
  noteChange({changeId, oldTerm}: ToldChange, revision: number): void {
    const record = this.newest?.record;
    const isNews =
      record?.phase === 'stable' &&
      record.term === oldTerm &&
      revision > (this.newest?.revision ?? 0);
    if (isNews) {
      const {databaseGroup, primary: oldPrimary} = record;
      this.newest = {
        record: {
          phase: 'changing',
          databaseGroup,
          changeId,
          oldPrimary,
          oldTerm,
          target: null,
          lastOldPosition: null,
        },
        revision,
      };
    }
  }
}
