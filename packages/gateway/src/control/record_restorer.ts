import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {ListableTable} from '@filbertrun/platform/platform_service.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import {getPrimaryRecordKey} from '../group/primary_record.js';
import type {LostRecord} from '../group/record_memory.js';
import type {GatewayEvents} from '../observability/gateway_events.js';

/** What a restorer is made of. @public */
export interface RecordRestorerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: GatewayEvents;
  readonly table: ListableTable;
  getGroups(): Iterable<GroupRuntime>;
  /** Whether this proxy is the one that should write first. */
  isFirst(): boolean;
  /** Reads the table again. */
  readTable(): void;
}

/** Spread of the writes of proxies that remember the same record. */
const MAX_DELAY_MS = 250;

/** Least time between two writes of one record. */
const RETRY_INTERVAL_MS = 300;

/**
 * Writes the records of primaries again that the store has lost. Any proxy may
 * do so: each writes only what the store had acknowledged, over the very record
 * that the store holds now, so of several that write at once the first one
 * settles it and the others compare anew.
 *
 * @public
 */
export class RecordRestorer {
  /** Time of the next write, by database group. */
  private readonly dueAtMs = new Map<string, number>();

  private constructor(private readonly options: RecordRestorerOptions) {}

  static create(options: RecordRestorerOptions): RecordRestorer {
    return new RecordRestorer(options);
  }

  /** Writes what is lost and due. */
  maintain(): void {
    for (const group of this.options.getGroups()) {
      const {databaseGroup, lostRecord} = group;
      if (lostRecord === null) {
        this.dueAtMs.delete(databaseGroup);
      } else if (this.isDue(databaseGroup)) {
        void this.rewrite(databaseGroup, lostRecord);
      }
    }
  }

  private isDue(databaseGroup: string): boolean {
    const {clock, random, isFirst} = this.options;
    const nowMs = clock.nowMs();
    const delayMs = isFirst() ? 0 : random.nextFloat() * MAX_DELAY_MS;
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
