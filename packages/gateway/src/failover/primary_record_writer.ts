import type {Clock} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {PlatformTable} from '@filbertrun/platform/platform_service.js';
import {getEra} from '@filbertrun/platform/store_revision.js';
import {
  getPrimaryRecordKey,
  type PrimaryRecord,
  type RevisedPrimaryRecord,
} from '../group/primary_record.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';

/** Dependencies of the writer. @public */
export interface PrimaryRecordWriterOptions {
  readonly clock: Clock;
  readonly table: PlatformTable;
  readonly events: GatewayEventRecorder;
  /** Whether this proxy may act as failover leader now. */
  mayAct(): boolean;
  /** Newest era of the store that this process has observed. */
  getStoreEra(): number;
  /** Called with each record that was written. */
  handleRecord(record: RevisedPrimaryRecord): void;
}

/**
 * Attempts to write a record, or to read the table, before a change of primary
 * gives up.
 *
 * @public
 */
export const MAX_TABLE_ATTEMPTS = 8;

/** Delay between two attempts. @public */
export const TABLE_RETRY_MS = 150;

/**
 * Writes the successive primary records of one change, each on the condition
 * that the store still holds the previous one.
 *
 * @public
 */
export class PrimaryRecordWriter {
  private constructor(
    private readonly options: PrimaryRecordWriterOptions,
    private latest: RevisedPrimaryRecord,
  ) {}

  /** Creates a writer that continues from a record. */
  static create(
    options: PrimaryRecordWriterOptions,
    current: RevisedPrimaryRecord,
  ): PrimaryRecordWriter {
    return new PrimaryRecordWriter(options, current);
  }

  /** The record that was written last, or the one to continue from. */
  get current(): RevisedPrimaryRecord {
    return this.latest;
  }

  /**
   * Writes the record. After an unknown outcome it is written again; a conflict
   * with the same value means that the earlier write succeeded. False if the
   * record could not be written or another one stands in the store.
   */
  async write(record: PrimaryRecord): Promise<boolean> {
    const key = getPrimaryRecordKey(record.databaseGroup);
    const value = JSON.stringify(record);
    for (let attempt = 0; attempt < MAX_TABLE_ATTEMPTS; attempt++) {
      if (!this.options.mayAct() || this.isOutdated) {
        return false;
      }
      const result = await this.options.table.putEntry({
        key,
        value,
        expectedRevision: this.latest.revision,
      });
      if (result.ok) {
        this.apply({record, revision: result.value.revision});
        return true;
      }
      if (result.error.kind === 'conflict') {
        const {current} = result.error;
        if (current?.value !== value) {
          this.options.events.record({kind: 'storeConflict', key});
          return false;
        }
        this.apply({record, revision: current.revision});
        return true;
      }
      await sleep(this.options.clock, TABLE_RETRY_MS);
    }
    return false;
  }

  /** Whether the store was restored from a backup after the record was read. */
  private get isOutdated(): boolean {
    return getEra(this.latest.revision) < this.options.getStoreEra();
  }

  private apply(revised: RevisedPrimaryRecord): void {
    this.latest = revised;
    this.options.handleRecord(revised);
  }
}
