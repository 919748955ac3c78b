import fc from 'fast-check';
import type {LatencyRange} from './call_latency.js';
import type {
  HistoryFault,
  HistoryLayout,
  HistoryPlan,
} from './history_fault.js';
import type {
  InstanceRole,
  PhaseAction,
  PhaseFault,
  PhaseTrigger,
} from './phase_fault.js';
import {PROMPT_PLATFORM, type PlatformTimes} from './simulated_group.js';

/**
 * Generators of histories in which faults strike in phase with a change of
 * primary, alone or several at once.
 */

/** Histories of one kind. @internal */
export interface PhaseFamily {
  readonly name: string;
  readonly plans: fc.Arbitrary<HistoryPlan>;
}

/**
 * Duration of a history without drains. A change that a fault of this module
 * begins is over by then.
 */
const SHORT_HISTORY_MS = 12_000;

/** Duration of a history in which a drained instance ends after 9 s. */
const DRAIN_HISTORY_MS = 18_000;

/** Latest start of a change of primary. */
const LAST_START_MS = 3_000;

/** Proxies that are not the failover leader when a history begins. */
const FOLLOWERS: Readonly<Record<HistoryLayout, readonly number[]>> = {
  apart: [1, 2],
  shared: [0, 3, 4],
  crowded: [0, 3, 4, 5, 6, 7, 8],
};

const proxy = fc.nat(4);

const replica = fc.nat(1);

const forMs = fc.integer({min: 100, max: 6_000});

/** Mostly within the few hundred milliseconds that a step takes. */
const afterMs = fc.oneof(
  {arbitrary: fc.constant(0), weight: 2},
  {arbitrary: fc.integer({min: 0, max: 80}), weight: 3},
  {arbitrary: fc.integer({min: 0, max: 600}), weight: 3},
  {arbitrary: fc.integer({min: 0, max: 3_000}), weight: 1},
);

/** A restart of an instance, mostly so short that its entry stays listed. */
const downMs = fc.oneof(
  {arbitrary: fc.integer({min: 5, max: 60}), weight: 6},
  {arbitrary: fc.integer({min: 100, max: 800}), weight: 1},
  {arbitrary: fc.integer({min: 800, max: 5_000}), weight: 1},
);

const role: fc.Arbitrary<InstanceRole> = fc.constantFrom(
  'primary',
  'target',
  'paused',
  'firstReplica',
  'secondReplica',
);

const replicaRole: fc.Arbitrary<InstanceRole> = fc.constantFrom(
  'target',
  'paused',
  'firstReplica',
  'secondReplica',
);

const trigger: fc.Arbitrary<PhaseTrigger> = fc.constantFrom(
  'changeIntended',
  'promotionOrdered',
  'promotionAnswered',
  'changeCompleted',
  'pauseArrived',
  'stepDownArrived',
  'promotionArrived',
  'promotionEffective',
  'commitAcknowledged',
);

/** Events between the intent and the effect of the order. */
const earlyTrigger: fc.Arbitrary<PhaseTrigger> = fc.constantFrom(
  'changeIntended',
  'pauseArrived',
  'pauseArrived',
  'promotionOrdered',
  'promotionArrived',
  'promotionEffective',
);

const latency: fc.Arbitrary<LatencyRange> = fc
  .record({
    minMs: fc.integer({min: 0, max: 800}),
    extraMs: fc.integer({min: 0, max: 1_500}),
    lostPercent: fc.constantFrom(0, 0, 20, 60),
  })
  .map(({minMs, extraMs, lostPercent}) => ({
    minMs,
    maxMs: minMs + extraMs,
    lostPercent,
  }));

const killAction: fc.Arbitrary<PhaseAction> = fc.oneof(
  fc.record({kind: fc.constant('killLeader' as const)}),
  fc.record({kind: fc.constant('killAllProxies' as const)}),
  fc.record({kind: fc.constant('killOtherProxies' as const), proxy}),
);

const freezeAction: fc.Arbitrary<PhaseAction> = fc.oneof(
  fc.record({kind: fc.constant('freezeLeader' as const), forMs}),
  fc.record({kind: fc.constant('freezeProxy' as const), proxy, forMs}),
);

const slowAction: fc.Arbitrary<PhaseAction> = fc.record({
  kind: fc.constantFrom('slowStore' as const, 'slowControl' as const),
  forMs,
  latency,
});

const linkAction: fc.Arbitrary<PhaseAction> = fc.oneof(
  fc.record({kind: fc.constant('isolateProxy' as const), proxy, forMs}),
  fc.record({
    kind: fc.constant('cutLink' as const),
    proxy,
    instance: role,
    forMs,
  }),
  fc.record({
    kind: fc.constant('cutZone' as const),
    instance: role,
    with: role,
    proxy,
    forMs,
  }),
  fc.record({
    kind: fc.constant('hideInstance' as const),
    instance: role,
    proxy,
    forMs,
  }),
  fc.record({
    kind: fc.constant('silenceInstance' as const),
    instance: role,
    forMs,
  }),
);

const stallAction: fc.Arbitrary<PhaseAction> = fc.record({
  kind: fc.constant('stallReplica' as const),
  instance: fc.constantFrom('firstReplica' as const, 'secondReplica' as const),
  forMs,
});

const restartReplicaAction: fc.Arbitrary<PhaseAction> = fc.record({
  kind: fc.constant('restartInstance' as const),
  instance: fc.oneof(
    replicaRole,
    fc.constantFrom('firstReplica' as const, 'secondReplica' as const),
  ),
  downMs,
});

const restartAction: fc.Arbitrary<PhaseAction> = fc.record({
  kind: fc.constant('restartInstance' as const),
  instance: role,
  downMs,
});

const drainAction: fc.Arbitrary<PhaseAction> = fc.record({
  kind: fc.constant('drainInstance' as const),
  instance: role,
});

const anyActionButDrain: fc.Arbitrary<PhaseAction> = fc.oneof(
  killAction,
  freezeAction,
  slowAction,
  linkAction,
  stallAction,
  restartAction,
);

const anyAction = fc.oneof(anyActionButDrain, drainAction);

/** Faults in phase that wait for their trigger from the start of a change. */
function inPhase(
  action: fc.Arbitrary<PhaseAction>,
): fc.Arbitrary<Omit<PhaseFault, 'atMs'>> {
  return fc.record({
    kind: fc.constant('inPhase' as const),
    trigger: fc.oneof(trigger, earlyTrigger),
    skip: fc.oneof(
      {arbitrary: fc.constant(0), weight: 3},
      {arbitrary: fc.integer({min: 0, max: 4}), weight: 1},
    ),
    afterMs,
    action,
  });
}

type FaultLists = fc.Arbitrary<readonly HistoryFault[]>;

/** A loss of the primary, or of its links to some or all others. */
function losePrimary(atMs: number): FaultLists {
  return fc
    .oneof(
      fc.record({kind: fc.constant('crashPrimary' as const), forMs}),
      fc.record({
        kind: fc.constant('isolatePrimary' as const),
        forMs,
        proxies: fc.subarray([0, 1, 2, 3, 4], {minLength: 1}),
        isFromReplicas: fc.boolean(),
      }),
      fc.record({
        kind: fc.constant('isolateZone' as const),
        forMs,
        replica,
        proxy,
      }),
    )
    .map(fault => [{...fault, atMs}]);
}

function drainPrimary(atMs: number): FaultLists {
  return fc.constant([{kind: 'drainPrimary', atMs}]);
}

/**
 * A draining primary that goes on serving a proxy that is out of reach of the
 * other proxies, which can't order it to step down.
 */
function keepOldPrimary(atMs: number, layout: HistoryLayout): FaultLists {
  return fc
    .record({
      spared: fc.oneof(
        {arbitrary: fc.constantFrom(...FOLLOWERS[layout]), weight: 5},
        {arbitrary: proxy, weight: 1},
      ),
      // A proxy that is cut off later has released, and a leader that is cut off
      // later has ordered the primary to step down.
      cutAfterMs: fc.integer({min: -100, max: 300}),
      isolatedAfterMs: fc.integer({min: 0, max: 650}),
      cutForMs: fc.integer({min: 2_000, max: 7_000}),
      isFromReplicas: fc.constantFrom(false, false, false, false, true),
      drained: fc.option(replica),
    })
    .map(drawn => {
      const {spared, cutAfterMs, isolatedAfterMs, cutForMs} = drawn;
      const faults: HistoryFault[] = [
        {kind: 'drainPrimary', atMs},
        {
          kind: 'isolatePrimary',
          atMs: atMs + cutAfterMs,
          forMs: cutForMs,
          proxies: [0, 1, 2, 3, 4].filter(index => index !== spared),
          isFromReplicas: drawn.isFromReplicas,
        },
        {
          kind: 'isolateProxy',
          atMs: atMs + isolatedAfterMs,
          forMs: cutForMs,
          proxy: spared,
        },
      ];
      if (drawn.drained !== null) {
        faults.push({
          kind: 'drainReplica',
          atMs: atMs - 400,
          replica: drawn.drained,
        });
      }
      return faults;
    });
}

/** A proxy that is out of reach of the others, so that it can't release. */
function isolateProxy(atMs: number): fc.Arbitrary<HistoryFault> {
  return fc.record({
    kind: fc.constant('isolateProxy' as const),
    atMs: fc.integer({min: atMs - 300, max: atMs + 300}),
    forMs,
    proxy,
  });
}

/** A replica that receives nothing, or late, from before or during the change. */
function disturbReplication(atMs: number): fc.Arbitrary<HistoryFault> {
  const fromMs = fc.integer({min: atMs - 400, max: atMs + 600});
  return fc.oneof(
    fc.record({
      kind: fc.constant('stallReplication' as const),
      atMs: fromMs,
      forMs,
      replica,
    }),
    fc.record({
      kind: fc.constant('delayReplication' as const),
      atMs: fromMs,
      forMs,
      replica,
      delayMs: fc.integer({min: 10, max: 120}),
    }),
  );
}

/** Orders that the platform accepts late. */
function slowPromotions(atMs: number): fc.Arbitrary<HistoryFault> {
  return fc.record({
    kind: fc.constant('slowPromotions' as const),
    atMs: fc.constant(atMs),
    forMs,
    delayMs: fc.integer({min: 0, max: 2_000}),
  });
}

/** Kills of all proxies that are up to 400 ms apart. */
function killAllClose(atMs: number): FaultLists {
  const delayMs = fc.nat(400);
  return fc
    .record({
      fromMs: fc.integer({min: atMs - 400, max: atMs + 1_500}),
      delaysMs: fc.tuple(delayMs, delayMs, delayMs, delayMs, delayMs),
    })
    .map(({fromMs, delaysMs}) =>
      delaysMs.map((killDelayMs, index) => ({
        kind: 'killProxy' as const,
        atMs: fromMs + killDelayMs,
        proxy: index,
      })),
    );
}

/** A leader that goes away at a step of the change, maybe successors too. */
function disturbLeader(atMs: number): fc.Arbitrary<HistoryFault> {
  return fc.record({
    kind: fc.constant('disturbLeader' as const),
    atMs: fc.constant(atMs),
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
}

/** None to `maxLength` of a fault. */
function some(
  fault: fc.Arbitrary<HistoryFault>,
  maxLength = 1,
  minLength = 0,
): FaultLists {
  return fc.array(fault, {minLength, maxLength});
}

function somePhase(
  action: fc.Arbitrary<PhaseAction>,
  atMs: number,
  minLength: number,
  maxLength: number,
): FaultLists {
  const fault = inPhase(action).map(drawn => ({...drawn, atMs}));
  return fc.array(fault, {minLength, maxLength});
}

/** Entries are listed at once; a replaced primary may go on for a while. */
const promptTimes: fc.Arbitrary<PlatformTimes> = fc.constantFrom(
  PROMPT_PLATFORM,
  {...PROMPT_PLATFORM, stepDownAfterMs: 1_000},
);

/** Faults that begin a change of primary, or most of one. */
function startChange(atMs: number, layout: HistoryLayout): FaultLists {
  return fc.oneof(
    {arbitrary: losePrimary(atMs), weight: 2},
    {arbitrary: drainPrimary(atMs), weight: 1},
    {arbitrary: keepOldPrimary(atMs, layout), weight: 5},
  );
}

/** Histories with the faults that are drawn around the start of a change. */
function createPlans(
  drawFaults: (atMs: number, layout: HistoryLayout) => readonly FaultLists[],
  times: fc.Arbitrary<PlatformTimes> = promptTimes,
  durationMs = SHORT_HISTORY_MS,
): fc.Arbitrary<HistoryPlan> {
  const start = fc.record({
    atMs: fc.integer({min: 500, max: LAST_START_MS}),
    layout: fc.constantFrom('apart' as const, 'shared' as const),
  });
  return start.chain(({atMs, layout}) =>
    fc
      .record({
        seed: fc.nat(1_000_000),
        layout: fc.constant(layout),
        promotionMs: fc.constantFrom(300, 600, 1_000),
        platformTimes: times,
        faults: fc
          .tuple(...drawFaults(atMs, layout))
          .map(lists => lists.flat()),
      })
      .map(drawn => ({...drawn, durationMs})),
  );
}

/** Proxies that start again around a change, also with a slow store. */
const restartedProxies = createPlans((atMs, layout) => [
  startChange(atMs, layout),
  fc.oneof(killAllClose(atMs), somePhase(killAction, atMs, 1, 2)),
  somePhase(
    fc.oneof(slowAction, linkAction, stallAction, restartReplicaAction),
    atMs,
    0,
    2,
  ),
  some(disturbReplication(atMs)),
  some(isolateProxy(atMs)),
]);

/** Replicas whose pause ends with a restart, beside a proxy out of reach. */
const restartedReplicas = createPlans((atMs, layout) => [
  startChange(atMs, layout),
  somePhase(restartReplicaAction, atMs, 1, 3),
  somePhase(fc.oneof(linkAction, stallAction, slowAction), atMs, 0, 1),
  some(disturbReplication(atMs)),
]);

/** Leaders that go away, with orders that are accepted late. */
const lostLeaders = createPlans((atMs, layout) => [
  startChange(atMs, layout),
  some(slowPromotions(atMs)),
  some(disturbLeader(atMs), 2, 1),
  somePhase(fc.oneof(killAction, freezeAction), atMs, 0, 2),
  some(disturbReplication(atMs)),
]);

const successorTimes: fc.Arbitrary<PlatformTimes> = fc.record({
  successorListedMs: fc.integer({min: 0, max: 2_500}),
  restartListedMs: fc.integer({min: 0, max: 1_500}),
  relistedMs: fc.integer({min: 0, max: 2_000}),
  drainedDownMs: fc.constantFrom(null, 50, 500, 1_500),
  stepDownAfterMs: fc.constantFrom(0, 0, 400, 1_000),
});

/** A drained replica whose log goes to a successor, around other faults. */
const replacedInstances = createPlans(
  atMs => [
    fc
      .record({kind: fc.constant('drainReplica' as const), replica})
      .map(fault => [{...fault, atMs: 0}]),
    fc.oneof(losePrimary(atMs), fc.constant([])),
    fc
      .integer({min: 8_800, max: 10_000})
      .chain(endMs =>
        fc
          .tuple(
            fc.oneof(killAllClose(endMs), fc.constant([])),
            losePrimary(endMs),
          )
          .map(lists => lists.flat()),
      ),
    somePhase(anyActionButDrain, atMs + 6_000, 0, 2),
    some(disturbReplication(8_500)),
  ],
  successorTimes,
  DRAIN_HISTORY_MS,
);

/** Any faults in phase, at least two at once. */
const anything = createPlans(
  (atMs, layout) => [
    startChange(atMs, layout),
    somePhase(anyAction, atMs, 2, 3),
    some(disturbReplication(atMs)),
    some(isolateProxy(atMs)),
    some(slowPromotions(atMs)),
  ],
  successorTimes.map(times => ({
    ...times,
    drainedDownMs: null,
    successorListedMs: 0,
  })),
);

/** The families; replaced instances are apart since they have a known fault. @internal */
export const PHASE_FAMILIES: readonly PhaseFamily[] = [
  {name: 'restarted proxies', plans: restartedProxies},
  {name: 'restarted replicas', plans: restartedReplicas},
  {name: 'lost leaders', plans: lostLeaders},
  {name: 'replaced instances', plans: replacedInstances},
  {name: 'anything', plans: anything},
];
