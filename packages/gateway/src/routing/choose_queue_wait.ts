/**
 * Decides how long a statement may wait for a connection. When the replicas
 * lag, the primary receives all reads of its group, which may be more than it
 * can run. A statement that waits longer than its latency objective allows only
 * delays the statements queued behind it.
 */

/** Inputs of {@link chooseQueueWaitMs}. @public */
export interface QueueWaitInputs {
  /** Latency objective of the whole operation. */
  readonly targetLatencyMs: number;
  /** Time left until the deadline of the statement. */
  readonly availableMs: number;
}

/** Fraction of the latency objective that may be spent waiting. */
const WAITING_FRACTION = 0.6;

/** Minimum wait, long enough to open a connection. */
const MIN_WAIT_MS = 60;

/** Returns the longest wait for a connection. @public */
export function chooseQueueWaitMs(inputs: QueueWaitInputs): number {
  const wantedMs = Math.max(
    MIN_WAIT_MS,
    inputs.targetLatencyMs * WAITING_FRACTION,
  );
  return Math.max(0, Math.min(inputs.availableMs, wantedMs));
}
