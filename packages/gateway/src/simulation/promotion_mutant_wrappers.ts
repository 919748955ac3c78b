import {failure, success} from '@filbertrun/base/result.js';
import type {
  ListableTable,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import type {InstanceControl} from '../backend/instance_control.js';
import {CONTACT_WINDOW_MS} from '../control/contact_tracker.js';
import {ENTRY_VM_PREFIX} from '../control/control_record.js';
import {LEASE_DURATION_MS} from '../control/entry_vm_registration.js';
import {UNNAMED_BACKEND_SERVER} from '../directory/backend_server_entry.js';
import type {GatewayOptions} from '../gateway.js';
import {computeRecordDigest} from '../group/record_digest.js';
import type {PeerClient} from '../peer/peer_client.js';
import {
  bindPeers,
  bindTable,
  mapListedValues,
  WITHOUT_CONTACT_RULE,
} from './mutant_wrappers.js';

/** Wrappers for the mutants of promotions. */

/** Counts a proxy that does not respond to a release request as released. */
export function releaseUnresponsive(peers: PeerClient): PeerClient {
  return {
    ...bindPeers(peers),
    release: async (peer, request) => {
      const response = await peers.release(peer, request);
      const {incarnation} = peer;
      return response.ok
        ? response
        : success({incarnation, highestAcknowledged: null, drainedForMs: 0});
    },
  };
}

/** Lists the leases of all other proxies as expired. */
export function expireOtherLeases(options: GatewayOptions): ListableTable {
  const ownKey = getOwnKey(options);
  return mapListedValues(options.controlTable, (key, value) =>
    key.startsWith(ENTRY_VM_PREFIX) && key !== ownKey
      ? {...value, leaseEndStoreMs: 0}
      : value,
  );
}

/** Registers the default contact window, but uses primaries without contact. */
export function understateContactWindow(
  options: GatewayOptions,
): GatewayOptions {
  return {
    ...options,
    ...WITHOUT_CONTACT_RULE,
    controlTable: mapListedValues(options.controlTable, (key, value) =>
      key.startsWith(ENTRY_VM_PREFIX)
        ? {...value, contactWindowMs: CONTACT_WINDOW_MS}
        : value,
    ),
  };
}

const WRONG_SERVER = failure({kind: 'wrongServer'} as const);

/** Responds to requests without an id as if another service had the address. */
export function refuseUnnamed(instances: InstanceControl): InstanceControl {
  const isUnnamed = ({backendServer}: {readonly backendServer: string}) =>
    backendServer === UNNAMED_BACKEND_SERVER;
  return {
    getStatus: async server =>
      isUnnamed(server) ? WRONG_SERVER : instances.getStatus(server),
    stepDown: async (server, term) =>
      isUnnamed(server) ? WRONG_SERVER : instances.stepDown(server, term),
    pauseReplication: async (server, term) =>
      isUnnamed(server)
        ? WRONG_SERVER
        : instances.pauseReplication(server, term),
  };
}

/** Entry VMs whose current process has received a configuration. */
const configuredEntryVms = new Set<string>();

/** Tracks whether a new process has received its configuration. */
function trackConfiguration(options: GatewayOptions): GatewayOptions {
  const {self, configurationTable} = options;
  configuredEntryVms.delete(self.entryVm);
  return {
    ...options,
    configurationTable: {
      list: async () => {
        const listing = await configurationTable.list();
        if (listing.ok) {
          configuredEntryVms.add(self.entryVm);
        }
        return listing;
      },
      watch: (afterRevision, waitMs) =>
        configurationTable.watch(afterRevision, waitMs),
    },
  };
}

/** Lets a process without a configuration forget the group that it released. */
export function forgetEarlyReleases(options: GatewayOptions): GatewayOptions {
  const {peers} = options;
  return {
    ...trackConfiguration(options),
    peers: {
      ...bindPeers(peers),
      release: (peer, request) =>
        peers.release(
          peer,
          configuredEntryVms.has(peer.entryVm)
            ? request
            : {...request, databaseGroup: 'forgotten'},
        ),
    },
  };
}

/** Lets processes without a configuration confirm the records of each other. */
export function confirmWithoutGroups(options: GatewayOptions): GatewayOptions {
  const {peers} = options;
  const digest = computeRecordDigest(new Map());
  return {
    ...trackConfiguration(options),
    peers: {
      ...bindPeers(peers),
      compareRecords: async peer => {
        const response = await peers.compareRecords(peer);
        return response.ok && !configuredEntryVms.has(peer.entryVm)
          ? success({digest})
          : response;
      },
    },
  };
}

/** Adds the registration of the process to each listing that lacks it. */
function assumeRegistration(options: GatewayOptions): ListableTable {
  const {controlTable, self} = options;
  return {
    ...bindTable(controlTable),
    listEntries: async () => {
      const listing = await controlTable.listEntries();
      if (!listing.ok) {
        return listing;
      }
      const own = listing.value.entries.get(getOwnKey(options));
      const isListed = own?.value.includes(`"${self.incarnation}"`) === true;
      return isListed ? listing : success(addOwn(listing.value, options));
    },
  };
}

function addOwn(
  listing: TableListing,
  {self, contactWindowMs}: GatewayOptions,
): TableListing {
  const key = `${ENTRY_VM_PREFIX}${self.entryVm}`;
  const value = JSON.stringify({
    ...self,
    leaseEndStoreMs: listing.storeTimeMs + LEASE_DURATION_MS,
    contactWindowMs,
    registeredSinceStoreMs: null,
  });
  const revision = listing.entries.get(key)?.revision ?? 0;
  return {
    ...listing,
    entries: new Map([...listing.entries, [key, {value, revision}]]),
  };
}

/** Stores no registration of the process, which takes itself for registered. */
export function omitRegistration(options: GatewayOptions): ListableTable {
  const {controlTable} = options;
  const ownKey = getOwnKey(options);
  const omitting: ListableTable = {
    ...bindTable(controlTable),
    putEntry: write =>
      write.key === ownKey
        ? Promise.resolve(success({value: write.value, revision: 1}))
        : controlTable.putEntry(write),
    putEntries: async writes => {
      const others = writes.filter(({key}) => key !== ownKey);
      return others.length === 0
        ? success(new Map())
        : controlTable.putEntries(others);
    },
  };
  return assumeRegistration({...options, controlTable: omitting});
}

function getOwnKey({self}: GatewayOptions): string {
  return `${ENTRY_VM_PREFIX}${self.entryVm}`;
}
