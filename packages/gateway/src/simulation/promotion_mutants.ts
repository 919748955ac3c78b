import {failure, success} from '@filbertrun/base/result.js';
import type {InstanceControl} from '../backend/instance_control.js';
import {CONTACT_WINDOW_MS} from '../control/contact_tracker.js';
import {ENTRY_VM_PREFIX} from '../control/control_record.js';
import {
  UNNAMED_BACKEND_SERVER,
  type BackendServerEntry,
} from '../directory/backend_server_entry.js';
import type {GatewayOptions} from '../gateway.js';
import {computeRecordDigest} from '../group/record_digest.js';
import {START_MS, WARM_UP_MS} from './failover_history.js';
import type {HistoryFault, HistoryPlan} from './history_fault.js';
import {LateConfiguration} from './late_configuration.js';
import {planWithSeeds, type Mutant} from './mutant.js';
import {
  assumeReleased,
  bindPeers,
  createEmptyRelease,
  mapListedValues,
  WITHOUT_CONTACT_RULE,
} from './mutant_wrappers.js';
import {RESTART_MS} from './recovery_checker.js';
import {PROMPT_PLATFORM} from './simulated_group.js';

/** Mutants of what the choice of a promotion target rests on. */

/** The primary drains from here on, and the leader does not reach it. */
const DRAIN_AT_MS = 3_000;

/**
 * One proxy is out of reach of the others and goes on writing to the old primary.
 * A replica that is not the target restarts after its pause and confirms them.
 */
const WRITES_BESIDE_ORDER: readonly HistoryPlan[] = planWithSeeds([
  {kind: 'drainPrimary', atMs: DRAIN_AT_MS},
  {
    kind: 'isolatePrimary',
    atMs: DRAIN_AT_MS + 100,
    forMs: 6_000,
    proxies: [0, 2],
    isFromReplicas: false,
  },
  {kind: 'isolateProxy', atMs: DRAIN_AT_MS + 200, forMs: 6_000, proxy: 1},
  {
    kind: 'inPhase',
    atMs: DRAIN_AT_MS,
    trigger: 'promotionOrdered',
    skip: 0,
    afterMs: 0,
    action: {
      kind: 'restartInstance',
      instance: 'secondReplica',
      downMs: 20,
    },
  },
]);

/** The primary drains while all proxies start again. */
const RESTARTED_AT_MS = DRAIN_AT_MS;

/** The listing of the restarted proxies is over, and the change not yet begun. */
const CUT_AT_MS = RESTARTED_AT_MS + 200;

/** The releases of the change are answered, and nothing is recorded yet. */
const RELEASED_AT_MS = RESTARTED_AT_MS + 650;

/** Proxies out of reach are so for the rest of a history. */
const CUT_FOR_MS = 6_000;

/**
 * All proxies start again, and `e2` loses the store. The leader does not reach
 * the old primary, and a replica that is not the target restarts after its pause.
 */
const CHANGE_AFTER_RESTART: readonly HistoryFault[] = [
  {kind: 'killAllProxies', atMs: RESTARTED_AT_MS - RESTART_MS},
  {kind: 'drainPrimary', atMs: RESTARTED_AT_MS - 500},
  {
    kind: 'isolatePrimary',
    atMs: RESTARTED_AT_MS + 8,
    forMs: CUT_FOR_MS,
    proxies: [0],
    isFromReplicas: false,
  },
  {kind: 'disconnectStore', atMs: CUT_AT_MS, forMs: CUT_FOR_MS, proxy: 1},
  {
    kind: 'inPhase',
    atMs: RESTARTED_AT_MS - 500,
    trigger: 'promotionOrdered',
    skip: 0,
    afterMs: 0,
    action: {
      kind: 'restartInstance',
      instance: 'secondReplica',
      downMs: 20,
    },
  },
];

/** Only the leader reaches `e2`, and only until it has asked for the release. */
const RELEASED_BEFORE_CONFIGURATION: HistoryPlan = {
  seed: 1,
  promotionMs: 1_000,
  faults: [
    ...CHANGE_AFTER_RESTART,
    {
      kind: 'disconnectPeers',
      atMs: CUT_AT_MS,
      forMs: CUT_FOR_MS,
      proxies: [1, 2],
    },
    {
      kind: 'disconnectPeers',
      atMs: RELEASED_AT_MS,
      forMs: CUT_FOR_MS,
      proxies: [0, 1],
    },
  ],
};

/** Only `e3`, which has released, reaches `e2`, which has not. */
const CONFIRMED_WITHOUT_CONFIGURATION: HistoryPlan = {
  seed: 1,
  promotionMs: 1_000,
  faults: [
    ...CHANGE_AFTER_RESTART,
    {
      kind: 'disconnectPeers',
      atMs: CUT_AT_MS,
      forMs: CUT_FOR_MS,
      proxies: [0, 1],
    },
  ],
};

/** Time on the clock for a time from the end of the warm-up. */
function getClockMs(atMs: number): number {
  return START_MS + WARM_UP_MS + atMs;
}

/** `e2` gets its configuration just after the release. */
const LATE_CONFIGURATION = LateConfiguration.create(
  new Map([['e2-5', getClockMs(RESTARTED_AT_MS + 700)]]),
);

/** `e2` gets its configuration after the order, and `e3` still later. */
const LATER_CONFIGURATION = LateConfiguration.create(
  new Map([
    ['e2-5', getClockMs(RESTARTED_AT_MS + 2_500)],
    ['e3-6', getClockMs(RESTARTED_AT_MS + 4_000)],
  ]),
);

/** End of the drain of a replica that begins to drain at the start. */
const DRAINED_AT_MS = 9_000;

/**
 * The successor of a drained replica, which is not listed yet, and the primary
 * alone hold the last commits when the primary and all proxies are lost.
 */
const UNLISTED_SUCCESSOR_FAULTS: readonly HistoryFault[] = [
  {kind: 'drainReplica', atMs: 0, replica: 1},
  {kind: 'stallReplication', atMs: 7_000, forMs: 11_000, replica: 0},
  {kind: 'killAllProxies', atMs: DRAINED_AT_MS + 100},
  {kind: 'crashPrimary', atMs: DRAINED_AT_MS + 100, forMs: 8_000},
];

const UNLISTED_SUCCESSOR: readonly HistoryPlan[] = planWithSeeds(
  UNLISTED_SUCCESSOR_FAULTS,
).map(plan => ({
  ...plan,
  layout: 'shared',
  platformTimes: {
    ...PROMPT_PLATFORM,
    drainedDownMs: 50,
    successorListedMs: 2_500,
  },
}));

/** Lets no control command reach an instance whose id is unknown. */
function withoutUnnamed(instances: InstanceControl): InstanceControl {
  const isUnnamed = ({backendServer}: BackendServerEntry) =>
    backendServer === UNNAMED_BACKEND_SERVER;
  const refused = () =>
    Promise.resolve(failure({kind: 'wrongServer' as const}));
  return {
    getStatus: server =>
      isUnnamed(server) ? refused() : instances.getStatus(server),
    stepDown: (server, term) =>
      isUnnamed(server) ? refused() : instances.stepDown(server, term),
    pauseReplication: (server, term) =>
      isUnnamed(server) ? refused() : instances.pauseReplication(server, term),
  };
}

/** Lets a process without a configuration forget each release. */
function withForgottenReleases(options: GatewayOptions): GatewayOptions {
  const {peers} = options;
  return {
    ...LATE_CONFIGURATION.delay(options),
    peers: {
      ...bindPeers(peers),
      release: (peer, request) =>
        LATE_CONFIGURATION.hasConfiguration(peer.entryVm)
          ? peers.release(peer, request)
          : Promise.resolve(success(createEmptyRelease(peer))),
    },
  };
}

/** Lets a process without a configuration confirm that there is no record. */
function withEmptyConfirmations(options: GatewayOptions): GatewayOptions {
  const {peers} = options;
  return {
    ...LATER_CONFIGURATION.delay(options),
    peers: {
      ...bindPeers(peers),
      compareRecords: async peer => {
        const response = await peers.compareRecords(peer);
        return response.ok &&
          !LATER_CONFIGURATION.hasConfiguration(peer.entryVm)
          ? success({digest: computeRecordDigest(new Map())})
          : response;
      },
    },
  };
}

/** The mutants. @internal */
export const PROMOTION_MUTANTS: readonly Mutant[] = [
  {
    name: 'a target is ordered while a proxy that has not released may acknowledge',
    plans: WRITES_BESIDE_ORDER,
    rules: ['lostCommit'],
    mutate: options => ({...options, peers: assumeReleased(options.peers)}),
  },
  {
    name: 'a proxy acknowledges writes for longer after the last contact than it registered',
    plans: WRITES_BESIDE_ORDER,
    rules: ['lostCommit'],
    mutate: options => ({
      ...options,
      ...WITHOUT_CONTACT_RULE,
      controlTable: mapListedValues(options.controlTable, (key, value) =>
        key.startsWith(ENTRY_VM_PREFIX)
          ? {...value, contactWindowMs: CONTACT_WINDOW_MS}
          : value,
      ),
    }),
  },
  {
    name: 'the log of an unlisted successor at a known address does not count',
    plans: UNLISTED_SUCCESSOR,
    rules: ['lostCommit'],
    mutate: options => ({
      ...options,
      instances: withoutUnnamed(options.instances),
    }),
  },
  {
    name: 'a process forgets a release before it has a configuration',
    plans: [RELEASED_BEFORE_CONFIGURATION],
    rules: ['lostCommit'],
    mutate: withForgottenReleases,
  },
  {
    name: 'a process without a configuration confirms records',
    plans: [CONFIRMED_WITHOUT_CONFIGURATION],
    rules: ['lostCommit'],
    mutate: withEmptyConfirmations,
  },
];
