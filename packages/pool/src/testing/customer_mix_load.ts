import type {ReplayKind, ReplayLoad} from './load_replay.js';

/**
 * Load of many customers and three kinds of operation (docs/HARD_LOAD.md), scaled
 * to one instance: its mix of kinds keeps about 3.2 of 6 slots busy.
 */

/** Part of the total rates that one instance gets. */
const RATE_SHARE = 0.19;

/** Number of customers and the exponent of their sizes: the first has 12%. */
const CUSTOMER_COUNT = 88;
const SIZE_EXPONENT = 0.8;

/** Slots of the instance. @internal */
export const CUSTOMER_MIX_SLOTS = 6;

const KINDS: readonly ReplayKind[] = [
  {
    name: 'checkout',
    priority: 'booking',
    ratePerS: 88.2 * RATE_SHARE,
    workMs: 8,
    transactionShare: 0.4,
    replaceableShare: 0,
    objectiveMs: 252,
    deadlineMs: 3_026,
    valueOnTime: 3.5,
    valueLate: 0.71,
  },
  {
    name: 'consign',
    priority: 'normal',
    ratePerS: 413 * RATE_SHARE,
    workMs: 24,
    transactionShare: 0.12,
    replaceableShare: 0.8,
    objectiveMs: 502,
    deadlineMs: 3_013,
    valueOnTime: 1.9,
    valueLate: 0.47,
  },
  {
    name: 'browse',
    priority: 'lookup',
    ratePerS: 154 * RATE_SHARE,
    workMs: 40,
    transactionShare: 0.1,
    replaceableShare: 1,
    objectiveMs: 1_202,
    deadlineMs: 10_018,
    valueOnTime: 0.47,
    valueLate: 0.35,
  },
];

/** Returns the usual load with changes. @internal */
export function createCustomerMixLoad(
  changes: Partial<ReplayLoad>,
): ReplayLoad {
  return {
    kinds: KINDS,
    customerWeights: Array.from(
      {length: CUSTOMER_COUNT},
      (_, rank) => (rank + 1) ** -SIZE_EXPONENT,
    ),
    durationMs: 20_000,
    limits: {
      maxConnections: 20,
      slots: CUSTOMER_MIX_SLOTS,
      minConcurrency: 1,
      idleTimeoutMs: 60_000,
      minIdleConnections: 20,
    },
    getRateFactor: () => 1,
    getSlots: () => CUSTOMER_MIX_SLOTS,
    ...changes,
  };
}
