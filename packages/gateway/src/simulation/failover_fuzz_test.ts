import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {runHistory} from './failover_history.js';
import type {HistoryFault, HistoryPlan} from './history_fault.js';
import {
  SUCCESSOR_OF_EARLIER_BUILD,
  UNRECORDED_PRIMARY,
} from './leader_mutants.js';
import {MUTANTS} from './mutants.js';
import {OVERSTAYING_PROXY} from './promotion_mutants.js';
import {PROMOTION_MS} from './simulated_group.js';

const atMs = fc.integer({min: 0, max: 9_000});
const forMs = fc.integer({min: 300, max: 7_000});
const proxy = fc.nat(4);

const acceptDelayMs = fc.integer({min: 0, max: 2_000});

/** A leader that goes away at a step of a change, maybe its successor too. */
const leaderFault = fc.record({
  kind: fc.constant('disturbLeader' as const),
  atMs,
  step: fc.constantFrom(
    'changeIntended' as const,
    'promotionOrdered' as const,
    'promotionAnswered' as const,
    'changeCompleted' as const,
  ),
  afterMs: fc.integer({min: 0, max: 600}),
  how: fc.constantFrom(
    'stop' as const,
    'kill' as const,
    'freeze' as const,
    'isolate' as const,
  ),
  count: fc.constantFrom(1 as const, 2 as const, 3 as const),
});

/** Any fault at any time; a history may combine and repeat them. */
const fault: fc.Arbitrary<HistoryFault> = fc.oneof(
  fc.record({kind: fc.constant('crashPrimary' as const), atMs, forMs}),
  fc.record({kind: fc.constant('crashReplica' as const), atMs, forMs}),
  fc.record({
    kind: fc.constant('isolatePrimary' as const),
    atMs,
    forMs,
    proxies: fc.subarray([0, 1, 2, 3, 4]),
    isFromReplicas: fc.boolean(),
  }),
  fc.record({kind: fc.constant('isolateProxy' as const), atMs, forMs, proxy}),
  fc.record({
    kind: fc.constant('disconnectStore' as const),
    atMs,
    forMs,
    proxy,
  }),
  fc.record({
    kind: fc.constant('disconnectPeers' as const),
    atMs,
    forMs,
    proxies: fc.constantFrom(
      [0, 1] as const,
      [0, 2] as const,
      [1, 2] as const,
      // Proxies of the same availability zone in the shared layout.
      [1, 3] as const,
      [1, 4] as const,
      [3, 4] as const,
    ),
  }),
  fc.record({kind: fc.constant('storeDown' as const), atMs, forMs}),
  fc.record({
    kind: fc.constant('storeRestored' as const),
    atMs,
    forMs: fc.integer({min: 20, max: 1_500}),
    ageMs: fc.integer({min: 0, max: 6_000}),
  }),
  fc.record({kind: fc.constant('loseWriteResponses' as const), atMs, forMs}),
  fc.record({kind: fc.constant('killProxy' as const), atMs, proxy}),
  fc.record({
    kind: fc.constant('stallReplication' as const),
    atMs,
    forMs,
    replica: fc.nat(1),
  }),
  fc.record({
    kind: fc.constant('stepClock' as const),
    atMs,
    proxy,
    byMs: fc.integer({min: -3_000, max: 3_000}),
  }),
  fc.record({kind: fc.constant('drainPrimary' as const), atMs}),
  fc.record({
    kind: fc.constant('drainReplica' as const),
    atMs,
    replica: fc.nat(1),
  }),
  fc.record({
    kind: fc.constant('isolateZone' as const),
    atMs,
    forMs,
    replica: fc.nat(1),
    proxy,
  }),
  fc.record({
    kind: fc.constant('isolateZoneControl' as const),
    atMs,
    forMs,
    proxy,
  }),
  fc.record({
    kind: fc.constant('reuseAddress' as const),
    atMs,
    replica: fc.nat(1),
  }),
  fc.record({kind: fc.constant('changeConfiguration' as const), atMs}),
  fc.record({kind: fc.constant('killAllProxies' as const), atMs}),
  fc.record({kind: fc.constant('stopProxy' as const), atMs, proxy}),
  fc.record({
    kind: fc.constant('slowPromotions' as const),
    atMs,
    forMs,
    delayMs: acceptDelayMs,
  }),
  leaderFault,
);

/** A change of primary with late orders and leaders that go away during it. */
const changePlan: fc.Arbitrary<HistoryPlan> = fc
  .record({
    seed: fc.nat(1_000_000),
    layout: fc.constantFrom('apart' as const, 'shared' as const),
    crashMs: fc.integer({min: 500, max: 4_000}),
    promotionMs: fc.constantFrom(300, 1_000),
    isReplicaDeaf: fc.boolean(),
    slowMs: fc.integer({min: 0, max: 3_000}),
    delayMs: acceptDelayMs,
    leaderFaults: fc.array(leaderFault, {minLength: 1, maxLength: 2}),
    others: fc.array(fault, {maxLength: 1}),
  })
  .map(drawn => {
    const {seed, layout, promotionMs, crashMs, slowMs, delayMs} = drawn;
    const faults: HistoryFault[] = [
      {kind: 'crashPrimary', atMs: crashMs, forMs: 7_000},
      {kind: 'slowPromotions', atMs: crashMs, forMs: slowMs, delayMs},
    ];
    if (drawn.isReplicaDeaf) {
      const atMs = crashMs + 300;
      faults.push({kind: 'stallReplication', atMs, forMs: 6_500, replica: 1});
    }
    for (const other of drawn.leaderFaults) {
      faults.push({...other, atMs: crashMs});
    }
    faults.push(...drawn.others);
    return {seed, layout, promotionMs, faults};
  });

const plan: fc.Arbitrary<HistoryPlan> = fc.record({
  seed: fc.nat(1_000_000),
  layout: fc.constantFrom('apart' as const, 'shared' as const),
  faults: fc.array(fault, {minLength: 1, maxLength: 4}),
});

/** Three leaders are stopped one after the other while a replica is deaf. */
const stopPlan: fc.Arbitrary<HistoryPlan> = fc
  .record({
    seed: fc.nat(1_000_000),
    crashMs: fc.integer({min: 500, max: 3_000}),
    forMs: fc.integer({min: 500, max: 1_500}),
    afterMs: fc.integer({min: 0, max: 500}),
    deafAfterMs: fc.integer({min: 250, max: 1_500}),
    replica: fc.nat(1),
  })
  .map(({seed, crashMs, forMs, afterMs, deafAfterMs, replica}) => ({
    seed,
    layout: 'shared',
    promotionMs: 1_000,
    faults: [
      {kind: 'crashPrimary', atMs: crashMs, forMs},
      {
        kind: 'stallReplication',
        atMs: crashMs + deafAfterMs,
        forMs: 6_500,
        replica,
      },
      {
        kind: 'disturbLeader',
        atMs: crashMs,
        step: 'promotionAnswered',
        afterMs,
        how: 'stop',
        count: 3,
      },
    ],
  }));

/** Time limit from the loss of a primary to the intent to replace it. */
const DETECTION_MS = 1_000;

/** Time limit from the intent to the next write, beyond the promotion time. */
const WRITES_RESUME_MS = 1_500;

/** Number of histories; FAILOVER_HISTORIES overrides the default of CI. */
const HISTORY_COUNT = Number(process.env['FAILOVER_HISTORIES'] ?? 40);

/** Histories of each mutant that are also run with the unchanged gateway. */
const MAX_PLANS_CHECKED = 6;

/** Seed of the histories; FAILOVER_SEED overrides the default of CI. */
const SEED = Number(process.env['FAILOVER_SEED'] ?? 1);

describe('a deployment under faults', () => {
  it('serves without faults', async () => {
    const outcome = await runHistory({seed: 1, faults: []});
    expect(outcome.violations).toEqual([]);
    expect(outcome.acknowledgedCount).toBeGreaterThan(500);
    expect(outcome.readCount).toBeGreaterThan(500);
  });

  it('replaces a crashed primary and keeps serving', async () => {
    const outcome = await runHistory({
      seed: 1,
      faults: [{kind: 'crashPrimary', atMs: 1_000, forMs: 20_000}],
    });
    expect(outcome.violations).toEqual([]);
    expect(outcome.promotionCount).toBe(1);
    expect(outcome.acknowledgedCount).toBeGreaterThan(500);
  });

  it('writes again in time after the zone of the primary is isolated', async () => {
    const isolatedAtMs = 12_000;
    const outcome = await runHistory({
      seed: 1,
      layout: 'shared',
      faults: [
        {
          kind: 'isolateZone',
          atMs: isolatedAtMs,
          forMs: 9_000,
          replica: 0,
          proxy: 0,
        },
      ],
    });
    expect(outcome.violations).toEqual([]);
    expect(outcome.promotionCount).toBe(1);
    const intendedAtMs = outcome.changesIntendedAtMs[0] ?? Infinity;
    const firstAtMs = outcome.acknowledgedAtMs.find(
      atMs => atMs > intendedAtMs,
    );
    expect(intendedAtMs - isolatedAtMs).toBeLessThanOrEqual(DETECTION_MS);
    expect(firstAtMs).toBeLessThanOrEqual(
      intendedAtMs + PROMOTION_MS + WRITES_RESUME_MS,
    );
  });

  it('does not move the primary back and forth between two draining instances', async () => {
    const outcome = await runHistory({
      seed: 999_997,
      faults: [
        {kind: 'drainReplica', atMs: 3_360, replica: 1},
        {
          kind: 'isolatePrimary',
          atMs: 5_986,
          forMs: 6_992,
          proxies: [],
          isFromReplicas: true,
        },
        {kind: 'drainPrimary', atMs: 8_330},
      ],
    });
    expect(outcome.violations).toEqual([]);
    expect(outcome.promotionCount).toBeLessThanOrEqual(2);
  });

  it('does not promote past a paused replica that was cut off with the old primary', async () => {
    const outcome = await runHistory({
      seed: 0,
      faults: [
        {kind: 'stallReplication', atMs: 6_900, forMs: 2_414, replica: 1},
        {kind: 'isolateZone', atMs: 1_786, forMs: 4_461, replica: 1, proxy: 2},
        {kind: 'isolateZone', atMs: 6_132, forMs: 6_642, replica: 0, proxy: 2},
      ],
    });
    expect(outcome.violations).toEqual([]);
  });

  it('returns no stale read when a replica restarts before a proxy has released its lease', async () => {
    const outcome = await runHistory({
      seed: 585_536,
      layout: 'shared',
      faults: [
        {kind: 'crashPrimary', atMs: 5_331, forMs: 437},
        {kind: 'isolateZone', atMs: 1_952, forMs: 1_471, replica: 1, proxy: 0},
        {kind: 'disconnectStore', atMs: 5_889, forMs: 892, proxy: 4},
        {kind: 'crashReplica', atMs: 3_286, forMs: 509},
      ],
    });
    expect(outcome.violations).toEqual([]);
  });

  it('does not use the log of a primary of an earlier term as a freshness bound', async () => {
    const outcome = await runHistory({
      seed: 798_684,
      layout: 'shared',
      faults: [
        {kind: 'loseWriteResponses', atMs: 6_736, forMs: 3_216},
        {kind: 'crashReplica', atMs: 1_692, forMs: 1_981},
        {kind: 'isolateZone', atMs: 4_839, forMs: 6_243, replica: 0, proxy: 1},
        {kind: 'isolateZone', atMs: 8_414, forMs: 2_932, replica: 1, proxy: 1},
      ],
    });
    expect(outcome.violations).toEqual([]);
  });

  it('uses no drained server whose entry expired and reappeared during the drain', async () => {
    const outcome = await runHistory({
      seed: 999_998,
      faults: [
        {kind: 'drainPrimary', atMs: 4_682},
        {kind: 'drainReplica', atMs: 2_996, replica: 1},
        {kind: 'isolateZone', atMs: 5_238, forMs: 6_900, replica: 1, proxy: 3},
        {kind: 'crashPrimary', atMs: 427, forMs: 4_720},
      ],
    });
    expect(outcome.violations).toEqual([]);
  });

  it('keeps reading from the last instance when the others have drained', async () => {
    const outcome = await runHistory({
      seed: 823_559,
      faults: [
        {kind: 'drainPrimary', atMs: 276},
        {kind: 'drainReplica', atMs: 3_250, replica: 1},
      ],
    });
    expect(outcome.violations).toEqual([]);
    expect(outcome.promotionCount).toBeLessThanOrEqual(2);
  });

  it('does not use a server past its drain after an isolation that hid its start', async () => {
    const outcome = await runHistory({
      seed: 882_184,
      faults: [
        {kind: 'isolateProxy', atMs: 13, forMs: 2_293, proxy: 2},
        {kind: 'drainPrimary', atMs: 634},
        {kind: 'drainPrimary', atMs: 7_087},
        {
          kind: 'isolatePrimary',
          atMs: 7_877,
          forMs: 3_905,
          proxies: [0, 1, 3, 4],
          isFromReplicas: true,
        },
      ],
    });
    expect(outcome.violations).toEqual([]);
  });

  it('violates no invariant under any faults', async () => {
    await fc.assert(
      fc.asyncProperty(plan, async drawn => {
        const outcome = await runHistory(drawn);
        expect(outcome.violations).toEqual([]);
      }),
      {numRuns: HISTORY_COUNT, seed: SEED, endOnFailure: true},
    );
  }, 3_600_000);

  it('violates no invariant when leaders go away during a change', async () => {
    await fc.assert(
      fc.asyncProperty(changePlan, async drawn => {
        const outcome = await runHistory(drawn);
        expect(outcome.violations).toEqual([]);
      }),
      {numRuns: HISTORY_COUNT, seed: SEED, endOnFailure: true},
    );
  }, 3_600_000);

  // Guards against acknowledged commits that are lost: the order of a stopped
  // leader took effect after a later one had opened writes elsewhere.
  it('loses no commit when three leaders are stopped during a change', async () => {
    await fc.assert(
      fc.asyncProperty(stopPlan, async drawn => {
        const outcome = await runHistory(drawn);
        expect(outcome.violations).toEqual([]);
      }),
      {numRuns: HISTORY_COUNT, seed: SEED, endOnFailure: true},
    );
  }, 3_600_000);

  it('violates no invariant in the histories of the mutants', async () => {
    for (const {name, plans} of MUTANTS) {
      for (const mutantPlan of plans.slice(0, MAX_PLANS_CHECKED)) {
        const outcome = await runHistory(mutantPlan);
        expect({name, violations: outcome.violations}).toEqual({
          name,
          violations: [],
        });
      }
    }
  }, 600_000);

  // Guards against stale strict reads at a replaced primary that is behind, while
  // the failover leader writes at the one that it has found.
  it('reads nothing stale when an instance leads that nobody has recorded', async () => {
    for (const adoptionPlan of UNRECORDED_PRIMARY) {
      const outcome = await runHistory(adoptionPlan);
      expect(outcome.violations).toEqual([]);
      expect(outcome.promotionCount).toBe(0);
    }
  });

  // Guards against a lower fencing token after a higher one while builds are mixed.
  it('lets no order of a stopped leader meet one of a successor of the build before', async () => {
    const {plans, mutate} = SUCCESSOR_OF_EARLIER_BUILD;
    for (const successorPlan of plans) {
      const outcome = await runHistory(successorPlan, mutate);
      expect(outcome.violations).toEqual([]);
      expect(outcome.promotionCount).toBe(1);
    }
  });

  // Guards against a pause that comes too late or ends early: it is what keeps the
  // commits if a proxy acknowledges for longer than the change has waited.
  it('loses no commit of a proxy that uses a paused primary for too long', async () => {
    const {plans, mutate, rules} = OVERSTAYING_PROXY;
    for (const overstayingPlan of plans) {
      const {violations} = await runHistory(overstayingPlan, mutate);
      const found = violations.filter(({rule}) =>
        rules.some(checked => checked === rule),
      );
      expect(found).toEqual([]);
    }
  });

  it.each(MUTANTS)(
    'detects the mutant: $name',
    async ({mutate, plans, rules}) => {
      const found = new Set<string>();
      for (const mutantPlan of plans) {
        const outcome = await runHistory(mutantPlan, mutate);
        for (const {rule} of outcome.violations) {
          found.add(rule);
        }
      }
      expect(rules.some(rule => found.has(rule))).toBe(true);
    },
  );
});
