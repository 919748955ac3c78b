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
import type {HistoryFault} from './history_fault.js';
import {planWith, type Mutant} from './mutant.js';
import {bind, changeListing} from './mutant_parts.js';

/** Mutants of what holds after the store came back from a copy. */

/** Tokens that one era has room for; only the count is left without the era. */
const TOKENS_PER_ERA = 2 ** 32;

/**
 * A proxy whose registration is forgotten is cut off with a primary that all
 * others have lost.
 */
const FORGOTTEN_PROXY = [2_600, 2_900, 3_200, 3_500].flatMap(cutAtMs =>
  [1, 2].flatMap(cutOff =>
    planWith([
      {kind: 'cutProxy', atMs: cutAtMs, forMs: 14_000, proxy: cutOff},
      {
        kind: 'cutPrimary',
        atMs: cutAtMs,
        forMs: 14_000,
        proxies: [0, 3 - cutOff],
        isFromReplicas: true,
      },
      {kind: 'storeRestored', atMs: cutAtMs, forMs: 40, ageMs: 60_000},
    ]),
  ),
);

/** A change of primary is forgotten, and a proxy starts a second after its end. */
const FORGOTTEN_CHANGE: readonly HistoryFault[] = [
  {
    kind: 'cutPrimary',
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
 * A holder of the duty takes over and promotes in the seconds that are
 * forgotten, and is killed; another one takes over after it.
 */
const FORGOTTEN_HOLDERS = [1, 2].flatMap(holder =>
  planWith([
    {kind: 'cutProxy', atMs: 500, forMs: 16_000, proxy: 0},
    {kind: 'crashPrimary', atMs: 4_500, forMs: 1_500},
    {kind: 'storeRestored', atMs: 7_500, forMs: 60, ageMs: 7_100},
    {kind: 'killProxy', atMs: 7_480, proxy: holder},
    {kind: 'crashPrimary', atMs: 11_000, forMs: 3_000},
  ]),
);

/** All of them. @internal */
export const RESTORE_MUTANTS: readonly Mutant[] = [
  {
    name: 'proxies that the store has forgotten are not waited for',
    plans: FORGOTTEN_PROXY,
    rules: ['staleRead', 'acknowledgedByReplaced'],
    mutate: options => ({
      ...options,
      controlTable: withOldEra(options.controlTable),
    }),
  },
  {
    name: 'the configuration of the copy is taken for a newer one',
    plans: planWith([
      {kind: 'changeConfiguration', atMs: 1_000},
      {kind: 'storeRestored', atMs: 2_000, forMs: 60, ageMs: 1_500},
    ]),
    rules: ['configurationRegressed', 'lateConfiguration'],
    mutate: options => ({
      ...options,
      configurationTable: {
        list: async () => raiseCopied(await options.configurationTable.list()),
        watch: async (afterRevision, waitMs) =>
          raiseCopied(
            await options.configurationTable.watch(afterRevision, waitMs),
          ),
      },
    }),
  },
  {
    name: 'an older record of a primary is believed after a restore',
    plans: planWith(FORGOTTEN_CHANGE),
    rules: ['staleRead', 'acknowledgedByReplaced', 'notRecovered'],
    mutate: options => ({
      ...options,
      controlTable: withoutEra(options.controlTable, key =>
        key.startsWith(PRIMARY_RECORD_PREFIX),
      ),
    }),
  },
  {
    name: 'fencing tokens are counted without the era',
    plans: FORGOTTEN_HOLDERS,
    rules: ['twoHolders', 'lowerToken'],
    mutate: options => ({
      ...options,
      promotions: {
        promote: order =>
          options.promotions.promote({
            ...order,
            fencingToken: Math.max(1, order.fencingToken % TOKENS_PER_ERA),
          }),
      },
    }),
  },
];

/** Says that the present era began long ago. */
function withOldEra(table: ListableTable): ListableTable {
  return changeListing(table, (key, value) =>
    key === FAILOVER_LEADER_KEY ? {...value, eraSinceStoreMs: -1e9} : value,
  );
}

/** Versions by which the configuration of a later era seems newer. */
const VERSIONS_PER_ERA = 1_000;

function raiseCopied<E>(
  result: Result<TableChanges<ServiceConfiguration>, E>,
): Result<TableChanges<ServiceConfiguration>, E> {
  if (!result.ok) {
    return result;
  }
  const raise = getEra(result.value.revision) * VERSIONS_PER_ERA;
  const changes = result.value.changes.map(change =>
    change.kind === 'put'
      ? {
          ...change,
          value: {...change.value, version: change.value.version + raise},
        }
      : change,
  );
  return success({...result.value, changes});
}

/** Shows the records of some keys as if the store had never come back from a copy. */
function withoutEra(
  table: ListableTable,
  isHidden: (key: string) => boolean,
): ListableTable {
  return {
    ...bind(table),
    listEntries: async () => hideEra(await table.listEntries(), isHidden),
  };
}

function hideEra<E>(
  listing: Result<TableListing, E>,
  isHidden: (key: string) => boolean,
): Result<TableListing, E> {
  if (!listing.ok) {
    return listing;
  }
  const entries = new Map<string, TableEntry>();
  for (const [key, entry] of listing.value.entries) {
    const {change} = splitRevision(entry.revision);
    const revision = isHidden(key)
      ? (createRevision({era: 0, change}) ?? 0)
      : entry.revision;
    entries.set(key, {...entry, revision});
  }
  return success({...listing.value, entries});
}
