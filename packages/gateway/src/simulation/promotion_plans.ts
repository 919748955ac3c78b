import type {HistoryFault, HistoryPlan} from './history_fault.js';
import {planWithSeeds} from './mutant.js';
import {PROMPT_PLATFORM} from './simulated_group.js';

/** Histories in which the mutants of promotions must be detected. */

/** The proxies with the layout `apart`. */
const PROXIES = [0, 1, 2] as const;

function findOthers(proxy: number): readonly number[] {
  return PROXIES.filter(other => other !== proxy);
}

/** Disconnects the primary from all proxies but one, which is cut off itself. */
function isolateWithPrimary(
  proxy: number,
  atMs: number,
  isFromReplicas: boolean,
): readonly HistoryFault[] {
  const forMs = 8_000;
  const proxies = findOthers(proxy);
  return [
    {kind: 'isolatePrimary', atMs, forMs, proxies, isFromReplicas},
    {kind: 'isolateProxy', atMs, forMs, proxy},
  ];
}

/**
 * A draining primary is cut off with one proxy, which may still read there.
 *
 * @internal
 */
export const CUT_OFF_DRAINING: readonly HistoryPlan[] = [
  {drainAtMs: 1_561, cutMs: 1_889, proxy: 2},
  {drainAtMs: 1_561, cutMs: 1_838, proxy: 1},
  {drainAtMs: 2_826, cutMs: 3_321, proxy: 1},
].flatMap(({drainAtMs, cutMs, proxy}) =>
  planWithSeeds([
    {kind: 'drainPrimary', atMs: drainAtMs},
    ...isolateWithPrimary(proxy, cutMs, true),
  ]),
);

/**
 * The primary is cut off with one proxy, and a paused replica joins them once
 * the promotion was ordered. The promotion ends its pause, so it confirms what
 * the proxy writes.
 *
 * @internal
 */
export const CUT_OFF_WITH_PAUSED_REPLICA: readonly HistoryPlan[] = [
  {
    seed: 1,
    drainAtMs: 3_029,
    cutMs: 3_242,
    proxy: 2,
    promotionMs: 300,
    afterMs: 50,
  },
  {
    seed: 55,
    drainAtMs: 1_147,
    cutMs: 1_202,
    proxy: 1,
    promotionMs: 300,
    afterMs: 275,
  },
  {
    seed: 670,
    drainAtMs: 1_396,
    cutMs: 1_790,
    proxy: 2,
    promotionMs: 300,
    afterMs: 138,
  },
  {
    seed: 106,
    drainAtMs: 1_026,
    cutMs: 1_210,
    proxy: 2,
    promotionMs: 1_000,
    afterMs: 5,
  },
  {
    seed: 815,
    drainAtMs: 3_356,
    cutMs: 3_850,
    proxy: 2,
    promotionMs: 300,
    afterMs: 183,
  },
].map(({seed, drainAtMs, cutMs, proxy, promotionMs, afterMs}) => ({
  seed,
  promotionMs,
  faults: [
    {kind: 'drainPrimary', atMs: drainAtMs},
    ...isolateWithPrimary(proxy, cutMs, false),
    {
      kind: 'inPhase',
      atMs: cutMs,
      trigger: 'promotionArrived',
      skip: 0,
      afterMs,
      action: {
        kind: 'cutZone',
        instance: 'primary',
        with: 'secondReplica',
        proxy,
        forMs: 3_000,
      },
    },
  ],
}));

/**
 * A replica restarts after its pause and confirms what a cut-off proxy writes.
 *
 * @internal
 */
export const RESTARTED_REPLICA: readonly HistoryPlan[] = [
  {seed: 998, drainAtMs: 2_495, cutMs: 2_895, proxy: 1, restartMs: [3_041]},
  {
    seed: 823,
    drainAtMs: 1_963,
    cutMs: 2_231,
    proxy: 1,
    restartMs: [3_194, 3_494],
  },
  {seed: 993, drainAtMs: 1_983, cutMs: 2_362, proxy: 2, restartMs: [3_036]},
].map(({seed, drainAtMs, cutMs, proxy, restartMs}) => ({
  seed,
  promotionMs: 1_000,
  faults: [
    {kind: 'drainReplica', atMs: 1_000, replica: 0},
    {kind: 'drainPrimary', atMs: drainAtMs},
    ...isolateWithPrimary(proxy, cutMs, false),
    ...restartMs.map(
      atMs => ({kind: 'crashReplica', atMs, forMs: 20}) as const,
    ),
  ],
}));

/**
 * One proxy reaches the primary, and goes on writing without contact. The
 * replica that confirms its writes changes while the promotion takes place;
 * the times of the change are 40 ms apart.
 *
 * @internal
 */
export const WRITES_DURING_PROMOTION: readonly HistoryPlan[] = Array.from(
  {length: 20},
  (_unused, index) => 6_400 + index * 40,
).map(switchMs => ({
  seed: 1,
  faults: [
    {
      kind: 'isolatePrimary',
      atMs: 1_200,
      forMs: 9_000,
      proxies: [1, 2],
      isFromReplicas: false,
    },
    {kind: 'isolateProxy', atMs: 1_200, forMs: 9_000, proxy: 0},
    {
      kind: 'stallReplication',
      atMs: 1_200,
      forMs: switchMs - 1_200,
      replica: 0,
    },
    {kind: 'stallReplication', atMs: switchMs, forMs: 3_000, replica: 1},
  ],
}));

/** Time at which the proxies of some histories are killed. */
const KILLED_MS = 2_000;

/** Time at which the killed proxies run again. */
const STARTED_MS = 3_000;

/**
 * After a start of all proxies, one gets its configuration only once the primary
 * has been replaced, and does not reach the store before.
 *
 * @internal
 */
export const LATE_CONFIGURATION: readonly HistoryPlan[] = [
  {
    seed: 46,
    delayMs: 785,
    drainAtMs: 2_557,
    cutMs: 3_429,
    storeMs: 3_034,
    backMs: 39,
  },
  {
    seed: 427,
    delayMs: 845,
    drainAtMs: 2_554,
    cutMs: 3_450,
    storeMs: 3_036,
    backMs: 35,
  },
  {
    seed: 5,
    delayMs: 1_015,
    drainAtMs: 2_402,
    cutMs: 3_383,
    storeMs: 3_138,
    backMs: 6,
  },
  {
    seed: 507,
    delayMs: 780,
    drainAtMs: 2_414,
    cutMs: 3_540,
    storeMs: 3_055,
    backMs: 6,
  },
].map(({seed, delayMs, drainAtMs, cutMs, storeMs, backMs}) => ({
  seed,
  faults: [
    {kind: 'killAllProxies', atMs: KILLED_MS},
    delayConfiguration(delayMs, [2]),
    {kind: 'drainPrimary', atMs: drainAtMs},
    hidePrimary(2, cutMs),
    {
      kind: 'disconnectStore',
      atMs: storeMs,
      forMs: STARTED_MS + delayMs - backMs - storeMs,
      proxy: 2,
    },
  ],
}));

/**
 * After a start of all proxies, two get their configuration late, and only one of
 * them can be asked to release the primary.
 *
 * @internal
 */
export const CONFIRMED_WITHOUT_CONFIGURATION: readonly HistoryPlan[] = [
  {seed: 994, delayMs: 3_055, cutMs: 3_159, storeMs: 3_496, backMs: 36},
  {seed: 1, delayMs: 3_055, cutMs: 3_159, storeMs: 3_496, backMs: 36},
  {seed: 2, delayMs: 3_055, cutMs: 3_159, storeMs: 3_496, backMs: 36},
  {seed: 3, delayMs: 3_055, cutMs: 3_159, storeMs: 3_496, backMs: 36},
].map(({seed, delayMs, cutMs, storeMs, backMs}) => ({
  seed,
  faults: [
    {kind: 'killAllProxies', atMs: KILLED_MS},
    delayConfiguration(delayMs, [1, 2]),
    hidePrimary(1, cutMs),
    {kind: 'disconnectPeers', atMs: storeMs, forMs: 7_000, proxies: [0, 1]},
    {
      kind: 'disconnectStore',
      atMs: storeMs,
      forMs: STARTED_MS + delayMs - backMs - storeMs,
      proxy: 1,
    },
  ],
}));

function delayConfiguration(
  delayMs: number,
  proxies: readonly number[],
): HistoryFault {
  const forMs = STARTED_MS - KILLED_MS + delayMs;
  return {kind: 'delayConfiguration', atMs: KILLED_MS, forMs, proxies};
}

/** Disconnects the primary from the replicas and all proxies but one. */
function hidePrimary(proxy: number, atMs: number): HistoryFault {
  return {
    kind: 'isolatePrimary',
    atMs,
    forMs: 8_000,
    proxies: findOthers(proxy),
    isFromReplicas: true,
  };
}

/**
 * The log of a drained replica goes to an instance that is listed later. The
 * other replica receives nothing, and the primary and all proxies are lost.
 *
 * @internal
 */
export const UNLISTED_SUCCESSOR: readonly HistoryPlan[] = planWithSeeds([
  {kind: 'drainReplica', atMs: 0, replica: 1},
  {kind: 'stallReplication', atMs: 7_000, forMs: 11_000, replica: 0},
  {kind: 'killAllProxies', atMs: 9_100},
  {kind: 'crashPrimary', atMs: 9_100, forMs: 8_000},
]).map(plan => ({
  ...plan,
  layout: 'shared',
  platformTimes: {
    ...PROMPT_PLATFORM,
    drainedDownMs: 50,
    successorListedMs: 2_500,
  },
}));
