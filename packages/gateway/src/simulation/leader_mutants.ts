import {failure, success} from '@filbertrun/base/result.js';
import type {GatewayOptions} from '../gateway.js';
import {
  PRIMARY_RECORD_PREFIX,
  type RevisedPrimaryRecord,
} from '../group/primary_record.js';
import type {HistoryFault, HistoryPlan} from './history_fault.js';
import {planWithSeeds, type Mutant} from './mutant.js';
import {
  bindPeers,
  mapListedValues,
  PEER_UNREACHABLE,
} from './mutant_wrappers.js';

/**
 * Mutants of the rules that keep the orders of one failover leader apart from
 * those of the next.
 */

const CRASH_AT_MS = 1_700;

/**
 * Time for which the platform is slow: the first order is accepted late, that of
 * the successor at once.
 */
const SLOW_MS = 1_010;

/** How long the platform takes to accept the orders of a history. */
const ACCEPT_DELAYS_MS = [350, 450, 600, 800, 950] as const;

/** The leader goes away right after its order, which is accepted late. */
function planLeaderLoss(
  how: 'stop' | 'kill',
  delaysMs: readonly number[],
): readonly HistoryPlan[] {
  return delaysMs.map(delayMs => {
    const faults: readonly HistoryFault[] = [
      {kind: 'crashPrimary', atMs: CRASH_AT_MS, forMs: 7_000},
      {kind: 'slowPromotions', atMs: CRASH_AT_MS, forMs: SLOW_MS, delayMs},
      {
        kind: 'disturbLeader',
        atMs: CRASH_AT_MS,
        step: 'promotionOrdered',
        afterMs: 20,
        how,
        count: 1,
      },
    ];
    return {seed: 1, faults};
  });
}

/** The successor of a stopped leader acts before its order is accepted. */
const STOPPED_AFTER_ORDER = planLeaderLoss('stop', ACCEPT_DELAYS_MS);

/** The successor of a stopped leader acts before its order takes effect. */
const STOPPED_BEFORE_EFFECT: readonly HistoryPlan[] = STOPPED_AFTER_ORDER.map(
  plan => ({...plan, layout: 'shared', promotionMs: 500}),
);

/** A killed leader is back, and leads, before its order is accepted. */
const KILLED_AFTER_ORDER = planLeaderLoss(
  'kill',
  [1_300, 1_500, 1_700, 1_900, 2_000],
);

/**
 * A replica leads although the record names another primary, which then receives
 * nothing any more.
 *
 * @internal
 */
export const UNRECORDED_PRIMARY: readonly HistoryPlan[] = planWithSeeds([
  {kind: 'lateOrder', atMs: 3_000, replica: 0},
  {kind: 'stallReplication', atMs: 3_010, forMs: 9_000, replica: 0},
]);

/** Hides the target that an earlier leader has recorded. */
function withoutRecordedTarget(options: GatewayOptions): GatewayOptions {
  return {
    ...options,
    controlTable: mapListedValues(options.controlTable, (key, value) =>
      key.startsWith(PRIMARY_RECORD_PREFIX) && value['phase'] === 'changing'
        ? {...value, target: null}
        : value,
    ),
    peers: {
      ...bindPeers(options.peers),
      announce: (peer, revised) =>
        options.peers.announce(peer, withoutTarget(revised)),
    },
  };
}

function withoutTarget({
  record,
  revision,
}: RevisedPrimaryRecord): RevisedPrimaryRecord {
  return record.phase === 'changing'
    ? {record: {...record, target: null}, revision}
    : {record, revision};
}

/** Lets an order end as soon as it is sent, so that nothing waits for it. */
function withForgottenOrders({promotions}: GatewayOptions) {
  return {
    promotions: {
      promote: (
        ...[order, maySend]: Parameters<typeof promotions.promote>
      ): ReturnType<typeof promotions.promote> => {
        void promotions.promote(order, maySend);
        return Promise.resolve(
          failure({kind: 'outcomeUnknown', reason: 'mutant'}),
        );
      },
    },
  };
}

/**
 * The mutants. The target is hidden in both, since a successor that waits for it
 * makes up for a leader that forgets its orders. The build before ignores it.
 *
 * @internal
 */
export const LEADER_MUTANTS: readonly Mutant[] = [
  {
    name: 'a successor ignores the recorded target',
    plans: KILLED_AFTER_ORDER,
    rules: ['lowerToken', 'lostCommit'],
    mutate: withoutRecordedTarget,
  },
  {
    name: 'leadership is released with an order under way',
    plans: STOPPED_AFTER_ORDER,
    rules: ['lowerToken', 'lostCommit'],
    mutate: options => ({
      ...withoutRecordedTarget(options),
      ...withForgottenOrders(options),
    }),
  },
  {
    name: 'no proxy is asked to release an unrecorded primary',
    plans: UNRECORDED_PRIMARY,
    rules: ['staleRead'],
    mutate: options => ({
      ...options,
      peers: {
        ...bindPeers(options.peers),
        release: ({incarnation}) =>
          Promise.resolve(
            success({incarnation, highestAcknowledged: null, drainedForMs: 0}),
          ),
        announce: () => Promise.resolve(failure(PEER_UNREACHABLE)),
      },
    }),
  },
];

/**
 * A successor that ignores the recorded target is harmless after a planned stop,
 * since the leader waits for its order.
 *
 * @internal
 */
export const SUCCESSOR_OF_EARLIER_BUILD = {
  plans: [...STOPPED_AFTER_ORDER, ...STOPPED_BEFORE_EFFECT],
  mutate: withoutRecordedTarget,
} as const;
