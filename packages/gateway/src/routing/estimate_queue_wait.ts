/** Estimates how long a new request waits for a lease of a pool. */

/** Inputs of {@link estimateQueueWaitMs}. @public */
export interface QueueWaitEstimateInputs {
  /** Leases that could be granted without waiting for a release. */
  readonly freeSlots: number;
  readonly queueLength: number;
  readonly concurrencyLimit: number;
  readonly maxConnections: number;
  /** Leases whose transactions wait for their callers. */
  readonly suspendedLeases: number;
  /** Mean time for which a statement occupies a lease; null while unknown. */
  readonly meanLatencyMs: number | null;
}

/** Latency assumed before the first response. */
const UNKNOWN_LATENCY_MS = 5;

/** Returns the expected wait; 0 if a slot is free. @public */
export function estimateQueueWaitMs(inputs: QueueWaitEstimateInputs): number {
  if (inputs.freeSlots > 0) {
    return 0;
  }
  // Suspended leases hold connections that serve no statement in the meantime.
  const servingLeases = Math.min(
    inputs.concurrencyLimit,
    inputs.maxConnections - inputs.suspendedLeases,
  );
  const latencyMs = inputs.meanLatencyMs ?? UNKNOWN_LATENCY_MS;
  return ((inputs.queueLength + 1) * latencyMs) / Math.max(1, servingLeases);
}
