import {success, type Result} from '@filbertrun/base/result.js';
import type {ListableTable} from '@filbertrun/platform/platform_service.js';
import type {
  BackendConnection,
  BackendConnector,
} from '../backend/backend_connection.js';
import type {InstanceControl} from '../backend/instance_control.js';
import type {TableChanges} from '../directory/watchable_table.js';
import type {PeerClient, PeerError} from '../peer/peer_client.js';

/** Wrappers that break one dependency of a gateway, for mutants. */

/** The error for a peer call that a mutant suppresses. @internal */
export const PEER_UNREACHABLE: PeerError = {
  kind: 'unreachable',
  reason: 'mutant',
};

/**
 * Makes the contact window longer than any history. A proxy then keeps using a
 * primary without a recent confirmation that its primary records are current.
 * The tests thus show that leases alone prevent stale reads.
 *
 * @internal
 */
export const WITHOUT_CONTACT_RULE = {contactWindowMs: 1_000_000} as const;

/** Copies a peer client, so that some methods can be replaced. @internal */
export function bindPeers(peers: PeerClient): PeerClient {
  return {
    release: (peer, request) => peers.release(peer, request),
    announce: (peer, record) => peers.announce(peer, record),
    reportSuspicion: (peer, report) => peers.reportSuspicion(peer, report),
    askReach: (peer, request) => peers.askReach(peer, request),
    handOverDuty: (peer, transfer) => peers.handOverDuty(peer, transfer),
    compareRecords: peer => peers.compareRecords(peer),
    askPosition: (peer, request) => peers.askPosition(peer, request),
    followZone: (peer, request) => peers.followZone(peer, request),
    exchangePermits: (peer, exchange) => peers.exchangePermits(peer, exchange),
  };
}

/** Responds to each comparison with the first digest that any peer returned. */
export function repeatFirstDigest(peers: PeerClient): PeerClient {
  let first: string | null = null;
  return {
    ...bindPeers(peers),
    compareRecords: async peer => {
      const response = await peers.compareRecords(peer);
      if (!response.ok) {
        return response;
      }
      first ??= response.value.digest;
      return success({digest: first});
    },
  };
}

/** Copies a table client, so that some methods can be replaced. @internal */
export function bindTable(table: ListableTable): ListableTable {
  return {
    listEntries: () => table.listEntries(),
    getEntry: key => table.getEntry(key),
    putEntry: write => table.putEntry(write),
    putEntries: writes => table.putEntries(writes),
    removeEntry: (key, revision) => table.removeEntry(key, revision),
  };
}

/** Converts the values that a proxy lists from a table. */
export function mapListedValues(
  table: ListableTable,
  mapValue: (
    key: string,
    value: Record<string, unknown>,
  ) => Record<string, unknown>,
): ListableTable {
  return {
    ...bindTable(table),
    listEntries: async () => {
      const listing = await table.listEntries();
      if (!listing.ok) {
        return listing;
      }
      const entries = new Map(listing.value.entries);
      for (const [key, entry] of entries) {
        const value = mapValue(key, JSON.parse(entry.value));
        entries.set(key, {...entry, value: JSON.stringify(value)});
      }
      return success({...listing.value, entries});
    },
  };
}

/** Removes the changes of a key from the result of a table. */
export function omitKey<T, E>(
  result: Result<TableChanges<T>, E>,
  omittedKey: string,
): Result<TableChanges<T>, E> {
  if (!result.ok) {
    return result;
  }
  const changes = result.value.changes.filter(({key}) => key !== omittedKey);
  return success({...result.value, changes});
}

/**
 * Reports every instance as fenced (old primary stepped down, replication
 * paused) without fencing any.
 */
export function reportAllPaused(instances: InstanceControl): InstanceControl {
  return {
    getStatus: server => instances.getStatus(server),
    stepDown: async server => {
      const status = await instances.getStatus(server);
      return status.ok
        ? success({...status.value, role: 'replica' as const})
        : status;
    },
    pauseReplication: async (server, term) => {
      const status = await instances.getStatus(server);
      return status.ok ? success({...status.value, pausedTerm: term}) : status;
    },
  };
}

/** Replaces `execute` on each connection. @internal */
export function overrideExecute(
  connector: BackendConnector,
  change: (connection: BackendConnection) => Pick<BackendConnection, 'execute'>,
): BackendConnector {
  return {
    checkReachable: (server, timeoutMs) =>
      connector.checkReachable(server, timeoutMs),
    connect: async (server, identity, timeoutMs) => {
      const result = await connector.connect(server, identity, timeoutMs);
      if (!result.ok) {
        return result;
      }
      const connection = result.value;
      const changed: BackendConnection = {
        backendServer: connection.backendServer,
        connectTimeMs: connection.connectTimeMs ?? null,
        get isOpen() {
          return connection.isOpen;
        },
        get pendingCount() {
          return connection.pendingCount;
        },
        getUnresponsiveSinceMs: () => connection.getUnresponsiveSinceMs(),
        close: reason => connection.close(reason),
        ...change(connection),
      };
      return success(changed);
    },
  };
}
