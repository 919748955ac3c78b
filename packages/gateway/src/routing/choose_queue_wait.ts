/**
 * Decides how long a statement may wait for a connection. The load that it
 * answers: replicas lag, so one primary gets the reads of its whole group, more
 * than it can run. Statements that wait longer than their objective allows
 * only make the ones behind them late as well.
 */

/** What the decision depends on. @public */
export interface QueueWaitInputs {
  /** Objective for the whole operation. */
  readonly targetLatencyMs: number;
  /** Time until the statement is given up. */
  readonly availableMs: number;
}

/** Part of the objective that may pass before the statement is sent. */
const WAITING_PART = 0.6;

/** Wait that is allowed in any case, so that a connection can be opened. */
const MIN_WAIT_MS = 60;

/** The longest wait for a connection. @public */
export function chooseQueueWaitMs(inputs: QueueWaitInputs): number {
  const wantedMs = Math.max(MIN_WAIT_MS, inputs.targetLatencyMs * WAITING_PART);
  return Math.max(0, Math.min(inputs.availableMs, wantedMs));
}
