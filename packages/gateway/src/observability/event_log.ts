import type {Clock} from '@filbertrun/base/clock.js';
import type {Logger} from '@filbertrun/observability/logger.js';
import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import {EventBudget} from './event_budget.js';
import {
  classifyEvent,
  type EventClass,
  type GatewayEvent,
} from './gateway_event.js';
import type {GatewayEvents} from './gateway_events.js';
import type {LineWriter} from './line_writer.js';
import {RecentEvents} from './recent_events.js';

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
  private readonly recent = RecentEvents.create();
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
    this.measure(event);
    const eventClass = classifyEvent(event);
    if (!this.budget.tryTake(eventClass)) {
      this.keepOrDrop(event, eventClass);
      return;
    }
    this.reportDropped();
    if (eventClass === 'failure') {
      this.writeStory(event);
    }
    this.write(event, eventClass);
  }

  /** Keeps an unwritten success for the case that its request still fails. */
  private keepOrDrop(event: GatewayEvent, eventClass: EventClass): void {
    if (eventClass === 'success' && 'requestId' in event) {
      this.recent.keep(event.requestId, event);
      return;
    }
    this.droppedCount++;
  }

  /** Writes what was kept of a request that has failed now. */
  private writeStory(event: GatewayEvent): void {
    if (!('requestId' in event)) {
      return;
    }
    for (const earlier of this.recent.take(event.requestId)) {
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

  /** Counters and histograms that follow from events. */
  private measure(event: GatewayEvent): void {
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
          'Statements refused as not run, by reason.',
          {consistency: event.consistency, reason: shortenReason(event.reason)},
        );
        metrics.recordDurationMs(
          'filbertrun_refusal_wait_seconds',
          'Time that refused statements had waited.',
          event.waitedMs,
        );
        return;
      case 'statementRetried':
        metrics.increment(
          'filbertrun_statement_retries_total',
          'Attempts that were followed by another one.',
        );
        return;
      case 'changeCompleted':
        metrics.recordDurationMs(
          'filbertrun_primary_change_duration_seconds',
          'Time from the intent of a change to the record of the new primary.',
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
      'Log lines dropped by the budget or for a slow reader.',
      {},
      count,
    );
    logger.warn('logLinesDropped', {count});
  }
}

/** The part of a reason before its details, so that labels stay few. */
function shortenReason(reason: string): string {
  const [kind = '', detail = ''] = reason.split(': ');
  return detail === '' ? kind : `${kind}: ${detail}`;
}
