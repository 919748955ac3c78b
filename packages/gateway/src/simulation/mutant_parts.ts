import {success, type Result} from '@filbertrun/base/result.js';
import type {ListableTable} from '@filbertrun/platform/platform_service.js';
import type {
  BackendConnection,
  BackendConnector,
} from '../backend/backend_connection.js';
import type {InstanceControl} from '../backend/instance_control.js';
import type {TableChanges} from '../directory/watchable_table.js';
import type {PeerClient, PeerError} from '../peer/peer_client.js';

/** Broken parts of which mutants are made. */

/** The error of a peer that was not asked. @internal */
export const NOT_ASKED: PeerError = {kind: 'unreachable', reason: 'mutant'};

/** Leaves the lease as the one bound, to show that it holds by itself. @internal */
export const WITHOUT_CONTACT_RULE = {contactWindowMs: 1_000_000} as const;

/** Binds the calls of peers, so that some can be replaced. @internal */
export function bindPeers(peers: PeerClient): PeerClient {
  return {
    release: (peer, request) => peers.release(peer, request),
    announce: (peer, record) => peers.announce(peer, record),
    reportSuspicion: (peer, report) => peers.reportSuspicion(peer, report),
    askReach: (peer, question) => peers.askReach(peer, question),
    handOverDuty: (peer, handover) => peers.handOverDuty(peer, handover),
    compareRecords: peer => peers.compareRecords(peer),
    askPosition: (peer, question) => peers.askPosition(peer, question),
    followZone: (peer, question) => peers.followZone(peer, question),
  };
}

/** Answers each comparison with the first digest that a proxy gave. */
export function repeatFirstDigest(peers: PeerClient): PeerClient {
  let first: string | null = null;
  return {
    ...bindPeers(peers),
    compareRecords: async peer => {
      const answer = await peers.compareRecords(peer);
      if (!answer.ok) {
        return answer;
      }
      first ??= answer.value.digest;
      return success({digest: first});
    },
  };
}

/** Binds the calls of a table, so that some can be replaced. @internal */
export function bind(table: ListableTable): ListableTable {
  return {
    listEntries: () => table.listEntries(),
    getEntry: key => table.getEntry(key),
    putEntry: write => table.putEntry(write),
    putEntries: writes => table.putEntries(writes),
    removeEntry: (key, revision) => table.removeEntry(key, revision),
  };
}

/** Changes the values that a proxy reads. */
export function changeListing(
  table: ListableTable,
  change: (
    key: string,
    value: Record<string, unknown>,
  ) => Record<string, unknown>,
): ListableTable {
  return {
    ...bind(table),
    listEntries: async () => {
      const listing = await table.listEntries();
      if (!listing.ok) {
        return listing;
      }
      const entries = new Map(listing.value.entries);
      for (const [key, entry] of entries) {
        const value = change(key, JSON.parse(entry.value));
        entries.set(key, {...entry, value: JSON.stringify(value)});
      }
      return success({...listing.value, entries});
    },
  };
}

/** Leaves a key out of what a table says. */
export function leaveOut<T, E>(
  result: Result<TableChanges<T>, E>,
  leftOut: string,
): Result<TableChanges<T>, E> {
  if (!result.ok) {
    return result;
  }
  const changes = result.value.changes.filter(({key}) => key !== leftOut);
  return success({...result.value, changes});
}

/** Says that every replica is paused, and pauses none. */
export function pretendFenced(instances: InstanceControl): InstanceControl {
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

/** Replaces the execution of commands on each link. @internal */
export function changeLinks(
  connector: BackendConnector,
  change: (link: BackendConnection) => Pick<BackendConnection, 'execute'>,
): BackendConnector {
  return {
    checkReachable: (server, timeoutMs) =>
      connector.checkReachable(server, timeoutMs),
    connect: async (server, timeoutMs) => {
      const result = await connector.connect(server, timeoutMs);
      if (!result.ok) {
        return result;
      }
      const link = result.value;
      const changed: BackendConnection = {
        backendServer: link.backendServer,
        get isOpen() {
          return link.isOpen;
        },
        get pendingCount() {
          return link.pendingCount;
        },
        getUnresponsiveSinceMs: () => link.getUnresponsiveSinceMs(),
        close: reason => link.close(reason),
        ...change(link),
      };
      return success(changed);
    },
  };
}
