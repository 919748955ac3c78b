import {failure, success} from '@filbertrun/base/result.js';
import {UNNAMED_BACKEND_SERVER} from '../directory/backend_server_entry.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {InstanceControl} from '../backend/instance_control.js';
import type {HistoryFault, HistoryPlan} from './history_fault.js';
import {planWithSeeds, type Mutant} from './mutant.js';
import {bindPeers} from './mutant_wrappers.js';
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

/** The mutants. @internal */
export const PROMOTION_MUTANTS: readonly Mutant[] = [
  {
    name: 'a target is ordered while a proxy that has not released may acknowledge',
    plans: WRITES_BESIDE_ORDER,
    rules: ['lostCommit'],
    mutate: options => ({
      ...options,
      peers: {
        ...bindPeers(options.peers),
        release: async (peer, request) => {
          const response = await options.peers.release(peer, request);
          const {incarnation} = peer;
          return response.ok
            ? response
            : success({
                incarnation,
                highestAcknowledged: null,
                drainedForMs: 0,
              });
        },
      },
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
];
