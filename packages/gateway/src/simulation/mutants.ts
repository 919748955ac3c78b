import {failure, success} from '@filbertrun/base/result.js';
import {CONTACT_WINDOW_MS} from '../control/contact_tracker.js';
import {
  ENTRY_VM_PREFIX,
  FAILOVER_LEADER_KEY,
} from '../control/control_record.js';
import {DEPLOYMENT_MUTANTS} from './deployment_mutants.js';
import type {HistoryPlan} from './history_fault.js';
import {LEADER_MUTANTS} from './leader_mutants.js';
import {planWithSeeds, type Mutant} from './mutant.js';
import {PROMOTION_MUTANTS} from './promotion_mutants.js';
import {RESTORE_MUTANTS} from './restore_mutants.js';
import {ZONE_MUTANTS} from './zone_mutants.js';
import {
  bindTable,
  bindPeers,
  overrideExecute,
  mapListedValues,
  omitKey,
  PEER_UNREACHABLE,
  assumeReleased,
  reportAllPaused,
  repeatFirstDigest,
  WITHOUT_CONTACT_RULE,
} from './mutant_wrappers.js';

/**
 * The primary and one proxy are isolated together just after the proxy renewed
 * its lease.
 */
const PRIMARY_ISOLATED_WITH_PROXY: readonly HistoryPlan[] = planWithSeeds([
  {
    kind: 'isolatePrimary',
    atMs: 3_300,
    forMs: 14_000,
    proxies: [1, 2],
    isFromReplicas: true,
  },
  {kind: 'isolateProxy', atMs: 3_300, forMs: 14_000, proxy: 0},
]);

/** The primary crashes while one replica receives nothing from it. */
const CRASH_AFTER_STALL: readonly HistoryPlan[] = planWithSeeds([
  {kind: 'stallReplication', atMs: 500, forMs: 4_000, replica: 0},
  {kind: 'crashPrimary', atMs: 2_000, forMs: 3_000},
]);

/**
 * The primary and one proxy are isolated together; the proxy still reaches one
 * peer, which is not the failover leader.
 */
const ISOLATED_BUT_FOR_ONE_PEER = [1, 2].flatMap(isolated =>
  planWithSeeds([
    {
      kind: 'isolatePrimary',
      atMs: 1_200,
      forMs: 13_000,
      proxies: [0, 3 - isolated],
      isFromReplicas: true,
    },
    {kind: 'disconnectStore', atMs: 1_200, forMs: 13_000, proxy: isolated},
    {
      kind: 'disconnectPeers',
      atMs: 1_200,
      forMs: 13_000,
      proxies: [0, isolated],
    },
  ]),
);

/**
 * A proxy that its peers can't reach keeps writing to a primary that they have
 * lost. The last commits are acknowledged by a replica other than the promotion
 * target. The plans switch the acknowledging replica at 60 different times,
 * which are 40 ms apart.
 */
const WRITES_DURING_CHANGE: readonly HistoryPlan[] = Array.from(
  {length: 60},
  (_unused, index) => 4_400 + index * 40,
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

/**
 * Only one proxy reaches the primary and keeps writing, acknowledged by one
 * replica, while the store is down and the primary can't be changed.
 */
const WRITES_WITHOUT_STORE: readonly HistoryPlan[] = planWithSeeds([
  {
    kind: 'isolatePrimary',
    atMs: 13_000,
    forMs: 5_000,
    proxies: [1, 2],
    isFromReplicas: false,
  },
  {kind: 'storeDown', atMs: 12_900, forMs: 5_100},
  {kind: 'stallReplication', atMs: 12_900, forMs: 5_100, replica: 0},
]);

const REPLICAS_DISCONNECTED: readonly HistoryPlan[] = planWithSeeds([
  {
    kind: 'isolatePrimary',
    atMs: 1_000,
    forMs: 5_000,
    proxies: [],
    isFromReplicas: true,
  },
]);

const TWO_PROXIES_ISOLATED: readonly HistoryPlan[] = planWithSeeds([
  {kind: 'isolateProxy', atMs: 500, forMs: 6_000, proxy: 0},
  {kind: 'isolateProxy', atMs: 500, forMs: 6_000, proxy: 1},
  {kind: 'crashPrimary', atMs: 4_000, forMs: 9_000},
  {kind: 'crashPrimary', atMs: 9_000, forMs: 9_000},
]);

/** Mutants of the change of a primary. */
const FAILOVER_MUTANTS: readonly Mutant[] = [
  {
    name: 'a lease lasts longer than the registration states',
    plans: PRIMARY_ISOLATED_WITH_PROXY,
    rules: ['staleRead'],
    mutate: options => ({
      ...options,
      ...WITHOUT_CONTACT_RULE,
      controlTable: mapListedValues(options.controlTable, (key, value) =>
        key === `${ENTRY_VM_PREFIX}${options.self.entryVm}`
          ? {...value, leaseEndStoreMs: Number.MAX_SAFE_INTEGER / 2}
          : value,
      ),
    }),
  },
  {
    name: 'unreleased leases are not waited for',
    plans: PRIMARY_ISOLATED_WITH_PROXY,
    rules: ['staleRead'],
    // Neither the order nor the first write waits.
    mutate: options => ({
      ...options,
      ...WITHOUT_CONTACT_RULE,
      peers: assumeReleased(options.peers),
    }),
  },
  {
    name: 'a proxy relies on its primary for longer after the last contact than it registered',
    plans: PRIMARY_ISOLATED_WITH_PROXY,
    rules: ['staleRead'],
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
    name: 'a proxy confirms records with an outdated digest',
    plans: ISOLATED_BUT_FOR_ONE_PEER,
    rules: ['staleRead'],
    mutate: options => ({
      ...options,
      peers: repeatFirstDigest(options.peers),
      relay: {
        listControl: () => Promise.resolve(failure(PEER_UNREACHABLE)),
        putControl: () => Promise.resolve(failure(PEER_UNREACHABLE)),
      },
    }),
  },
  {
    name: 'the position of one replica is read as zero',
    plans: WRITES_WITHOUT_STORE,
    rules: ['staleRead'],
    mutate: options => ({
      ...options,
      instances: {
        getStatus: async server => {
          const status = await options.instances.getStatus(server);
          return status.ok && server.backendServer === 'r2'
            ? success({
                ...status.value,
                receivedPosition: {term: 1, position: 0},
              })
            : status;
        },
        stepDown: (server, term) => options.instances.stepDown(server, term),
        pauseReplication: (server, term) =>
          options.instances.pauseReplication(server, term),
      },
    }),
  },
  {
    name: 'replication is not paused before a promotion',
    plans: WRITES_DURING_CHANGE,
    rules: ['lostCommit', 'acknowledgedByReplaced'],
    // Nothing is lost without the pause alone, since no target is chosen before
    // every proxy has released. So the proxies are not waited for either.
    mutate: options => ({
      ...options,
      ...WITHOUT_CONTACT_RULE,
      peers: assumeReleased(options.peers),
      instances: reportAllPaused(options.instances),
    }),
  },
  {
    name: 'an instance is left out, and the acknowledged positions are not collected',
    plans: CRASH_AFTER_STALL,
    rules: ['lostCommit'],
    mutate: options => ({
      ...options,
      peers: {
        ...bindPeers(options.peers),
        release: async (peer, request) => {
          const response = await options.peers.release(peer, request);
          return response.ok
            ? success({...response.value, highestAcknowledged: null})
            : response;
        },
      },
      directoryTable: {
        list: async () => omitKey(await options.directoryTable.list(), 'r2'),
        watch: async (afterRevision, waitMs) =>
          omitKey(
            await options.directoryTable.watch(afterRevision, waitMs),
            'r2',
          ),
      },
    }),
  },
  {
    name: 'reads do not send their required position',
    plans: CRASH_AFTER_STALL,
    rules: ['staleRead'],
    mutate: options => ({
      ...options,
      connector: overrideExecute(options.connector, connection => ({
        execute: (command, timeoutMs) =>
          connection.execute(
            command.kind === 'callerStatement'
              ? {...command, requiredPosition: null}
              : command,
            timeoutMs,
          ),
      })),
    }),
  },
  {
    name: 'a lost response counts as not run',
    plans: [...REPLICAS_DISCONNECTED, ...CRASH_AFTER_STALL],
    rules: ['refusedButKept', 'ranTwice'],
    mutate: options => ({
      ...options,
      connector: overrideExecute(options.connector, connection => ({
        execute: async (command, timeoutMs) => {
          const result = await connection.execute(
            command,
            Math.min(timeoutMs, 300),
          );
          return !result.ok && result.error.kind === 'timedOut'
            ? {ok: false, error: {kind: 'notSent', reason: 'mutant'}}
            : result;
        },
      })),
    }),
  },
  {
    name: 'every proxy that asks for the failover leadership gets it',
    plans: [...TWO_PROXIES_ISOLATED, ...CRASH_AFTER_STALL],
    rules: ['twoLeaders'],
    mutate: options => ({
      ...options,
      controlTable: {
        ...bindTable(options.controlTable),
        putEntry: async write =>
          write.key === FAILOVER_LEADER_KEY
            ? success({value: write.value, revision: 1_000_000})
            : options.controlTable.putEntry(write),
      },
    }),
  },
];

/** All mutants. @internal */
export const MUTANTS: readonly Mutant[] = [
  ...FAILOVER_MUTANTS,
  ...DEPLOYMENT_MUTANTS,
  ...LEADER_MUTANTS,
  ...PROMOTION_MUTANTS,
  ...ZONE_MUTANTS,
  ...RESTORE_MUTANTS,
];
