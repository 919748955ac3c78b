import {getEra} from '@filbertrun/platform/store_revision.js';
import {
  getRecordProgress,
  type PrimaryRecord,
  type RevisedPrimaryRecord,
} from './primary_record.js';

/** Record that the store lost when it was restored from a backup. @public */
export interface LostRecord {
  readonly record: PrimaryRecord;
  /**
   * Revision of the store's older record, as the condition for writing the lost
   * one; 0 if the store holds none.
   */
  readonly expectedRevision: number;
}

/** Change of primary announced by another proxy. @public */
export interface AnnouncedChange {
  readonly changeId: string;
  readonly oldTerm: number;
}

/**
 * Caches the newest primary record of a group that this process has seen and
 * detects that the store has lost it. When the store is restored from a backup
 * without the latest changes, its record is older than the cached one and must
 * not be used until the cached record has been written again.
 *
 * @public
 */
export class PrimaryRecordCache {
  private newest: RevisedPrimaryRecord | null = null;
  private lost: LostRecord | null = null;

  private constructor() {}

  static create(): PrimaryRecordCache {
    return new PrimaryRecordCache();
  }

  /** The record to be written again; null if the store has lost none. */
  get lostRecord(): LostRecord | null {
    return this.lost;
  }

  /**
   * Compares a record that was read with the cached one. Returns false if
   * the store has lost a later record and this one must not be used.
   */
  apply(revised: RevisedPrimaryRecord): boolean {
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

  /** Handles a listing at `revision` that contains no record of the group. */
  markMissing(revision: number): void {
    const {newest} = this;
    if (newest !== null && getEra(revision) > getEra(newest.revision)) {
      this.lost = {record: newest.record, expectedRevision: 0};
    }
  }

  /**
   * Records a change of primary that was written at `revision`. The store may
   * lose its record before this process has read it.
   */
  recordAnnouncedChange(
    {changeId, oldTerm}: AnnouncedChange,
    revision: number,
  ): void {
    const record = this.newest?.record;
    const isNewChange =
      record?.phase === 'stable' &&
      record.term === oldTerm &&
      revision > (this.newest?.revision ?? 0);
    if (isNewChange) {
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
