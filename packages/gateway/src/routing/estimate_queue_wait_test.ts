import {describe, expect, it} from 'vitest';
import {
  estimateQueueWaitMs,
  type QueueWaitEstimateInputs,
} from './estimate_queue_wait.js';

const BUSY: QueueWaitEstimateInputs = {
  freeSlots: 0,
  queueLength: 9,
  concurrencyLimit: 5,
  maxConnections: 10,
  suspendedLeases: 0,
  meanLatencyMs: 20,
};

describe('estimateQueueWaitMs', () => {
  it('is 0 while a slot is free', () => {
    expect(estimateQueueWaitMs({...BUSY, freeSlots: 1})).toBe(0);
  });

  it('grows with the queue and shrinks with the concurrency limit', () => {
    expect(estimateQueueWaitMs(BUSY)).toBe(40);
    expect(estimateQueueWaitMs({...BUSY, queueLength: 19})).toBe(80);
    expect(estimateQueueWaitMs({...BUSY, concurrencyLimit: 10})).toBe(20);
  });

  // Guards against reads sent to a server whose connections are all held by
  // transactions that wait for their callers.
  it('does not count connections of suspended leases as serving', () => {
    expect(estimateQueueWaitMs({...BUSY, suspendedLeases: 8})).toBe(100);
    expect(estimateQueueWaitMs({...BUSY, suspendedLeases: 10})).toBe(200);
  });

  it('is finite before the first response and at a limit of 0', () => {
    expect(
      estimateQueueWaitMs({...BUSY, meanLatencyMs: null, concurrencyLimit: 0}),
    ).toBe(50);
  });
});
