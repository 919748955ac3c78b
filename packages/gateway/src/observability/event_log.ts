import type {Clock} from '@filbertrun/base/clock.js';
import type {Logger} from '@filbertrun/observability/logger.js';
import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import {EventBudget} from './event_budget.js';
import {classifyEvent, type GatewayEvent} from './gateway_event.js';
import type {GatewayEvents} from './gateway_events.js';
import type {LineWriter} from './line_writer.js';

/** What an event log is made of. @public */
export interface EventLogOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly writer: LineWriter;
  readonly metrics: MetricsRegistry;
}

/** Interval at which dropped lines are told. */
const DROP_REPORT_INTERVAL_MS = 1_000;

/**
 * Counts every event and writes those that the budget of their class allows.
 *
 * @public
 */
export class EventLog implements GatewayEvents {
  private readonly budget: EventBudget;
  private droppedCount = 0;
  private reportedAtMs: number;

  private constructor(private readonly options: EventLogOptions) {
    this.budget = EventBudget.create(options.clock);
    this.reportedAtMs = options.clock.nowMs();
  }

  static create(options: EventLogOptions): EventLog {
    return new EventLog(options);
  }

  record(event: GatewayEvent): void {
    const {metrics, logger} = this.options;
    metrics.increment('filbertrun_events_total', 'Events by kind.', {
      kind: event.kind,
    });
    const eventClass = classifyEvent(event);
    if (!this.budget.tryTake(eventClass)) {
      this.droppedCount++;
      return;
    }
    this.reportDropped();
    const {kind, ...fields} = event;
    if (eventClass === 'failure') {
      logger.warn(kind, fields);
    } else {
      logger.info(kind, fields);
    }
  }

  private reportDropped(): void {
    const {clock, logger, writer, metrics} = this.options;
    const nowMs = clock.nowMs();
    if (nowMs - this.reportedAtMs < DROP_REPORT_INTERVAL_MS) {
      return;
    }
    this.reportedAtMs = nowMs;
    const count = this.droppedCount + writer.takeDroppedCount();
    this.droppedCount = 0;
    if (count === 0) {
      return;
    }
    metrics.increment(
      'filbertrun_log_lines_dropped_total',
      'Log lines dropped by the budget or for a slow reader.',
      {},
      count,
    );
    logger.warn('logLinesDropped', {count});
  }
}
