import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import type {
  ServiceLevelRecorder,
  StatementSample,
} from '@filbertrun/observability/service_level_recorder.js';

/** Kind of instance that answered a read. @public */
export type ReadTarget = 'replica' | 'primary';

/**
 * Records the metrics of the data path.
 *
 * @public
 */
export class ProxyMetrics {
  private constructor(
    private readonly registry: MetricsRegistry,
    private readonly serviceLevels: ServiceLevelRecorder,
  ) {}

  static create(
    registry: MetricsRegistry,
    serviceLevels: ServiceLevelRecorder,
  ): ProxyMetrics {
    return new ProxyMetrics(registry, serviceLevels);
  }

  countRead(target: ReadTarget): void {
    this.registry.increment(
      'filbertrun_reads_total',
      'Reads by the kind of instance that answered.',
      {target},
    );
  }

  /**
   * Counts a read that is run again on the primary because the response of the
   * replica did not cover the required position or was a withheld error.
   */
  countDiscardedRead(): void {
    this.registry.increment(
      'filbertrun_reads_discarded_total',
      'Replica responses discarded after the position check.',
    );
  }

  countWrite(): void {
    this.registry.increment(
      'filbertrun_writes_total',
      'Statements run on the primary as writes.',
    );
  }

  /** Counts an error that the proxy reported to a caller. */
  countError(sqlState: string): void {
    this.registry.increment(
      'filbertrun_errors_total',
      'Errors reported by the proxy, by SQLSTATE.',
      {sqlstate: sqlState},
    );
  }

  recordQueueTime(durationMs: number): void {
    this.registry.recordDurationMs(
      'filbertrun_queue_seconds',
      'Time that statements waited for a backend connection.',
      durationMs,
    );
  }

  /** Records a completed statement. */
  recordStatement(sample: StatementSample): void {
    this.registry.recordDurationMs(
      'filbertrun_statement_seconds',
      'Time from the arrival of a statement to the end of its response.',
      sample.durationMs,
    );
    this.serviceLevels.recordStatement(sample);
  }

  setCallerConnections(count: number): void {
    this.registry.setGauge(
      'filbertrun_caller_connections',
      'Open connections of callers.',
      count,
    );
  }

  setLoopDelay(delayMs: number): void {
    this.registry.setGauge(
      'filbertrun_loop_delay_p99_seconds',
      'Event loop delay of the last interval, 99th percentile.',
      delayMs / 1000,
    );
  }
}
