import {failure, success} from '@filbertrun/base/result.js';
import {CONTACT_WINDOW_MS} from '../control/contact_tracker.js';
import {
  ENTRY_VM_PREFIX,
  FAILOVER_LEADER_KEY,
} from '../control/control_record.js';
import {DEPLOYMENT_MUTANTS} from './deployment_mutants.js';
import type {HistoryPlan} from './history_fault.js';
import {planWith, type Mutant} from './mutant.js';
import {RESTORE_MUTANTS} from './restore_mutants.js';
import {ZONE_MUTANTS} from './zone_mutants.js';
import {
  bind,
  bindPeers,
  changeLinks,
  changeListing,
  leaveOut,
  NOT_ASKED,
  pretendFenced,
  repeatFirstDigest,
  WITHOUT_CONTACT_RULE,
} from './mutant_parts.js';

/** The primary and one proxy are cut off together, just after it renewed its lease. */
const CUT_WITH_PROXY: readonly HistoryPlan[] = planWith([
  {
    kind: 'cutPrimary',
    atMs: 3_300,
    forMs: 14_000,
    proxies: [1, 2],
    isFromReplicas: true,
  },
  {kind: 'cutProxy', atMs: 3_300, forMs: 14_000, proxy: 0},
]);

/** The primary is cut off from one replica's side only while it is replaced. */
const CRASHES: readonly HistoryPlan[] = planWith([
  {kind: 'deafReplica', atMs: 500, forMs: 4_000, replica: 0},
  {kind: 'crashPrimary', atMs: 2_000, forMs: 3_000},
]);

/**
 * The primary and one proxy are cut off together, but for one other proxy,
 * which is not the holder of the duty.
 */
const CUT_BUT_FOR_ONE_PEER = [1, 2].flatMap(cutOff =>
  planWith([
    {
      kind: 'cutPrimary',
      atMs: 1_200,
      forMs: 13_000,
      proxies: [0, 3 - cutOff],
      isFromReplicas: true,
    },
    {kind: 'cutStore', atMs: 1_200, forMs: 13_000, proxy: cutOff},
    {
      kind: 'cutPeers',
      atMs: 1_200,
      forMs: 13_000,
      proxies: [0, cutOff],
    },
  ]),
);

/**
 * A proxy that nobody can ask goes on writing at a primary that others have
 * lost, and another replica than the chosen one acknowledges its last commits.
 */
const WRITES_GO_ON: readonly HistoryPlan[] = Array.from(
  {length: 60},
  (_unused, index) => 4_400 + index * 40,
).map(changeMs => ({
  seed: 1,
  faults: [
    {
      kind: 'cutPrimary',
      atMs: 1_200,
      forMs: 9_000,
      proxies: [1, 2],
      isFromReplicas: false,
    },
    {kind: 'cutProxy', atMs: 1_200, forMs: 9_000, proxy: 0},
    {kind: 'deafReplica', atMs: 1_200, forMs: changeMs - 1_200, replica: 0},
    {kind: 'deafReplica', atMs: changeMs, forMs: 3_000, replica: 1},
  ],
}));

/**
 * One proxy alone reaches the primary and goes on writing, acknowledged by one
 * replica, while the store is down and nothing can be changed.
 */
const WRITES_WITHOUT_STORE: readonly HistoryPlan[] = planWith([
  {
    kind: 'cutPrimary',
    atMs: 13_000,
    forMs: 5_000,
    proxies: [1, 2],
    isFromReplicas: false,
  },
  {kind: 'storeDown', atMs: 12_900, forMs: 5_100},
  {kind: 'deafReplica', atMs: 12_900, forMs: 5_100, replica: 0},
]);

const CUTS_OF_REPLICAS: readonly HistoryPlan[] = planWith([
  {
    kind: 'cutPrimary',
    atMs: 1_000,
    forMs: 5_000,
    proxies: [],
    isFromReplicas: true,
  },
]);

const LOST_STORE: readonly HistoryPlan[] = planWith([
  {kind: 'cutProxy', atMs: 500, forMs: 6_000, proxy: 0},
  {kind: 'cutProxy', atMs: 500, forMs: 6_000, proxy: 1},
  {kind: 'crashPrimary', atMs: 4_000, forMs: 9_000},
  {kind: 'crashPrimary', atMs: 9_000, forMs: 9_000},
]);

/** Mutants of the change of a primary. */
const FAILOVER_MUTANTS: readonly Mutant[] = [
  {
    name: 'a lease outlives what the registration states',
    plans: CUT_WITH_PROXY,
    rules: ['staleRead'],
    mutate: options => ({
      ...options,
      ...WITHOUT_CONTACT_RULE,
      controlTable: changeListing(options.controlTable, (key, value) =>
        key === `${ENTRY_VM_PREFIX}${options.self.entryVm}`
          ? {...value, leaseEndStoreMs: Number.MAX_SAFE_INTEGER / 2}
          : value,
      ),
    }),
  },
  {
    name: 'writes do not wait for leases that were not released',
    plans: CUT_WITH_PROXY,
    rules: ['staleRead'],
    mutate: options => ({
      ...options,
      ...WITHOUT_CONTACT_RULE,
      controlTable: changeListing(options.controlTable, (key, value) =>
        key.startsWith('primary/')
          ? {...value, writesFromStoreMs: null}
          : value,
      ),
    }),
  },
  {
    name: 'a proxy relies on a primary longer after its last contact than it states',
    plans: CUT_WITH_PROXY,
    rules: ['staleRead'],
    mutate: options => ({
      ...options,
      ...WITHOUT_CONTACT_RULE,
      controlTable: changeListing(options.controlTable, (key, value) =>
        key.startsWith(ENTRY_VM_PREFIX)
          ? {...value, contactWindowMs: CONTACT_WINDOW_MS}
          : value,
      ),
    }),
  },
  {
    name: 'a proxy confirms records from memory',
    plans: CUT_BUT_FOR_ONE_PEER,
    rules: ['staleRead'],
    mutate: options => ({
      ...options,
      peers: repeatFirstDigest(options.peers),
      relay: {
        listControl: () => Promise.resolve(failure(NOT_ASKED)),
        putControl: () => Promise.resolve(failure(NOT_ASKED)),
      },
    }),
  },
  {
    name: 'a replica that does not answer counts as holding nothing new',
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
    name: 'replicas are not paused',
    plans: WRITES_GO_ON,
    rules: ['lostCommit', 'acknowledgedByReplaced'],
    mutate: options => ({
      ...options,
      instances: pretendFenced(options.instances),
    }),
  },
  {
    name: 'an instance is left out, and what was acknowledged is not asked',
    plans: CRASHES,
    rules: ['lostCommit'],
    mutate: options => ({
      ...options,
      peers: {
        ...bindPeers(options.peers),
        release: async (peer, request) => {
          const answer = await options.peers.release(peer, request);
          return answer.ok
            ? success({...answer.value, highestAcknowledged: null})
            : answer;
        },
      },
      directoryTable: {
        list: async () => leaveOut(await options.directoryTable.list(), 'r2'),
        watch: async (afterRevision, waitMs) =>
          leaveOut(
            await options.directoryTable.watch(afterRevision, waitMs),
            'r2',
          ),
      },
    }),
  },
  {
    name: 'a read does not state the position that it needs',
    plans: CRASHES,
    rules: ['staleRead'],
    mutate: options => ({
      ...options,
      connector: changeLinks(options.connector, link => ({
        execute: (command, timeoutMs) =>
          link.execute(
            command.kind === 'callerStatement'
              ? {...command, requiredPosition: null}
              : command,
            timeoutMs,
          ),
      })),
    }),
  },
  {
    name: 'a lost answer counts as not run',
    plans: [...CUTS_OF_REPLICAS, ...CRASHES],
    rules: ['refusedButKept', 'ranTwice'],
    mutate: options => ({
      ...options,
      connector: changeLinks(options.connector, link => ({
        execute: async (command, timeoutMs) => {
          const result = await link.execute(command, Math.min(timeoutMs, 300));
          return !result.ok && result.error.kind === 'timedOut'
            ? {ok: false, error: {kind: 'notSent', reason: 'mutant'}}
            : result;
        },
      })),
    }),
  },
  {
    name: 'the duty is held by whoever asks',
    plans: [...LOST_STORE, ...CRASHES],
    rules: ['twoHolders'],
    mutate: options => ({
      ...options,
      controlTable: {
        ...bind(options.controlTable),
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
  ...ZONE_MUTANTS,
  ...RESTORE_MUTANTS,
];
