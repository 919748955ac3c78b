import {success, type Result} from '@filbertrun/base/result.js';
import type {
  ListableTable,
  TableEntry,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import {
  createRevision,
  getEra,
  splitRevision,
} from '@filbertrun/platform/store_revision.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import {FAILOVER_LEADER_KEY} from '../control/control_record.js';
import type {TableChanges} from '../directory/watchable_table.js';
import {PRIMARY_RECORD_PREFIX} from '../group/primary_record.js';
import type {HistoryFault, HistoryPlan} from './history_fault.js';
import {planWithSeeds, type Mutant} from './mutant.js';
import {
  bindTable,
  mapListedValues,
  WITHOUT_CONTACT_RULE,
} from './mutant_wrappers.js';

/**
 * Mutants of the handling of a store that was restored from a backup. Each
 * restore begins a new store era, which is the high part of every revision.
 */

/** Fencing tokens per store era; a token modulo this is its count in the era. */
const TOKENS_PER_ERA = 2 ** 32;

/**
 * The restored store lacks the registration of a proxy, which is isolated
 * together with a primary that no other proxy reaches.
 */
const UNLISTED_PROXY = [2_600, 2_900, 3_200, 3_500].flatMap(isolatedAtMs =>
  [1, 2].flatMap(isolated =>
    planWithSeeds([
      {
        kind: 'isolateProxy',
        atMs: isolatedAtMs,
        forMs: 14_000,
        proxy: isolated,
      },
      {
        kind: 'isolatePrimary',
        atMs: isolatedAtMs,
        forMs: 14_000,
        proxies: [0, 3 - isolated],
        isFromReplicas: true,
      },
      {kind: 'storeRestored', atMs: isolatedAtMs, forMs: 40, ageMs: 60_000},
    ]),
  ),
);

/**
 * The restored store lacks a change of primary, and a proxy that was killed
 * starts again just after the store returns.
 */
const LOST_PRIMARY_CHANGE: readonly HistoryFault[] = [
  {
    kind: 'isolatePrimary',
    atMs: 1_500,
    forMs: 14_000,
    proxies: [1],
    isFromReplicas: true,
  },
  {kind: 'drainPrimary', atMs: 1_000},
  {kind: 'killProxy', atMs: 4_400, proxy: 0},
  {kind: 'storeRestored', atMs: 5_000, forMs: 100, ageMs: 4_800},
];

/**
 * Another proxy acquires failover leadership and replaces a primary in the
 * interval that the restored store lacks. The next change of primary begins once
 * the leases that the store lacks have expired.
 */
const LOST_LEADERS: readonly HistoryPlan[] = [
  ...planWithSeeds([
    {kind: 'killProxy', atMs: 996, proxy: 0},
    {kind: 'crashPrimary', atMs: 1_305, forMs: 1_000},
    {kind: 'storeRestored', atMs: 3_292, forMs: 60, ageMs: 2_505},
    {kind: 'crashPrimary', atMs: 12_282, forMs: 3_000},
  ]),
  ...planWithSeeds([
    {kind: 'stopProxy', atMs: 106, proxy: 0},
    {kind: 'crashPrimary', atMs: 1_113, forMs: 1_000},
    {kind: 'storeRestored', atMs: 3_398, forMs: 60, ageMs: 3_502},
    {kind: 'crashPrimary', atMs: 12_387, forMs: 3_000},
  ]),
];

/** All mutants of this file. @internal */
export const RESTORE_MUTANTS: readonly Mutant[] = [
  {
    name: 'leases of proxies that the restored store does not list are not waited for',
    plans: UNLISTED_PROXY,
    rules: ['staleRead', 'acknowledgedByReplaced'],
    mutate: options => ({
      ...options,
      ...WITHOUT_CONTACT_RULE,
      controlTable: withOldStoreEra(options.controlTable),
    }),
  },
  {
    name: 'the restored configuration counts as newer',
    plans: planWithSeeds([
      {kind: 'changeConfiguration', atMs: 1_000},
      {kind: 'storeRestored', atMs: 2_000, forMs: 60, ageMs: 1_500},
    ]),
    rules: ['configurationRegressed', 'lateConfiguration'],
    mutate: options => ({
      ...options,
      configurationTable: {
        list: async () =>
          raiseRestoredVersions(await options.configurationTable.list()),
        watch: async (afterRevision, waitMs) =>
          raiseRestoredVersions(
            await options.configurationTable.watch(afterRevision, waitMs),
          ),
      },
    }),
  },
  {
    name: 'an older primary record is accepted after a restore',
    plans: planWithSeeds(LOST_PRIMARY_CHANGE),
    rules: ['staleRead', 'acknowledgedByReplaced', 'notRecovered'],
    mutate: options => ({
      ...options,
      controlTable: withoutEra(options.controlTable, key =>
        key.startsWith(PRIMARY_RECORD_PREFIX),
      ),
    }),
  },
  {
    name: 'fencing tokens do not contain the store era',
    plans: LOST_LEADERS,
    rules: ['twoLeaders', 'lowerToken'],
    mutate: options => ({
      ...options,
      promotions: {
        promote: (order, maySend) =>
          options.promotions.promote(
            {
              ...order,
              fencingToken: Math.max(1, order.fencingToken % TOKENS_PER_ERA),
            },
            maySend,
          ),
      },
    }),
  },
];

/** Makes the current store era appear to have begun long ago. */
function withOldStoreEra(table: ListableTable): ListableTable {
  return mapListedValues(table, (key, value) =>
    key === FAILOVER_LEADER_KEY ? {...value, eraSinceStoreMs: -1e9} : value,
  );
}

/** Added to the version of a configuration for each store era. */
const VERSIONS_PER_ERA = 1_000;

function raiseRestoredVersions<E>(
  result: Result<TableChanges<ServiceConfiguration>, E>,
): Result<TableChanges<ServiceConfiguration>, E> {
  if (!result.ok) {
    return result;
  }
  const versionIncrease = getEra(result.value.revision) * VERSIONS_PER_ERA;
  const changes = result.value.changes.map(change =>
    change.kind === 'put'
      ? {
          ...change,
          value: {
            ...change.value,
            version: change.value.version + versionIncrease,
          },
        }
      : change,
  );
  return success({...result.value, changes});
}

/** Returns the records of some keys as if the store had never been restored. */
function withoutEra(
  table: ListableTable,
  shouldHideEra: (key: string) => boolean,
): ListableTable {
  return {
    ...bindTable(table),
    listEntries: async () => hideEra(await table.listEntries(), shouldHideEra),
  };
}

function hideEra<E>(
  listing: Result<TableListing, E>,
  shouldHideEra: (key: string) => boolean,
): Result<TableListing, E> {
  if (!listing.ok) {
    return listing;
  }
  const entries = new Map<string, TableEntry>();
  for (const [key, entry] of listing.value.entries) {
    const {change} = splitRevision(entry.revision);
    const revision = shouldHideEra(key)
      ? (createRevision({era: 0, change}) ?? 0)
      : entry.revision;
    entries.set(key, {...entry, revision});
  }
  return success({...listing.value, entries});
}
