import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {runHistory} from './failover_history.js';
import type {HistoryFault, HistoryPlan} from './history_fault.js';
import {PROMOTION_MS} from './simulated_group.js';

/** Time limit from the store's return to the next write, with the same primary. */
const SAME_PRIMARY_MS = 1_500;

/** Time limit from the loss of a primary to the intent to replace it. */
const DETECTION_MS = 1_000;

/** Time for which the store is unreachable in the planned histories. */
const OUTAGE_MS = 300;

const LAYOUTS = ['apart', 'shared'] as const;

/** Number of histories; FAILOVER_HISTORIES overrides the default of CI. */
const HISTORY_COUNT = Number(process.env['FAILOVER_HISTORIES'] ?? 30);
const SEED = Number(process.env['FAILOVER_SEED'] ?? 1);

function restore(atMs: number, ageMs: number, forMs = OUTAGE_MS): HistoryFault {
  return {kind: 'storeRestored', atMs, forMs, ageMs};
}

/** Plans a history for each layout with three seeds. */
function planAll(faults: readonly HistoryFault[]): readonly HistoryPlan[] {
  return LAYOUTS.flatMap(layout =>
    [1, 2, 3].map(seed => ({seed, layout, faults})),
  );
}

/** Time from `fromMs` to the first acknowledgement after it. */
function findWaitMs(
  acknowledgedAtMs: readonly number[],
  fromMs: number,
): number {
  const firstAtMs = acknowledgedAtMs.find(atMs => atMs > fromMs);
  return (firstAtMs ?? Number.POSITIVE_INFINITY) - fromMs;
}

/**
 * Runs the faults in each layout. Expects no violation, and acknowledged writes
 * within `maxWaitMs` after each return of the store.
 */
async function expectRecovery(
  faults: readonly HistoryFault[],
  maxWaitMs: number,
): Promise<void> {
  for (const plan of planAll(faults)) {
    const {violations, acknowledgedAtMs} = await runHistory(plan);
    const {seed, layout} = plan;
    expect({seed, layout, violations}).toEqual({seed, layout, violations: []});
    for (const fault of faults) {
      if (fault.kind === 'storeRestored') {
        const returnedAtMs = fault.atMs + fault.forMs;
        const waitMs = findWaitMs(acknowledgedAtMs, returnedAtMs);
        expect(waitMs).toBeLessThanOrEqual(maxWaitMs);
      }
    }
  }
}

/** Time limit from the store's return to the next write, with a new primary. */
const NEW_PRIMARY_MS = DETECTION_MS + PROMOTION_MS + SAME_PRIMARY_MS;

describe('store restored', () => {
  it('store restored: writes continue when nothing had changed', () =>
    expectRecovery([restore(3_000, 2_000)], SAME_PRIMARY_MS));

  it('store restored: twice within a lease', () =>
    expectRecovery(
      [restore(3_000, 2_000), restore(6_000, 4_500)],
      SAME_PRIMARY_MS,
    ));

  it('store restored: the backup lacks a whole change of primary', () =>
    expectRecovery(
      [
        {kind: 'crashPrimary', atMs: 2_000, forMs: 14_000},
        restore(5_000, 4_000),
      ],
      NEW_PRIMARY_MS,
    ));

  it.each([200, 400, 600, 800, 1_000, 1_200, 1_400])(
    'store restored: %i ms after the loss of a primary, during its change',
    afterMs =>
      expectRecovery(
        [
          {kind: 'crashPrimary', atMs: 2_000, forMs: 14_000},
          restore(2_000 + afterMs, 1_500),
        ],
        NEW_PRIMARY_MS,
      ),
  );

  it('store restored: the backup lacks an acknowledged configuration', () =>
    expectRecovery(
      [{kind: 'changeConfiguration', atMs: 3_000}, restore(4_500, 3_000)],
      SAME_PRIMARY_MS,
    ));

  it('store restored: the backup lacks a drain', () =>
    expectRecovery(
      [{kind: 'drainPrimary', atMs: 3_000}, restore(4_500, 3_000)],
      NEW_PRIMARY_MS,
    ));

  it('store restored: the backup lacks a proxy that was started after it', () =>
    expectRecovery(
      [
        {kind: 'killProxy', atMs: 1_000, proxy: 1},
        restore(4_000, 3_500),
        {kind: 'crashPrimary', atMs: 4_500, forMs: 10_000},
      ],
      NEW_PRIMARY_MS,
    ));

  it('store restored: some proxies are disconnected from the store before and after', () =>
    expectRecovery(
      [
        {kind: 'disconnectStore', atMs: 2_000, forMs: 5_000, proxy: 0},
        {kind: 'disconnectStore', atMs: 2_000, forMs: 5_000, proxy: 2},
        restore(4_000, 3_000),
      ],
      SAME_PRIMARY_MS,
    ));

  it('store restored: an isolated proxy does not learn of it', async () => {
    for (const plan of planAll([
      {kind: 'isolateProxy', atMs: 2_500, forMs: 12_000, proxy: 0},
      restore(3_000, 2_000),
      {kind: 'crashPrimary', atMs: 3_800, forMs: 12_000},
    ])) {
      const outcome = await runHistory(plan);
      expect(outcome.violations).toEqual([]);
    }
  });

  it('store restored: all proxies are killed during the outage', async () => {
    for (const plan of planAll([
      {kind: 'crashPrimary', atMs: 2_000, forMs: 12_000},
      restore(4_000, 3_000),
      {kind: 'killAllProxies', atMs: 4_100},
    ])) {
      const outcome = await runHistory(plan);
      expect(outcome.violations).toEqual([]);
    }
  });

  it('store restored: a proxy starts just after', async () => {
    for (const plan of planAll([
      {kind: 'crashPrimary', atMs: 2_000, forMs: 12_000},
      {kind: 'killProxy', atMs: 3_900, proxy: 0},
      restore(4_800, 4_000),
    ])) {
      const outcome = await runHistory(plan);
      expect(outcome.violations).toEqual([]);
    }
  });

  it('store restored: a late write from before it expects a revision that was assigned again', async () => {
    for (const plan of planAll([
      {kind: 'loseWriteResponses', atMs: 2_500, forMs: 3_000},
      restore(3_500, 2_000, 40),
      restore(4_500, 800, 20),
    ])) {
      const outcome = await runHistory(plan);
      expect(outcome.violations).toEqual([]);
    }
  });

  it('store restored: violates no invariant under any other faults', async () => {
    const atMs = fc.integer({min: 0, max: 9_000});
    const forMs = fc.integer({min: 300, max: 6_000});
    const proxy = fc.nat(4);
    const restored = fc.record({
      kind: fc.constant('storeRestored' as const),
      atMs,
      forMs: fc.integer({min: 20, max: 1_500}),
      ageMs: fc.integer({min: 0, max: 6_000}),
    });
    const other: fc.Arbitrary<HistoryFault> = fc.oneof(
      fc.record({kind: fc.constant('crashPrimary' as const), atMs, forMs}),
      fc.record({kind: fc.constant('killProxy' as const), atMs, proxy}),
      fc.record({kind: fc.constant('killAllProxies' as const), atMs}),
      fc.record({
        kind: fc.constant('disconnectStore' as const),
        atMs,
        forMs,
        proxy,
      }),
      fc.record({
        kind: fc.constant('isolateProxy' as const),
        atMs,
        forMs,
        proxy,
      }),
      fc.record({
        kind: fc.constant('loseWriteResponses' as const),
        atMs,
        forMs,
      }),
      fc.record({kind: fc.constant('drainPrimary' as const), atMs}),
      fc.record({kind: fc.constant('changeConfiguration' as const), atMs}),
      fc.record({
        kind: fc.constant('isolatePrimary' as const),
        atMs,
        forMs,
        proxies: fc.subarray([0, 1, 2, 3, 4]),
        isFromReplicas: fc.boolean(),
      }),
      fc.record({
        kind: fc.constant('isolateZoneControl' as const),
        atMs,
        forMs,
        proxy,
      }),
    );
    const plan: fc.Arbitrary<HistoryPlan> = fc
      .record({
        seed: fc.nat(1_000_000),
        layout: fc.constantFrom(...LAYOUTS),
        restores: fc.array(restored, {minLength: 1, maxLength: 2}),
        others: fc.array(other, {minLength: 1, maxLength: 3}),
      })
      .map(({seed, layout, restores, others}) => ({
        seed,
        layout,
        faults: [...restores, ...others],
      }));
    await fc.assert(
      fc.asyncProperty(plan, async drawn => {
        const outcome = await runHistory(drawn);
        expect(outcome.violations).toEqual([]);
      }),
      {numRuns: HISTORY_COUNT, seed: SEED, endOnFailure: true},
    );
  }, 3_600_000);
});
