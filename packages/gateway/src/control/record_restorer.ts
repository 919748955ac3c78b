import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {ListableTable} from '@filbertrun/platform/platform_service.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import {getPrimaryRecordKey} from '../group/primary_record.js';
import type {LostRecord} from '../group/primary_record_cache.js';
import {runInBackground} from '../observability/background_task.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';

/** Dependencies of {@link RecordRestorer}. @public */
export interface RecordRestorerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: GatewayEventRecorder;
  readonly table: ListableTable;
  getGroups(): Iterable<GroupRuntime>;
  /** Whether this proxy writes without a delay, before the others. */
  isFailoverLeader(): boolean;
  /** Starts another read of the table. */
  readTable(): void;
}

/** Maximum random delay, which spreads the writes of the other proxies. */
const MAX_DELAY_MS = 250;

/** Minimum time between two writes of a record. */
const RETRY_INTERVAL_MS = 300;

/**
 * Rewrites primary records that the store lost when it was restored from a
 * backup. Any proxy may do so. It writes only records that the store had
 * acknowledged, conditional on the revision that the store has now. Of several
 * concurrent writes, the first one succeeds and the others get a conflict and
 * read the table again.
 *
 * @public
 */
export class RecordRestorer {
  /** Time of the next write, per database group. */
  private readonly dueAtMs = new Map<string, number>();

  private constructor(private readonly options: RecordRestorerOptions) {}

  static create(options: RecordRestorerOptions): RecordRestorer {
    return new RecordRestorer(options);
  }

  /** Rewrites lost records whose delay has passed. */
  maintain(): void {
    for (const group of this.options.getGroups()) {
      const {databaseGroup, lostRecord} = group;
      if (lostRecord === null) {
        this.dueAtMs.delete(databaseGroup);
      } else if (this.checkDue(databaseGroup)) {
        runInBackground(
          this.options.events,
          'restore of a primary record',
          this.rewrite(databaseGroup, lostRecord),
        );
      }
    }
  }

  /** Whether a write is due now; if so, schedules the earliest next one. */
  private checkDue(databaseGroup: string): boolean {
    const {clock, random, isFailoverLeader} = this.options;
    const nowMs = clock.nowMs();
    const delayMs = isFailoverLeader() ? 0 : random.nextFloat() * MAX_DELAY_MS;
    const dueAtMs = this.dueAtMs.get(databaseGroup) ?? nowMs + delayMs;
    const isDue = nowMs >= dueAtMs;
    this.dueAtMs.set(
      databaseGroup,
      isDue ? nowMs + RETRY_INTERVAL_MS : dueAtMs,
    );
    return isDue;
  }

  private async rewrite(
    databaseGroup: string,
    {record, expectedRevision}: LostRecord,
  ): Promise<void> {
    const {table, events, readTable} = this.options;
    const result = await table.putEntry({
      key: getPrimaryRecordKey(databaseGroup),
      value: JSON.stringify(record),
      expectedRevision,
    });
    events.record({
      kind: 'primaryRecordRewritten',
      databaseGroup,
      phase: record.phase,
      outcome: result.ok ? 'done' : result.error.kind,
    });
    readTable();
  }
}
