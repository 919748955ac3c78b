import {UNNAMED_BACKEND_SERVER} from '../directory/backend_server_entry.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {
  PlatformCallError,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import type {
  InstanceControl,
  InstanceControlError,
  InstanceStatus,
} from '../backend/instance_control.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {
  TableChanges,
  WatchableTable,
} from '../directory/watchable_table.js';
import {planWithSeeds, type Mutant} from './mutant.js';
import {bindTable, PEER_UNREACHABLE} from './mutant_wrappers.js';

/** Mutants of the directory, configuration, addresses and recovery. */

const EITHER_REPLICA = [0, 1] as const;

/** All mutants of this file. @internal */
export const DEPLOYMENT_MUTANTS: readonly Mutant[] = [
  {
    name: 'the handshake does not name the instance',
    plans: EITHER_REPLICA.flatMap(replica =>
      planWithSeeds([{kind: 'reuseAddress', atMs: 1_000, replica}]),
    ),
    rules: ['wrongService'],
    mutate: options => ({
      ...options,
      connector: {
        checkReachable: (server, timeoutMs) =>
          options.connector.checkReachable(server, timeoutMs),
        connect: (server, identity, timeoutMs) =>
          options.connector.connect(
            {...server, backendServer: UNNAMED_BACKEND_SERVER},
            identity,
            timeoutMs,
          ),
      },
    }),
  },
  {
    name: 'a draining instance counts as active',
    plans: EITHER_REPLICA.flatMap(replica =>
      planWithSeeds([{kind: 'drainReplica', atMs: 500, replica}]),
    ),
    rules: ['usedAfterDrain'],
    mutate: options => ({
      ...options,
      directoryTable: mapValues(options.directoryTable, entry => ({
        ...entry,
        state: 'active' as const,
      })),
    }),
  },
  {
    name: 'an unreachable instance counts as replaced at its address',
    plans: planWithSeeds([
      {kind: 'drainReplica', atMs: 0, replica: 0},
      {kind: 'isolateZone', atMs: 1_500, forMs: 12_000, replica: 0, proxy: 0},
    ]),
    rules: ['lostCommit', 'acknowledgedByReplaced'],
    mutate: options => ({
      ...options,
      instances: reportUnreachableAsReplaced(options.instances),
    }),
  },
  {
    name: 'a new process does not read the instance roster',
    plans: planWithSeeds([
      {kind: 'isolateZone', atMs: 1_823, forMs: 6_771, replica: 0, proxy: 2},
      {kind: 'killProxy', atMs: 4_810, proxy: 0},
    ]),
    rules: ['lostCommit', 'staleRead'],
    mutate: options => ({
      ...options,
      rosterTable: {
        ...bindTable(options.controlTable),
        getEntry: () => Promise.resolve(success(null)),
        listEntries: () => Promise.resolve(success(EMPTY_TABLE)),
        putEntries: () => Promise.resolve(failure(TABLE_UNAVAILABLE)),
      },
    }),
  },
  {
    name: 'configuration changes are ignored',
    plans: planWithSeeds([{kind: 'changeConfiguration', atMs: 1_000}]),
    rules: ['lateConfiguration'],
    mutate: options => ({
      ...options,
      configurationTable: {
        list: () => options.configurationTable.list(),
        watch: async (afterRevision, waitMs) => {
          const result = await options.configurationTable.watch(
            afterRevision,
            waitMs,
          );
          return result.ok
            ? success({changes: [], revision: afterRevision})
            : result;
        },
      },
    }),
  },
  {
    name: 'an old configuration counts as newer',
    plans: planWithSeeds([{kind: 'changeConfiguration', atMs: 1_000}]),
    rules: ['configurationRegressed', 'lateConfiguration'],
    mutate: options => ({
      ...options,
      configurationTable: replayFirstVersion(options.configurationTable),
    }),
  },
  {
    name: 'a restarted process can not read the control table',
    plans: planWithSeeds([{kind: 'killAllProxies', atMs: 500}]),
    rules: ['notRecovered'],
    mutate: options => {
      const [, incarnation] = options.self.incarnation.split('-');
      const isFirst = Number(incarnation) <= FIRST_PROCESS_COUNT;
      return {
        ...options,
        controlTable: {
          ...bindTable(options.controlTable),
          listEntries: () =>
            isFirst
              ? options.controlTable.listEntries()
              : Promise.resolve(failure(TABLE_UNAVAILABLE)),
        },
        relay: {
          listControl: () => Promise.resolve(failure(PEER_UNREACHABLE)),
          putControl: () => Promise.resolve(failure(PEER_UNREACHABLE)),
        },
      };
    },
  },
];

const EMPTY_TABLE: TableListing = {
  entries: new Map(),
  revision: 1,
  storeTimeMs: 0,
};

const TABLE_UNAVAILABLE: PlatformCallError = {
  kind: 'unavailable',
  reason: 'mutant',
};

/** Number of processes that a history starts before the first kill. */
const FIRST_PROCESS_COUNT = 3;

/** Converts the values that a table returns. */
function mapValues(
  table: WatchableTable<BackendServerEntry>,
  mapValue: (value: BackendServerEntry) => BackendServerEntry,
): WatchableTable<BackendServerEntry> {
  const convert = <E>(
    result: Result<TableChanges<BackendServerEntry>, E>,
  ): Result<TableChanges<BackendServerEntry>, E> =>
    result.ok
      ? success({
          ...result.value,
          changes: result.value.changes.map(entry =>
            entry.kind === 'put'
              ? {...entry, value: mapValue(entry.value)}
              : entry,
          ),
        })
      : result;
  return {
    list: async () => convert(await table.list()),
    watch: async (afterRevision, waitMs) =>
      convert(await table.watch(afterRevision, waitMs)),
  };
}

/** Returns the first configuration again as a newer version after each change. */
function replayFirstVersion(
  table: WatchableTable<ServiceConfiguration>,
): WatchableTable<ServiceConfiguration> {
  let first: ServiceConfiguration | null = null;
  let isReplayDue = false;
  return {
    list: async () => {
      const result = await table.list();
      if (result.ok) {
        const [change] = result.value.changes;
        first ??= change?.kind === 'put' ? change.value : null;
      }
      return result;
    },
    watch: async (afterRevision, waitMs) => {
      if (isReplayDue && first !== null) {
        isReplayDue = false;
        const revision = afterRevision + 1;
        const value = {...first, version: revision};
        return success({
          changes: [{kind: 'put' as const, key: 'config', revision, value}],
          revision,
        });
      }
      const result = await table.watch(afterRevision, waitMs);
      isReplayDue = result.ok && result.value.changes.length > 0;
      return result;
    },
  };
}

type ControlResult = Result<InstanceStatus, InstanceControlError>;

/** Reports every unreachable instance as replaced by another at its address. */
function reportUnreachableAsReplaced(
  instances: InstanceControl,
): InstanceControl {
  const convert = (result: ControlResult): ControlResult =>
    !result.ok && result.error.kind === 'unreachable'
      ? failure({kind: 'wrongServer'})
      : result;
  return {
    getStatus: async server => convert(await instances.getStatus(server)),
    stepDown: async (server, term) =>
      convert(await instances.stepDown(server, term)),
    pauseReplication: async (server, term) =>
      convert(await instances.pauseReplication(server, term)),
  };
}
