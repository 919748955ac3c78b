import type {Heartbeat, PeerHandler} from './peer_protocol.js';

/**
 * A peer without state, for tests of the transport.
 *
 * @internal
 */

/** A heartbeat of a peer without state. @internal */
export const HEARTBEAT: Heartbeat = {
  sender: {
    entryVm: 'entry-1',
    availabilityZone: 'kochi',
    peerUrl: 'http://10.0.0.1:7000',
    incarnation: 1,
    state: 'live',
  },
  configurationVersion: 0,
  membersDigest: 0,
  groupViewsDigest: 0,
  updates: [],
};

/** Creates a handler that returns an empty response to each call. @internal */
export function createFakeHandler(
  overrides: Partial<PeerHandler> = {},
): PeerHandler {
  return {
    heartbeat: async () => HEARTBEAT,
    getMembers: async () => [],
    askSilence: async () => ({silentForMs: null}),
    getConfigurationPointer: async () => ({kind: 'notReady'}),
    getConfigurationBody: async () => ({body: null}),
    askSuspicion: async () => ({
      entryVm: 'entry-1',
      availabilityZone: 'kochi',
      isWatching: false,
      term: 0,
      primary: null,
      silentForMs: null,
      isSuspected: false,
    }),
    probeInstance: async () => ({health: 'unknown'}),
    holdWrites: async () => ({}),
    announceGroupViews: async () => ({}),
    getGroupViews: async () => [],
    announceConfiguration: async () => ({}),
    submitChange: async () => ({
      ok: false,
      error: {kind: 'unavailable', reason: 'not configured'},
    }),
    changePrimary: async () => ({kind: 'refused', reason: 'not configured'}),
    getVersion: async () => ({entryVm: 'entry-1', isReady: false, version: 0}),
    getStatus: async () => ({
      entryVm: 'entry-1',
      availabilityZone: 'kochi',
      incarnation: 1,
      isReady: false,
      isLeaving: false,
      configuration: null,
      members: [],
      groupViews: [],
    }),
    ...overrides,
  };
}
