import type {Clock} from '@filbertrun/base/clock.js';
import type {Logger} from '@filbertrun/observability/logger.js';
import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import {EventBudget} from './event_budget.js';
import {
  classifyEvent,
  type EventClass,
  type GatewayEvent,
} from './gateway_event.js';
import type {GatewayEventRecorder} from './gateway_event_recorder.js';
import type {LineWriter} from './line_writer.js';
import {RecentEvents} from './recent_events.js';

/** Options of an event log. @public */
export interface EventLogOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly writer: LineWriter;
  readonly metrics: MetricsRegistry;
}

/** Minimum interval between two reports of dropped lines. */
const DROP_REPORT_INTERVAL_MS = 1_000;

/**
 * Counts every event and writes those within the line budget of their class.
 *
 * @public
 */
export class EventLog implements GatewayEventRecorder {
  private readonly budget: EventBudget;
  private readonly recentEvents = RecentEvents.create();
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
    this.options.metrics.increment(
      'filbertrun_events_total',
      'Events by kind.',
      {kind: event.kind},
    );
    this.recordMetrics(event);
    const eventClass = classifyEvent(event);
    if (!this.budget.tryConsume(eventClass)) {
      this.bufferOrDrop(event, eventClass);
      return;
    }
    this.reportDropped();
    if (eventClass === 'failure') {
      this.writeEventHistory(event);
    }
    this.write(event, eventClass);
  }

  /**
   * Buffers an event of a request that succeeds so far, in case the request
   * fails later; drops others.
   */
  private bufferOrDrop(event: GatewayEvent, eventClass: EventClass): void {
    const isSuccess = eventClass === 'success' || eventClass === 'write';
    if (isSuccess && 'requestId' in event) {
      this.recentEvents.add(event.requestId, event);
      return;
    }
    this.droppedCount++;
  }

  /** Writes the buffered events of a request that has failed. */
  private writeEventHistory(event: GatewayEvent): void {
    if (!('requestId' in event)) {
      return;
    }
    for (const earlier of this.recentEvents.take(event.requestId)) {
      this.write(earlier, 'success');
    }
  }

  private write(event: GatewayEvent, eventClass: EventClass): void {
    const {kind, ...fields} = event;
    if (eventClass === 'failure') {
      this.options.logger.warn(kind, fields);
    } else {
      this.options.logger.info(kind, fields);
    }
  }

  /** Updates the counters and histograms that are derived from events. */
  private recordMetrics(event: GatewayEvent): void {
    const {metrics} = this.options;
    switch (event.kind) {
      case 'statementAnswered':
        metrics.recordDurationMs(
          'filbertrun_statement_duration_seconds',
          'Time from the receipt of a statement to its reply.',
          event.durationMs,
          {consistency: event.consistency, outcome: event.outcome},
        );
        return;
      case 'statementRefused':
        metrics.increment(
          'filbertrun_statements_refused_total',
          'Statements refused without being run, by reason.',
          {
            consistency: event.consistency,
            reason: getReasonLabel(event.reason),
          },
        );
        metrics.recordDurationMs(
          'filbertrun_refusal_wait_seconds',
          'Time that refused statements waited before the refusal.',
          event.waitedMs,
        );
        return;
      case 'statementRetried':
        metrics.increment(
          'filbertrun_statement_retries_total',
          'Attempts that were followed by a retry.',
        );
        return;
      case 'changeCompleted':
        metrics.recordDurationMs(
          'filbertrun_primary_change_duration_seconds',
          'Time from the intent of a primary change to the record of the new primary.',
          event.durationMs,
        );
        return;
      default:
        return;
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
      'Log lines dropped by the rate limit or because of a slow reader.',
      {},
      count,
    );
    logger.warn('logLinesDropped', {count});
  }
}

/**
 * Keeps only the first two parts of a reason, which `: ` separates, to limit
 * the number of label values.
 */
function getReasonLabel(reason: string): string {
  const [kind = '', detail = ''] = reason.split(': ');
  return detail === '' ? kind : `${kind}: ${detail}`;
}
