import {success} from '@filbertrun/base/result.js';
import type {GatewayOptions} from '../gateway.js';
import type {PeerClient} from '../peer/peer_client.js';
import type {ZoneUpdate} from '../zone/zone_update.js';
import type {HistoryFault, HistoryPlan} from './history_fault.js';
import {planWithSeeds, type Mutant} from './mutant.js';
import {bindPeers, WITHOUT_CONTACT_RULE} from './mutant_wrappers.js';

/**
 * Mutants of zone readers and their followers. A zone reader reads the store
 * for the other proxies of its availability zone, which are its followers.
 */

/** The plans of `planWithSeeds`, with several proxies in one zone. */
function planSharedZones(
  faults: readonly HistoryFault[],
): readonly HistoryPlan[] {
  return planWithSeeds(faults).map(plan => ({...plan, layout: 'shared'}));
}

/**
 * Only the proxies of one zone still reach the primary. The proxies of the
 * other zones change the primary, but can't ask the isolated proxies to release
 * it.
 */
function isolateControlOfZone(atMs: number): readonly HistoryPlan[] {
  return planSharedZones([
    {kind: 'isolateZoneControl', atMs, forMs: 17_000 - atMs, proxy: 1},
    {
      kind: 'isolatePrimary',
      atMs,
      forMs: 17_000 - atMs,
      proxies: [0, 2],
      isFromReplicas: true,
    },
  ]);
}

/** All mutants of this file. @internal */
export const ZONE_MUTANTS: readonly Mutant[] = [
  {
    name: 'a follower ignores how long before its request the zone reader read the store',
    plans: [1_000, 1_500, 2_000, 2_500].flatMap(isolateControlOfZone),
    rules: ['staleRead'],
    mutate: options => ({
      ...mapZoneUpdates(options, update => ({
        ...update,
        control: {...update.control, readLeadMs: 0},
      })),
      ...WITHOUT_CONTACT_RULE,
    }),
  },
  {
    name: 'a zone reader that has lost the store keeps responding from its cache',
    plans: isolateControlOfZone(3_000),
    rules: ['staleRead'],
    mutate: options => ({...options, peers: answerFromCache(options.peers)}),
  },
  {
    name: 'a zone reader does not forward configuration changes',
    plans: planSharedZones([{kind: 'changeConfiguration', atMs: 1_000}]),
    rules: ['lateConfiguration'],
    mutate: options =>
      mapZoneUpdates(options, update => ({
        ...update,
        configuration: {...update.configuration, changes: []},
        configurationDelta: null,
      })),
  },
];

/** Converts the updates that a follower gets from its zone reader. */
function mapZoneUpdates(
  options: GatewayOptions,
  convert: (update: ZoneUpdate) => ZoneUpdate,
): GatewayOptions {
  const {peers} = options;
  return {
    ...options,
    peers: {
      ...bindPeers(peers),
      followZone: async (peer, request) => {
        const response = await peers.followZone(peer, request);
        return response.ok && response.value !== null
          ? success(convert(response.value))
          : response;
      },
    },
  };
}

/** Repeats the last update, marked fresh, when the zone reader has none. */
function answerFromCache(peers: PeerClient): PeerClient {
  let last: ZoneUpdate | null = null;
  return {
    ...bindPeers(peers),
    followZone: async (peer, request) => {
      const response = await peers.followZone(peer, request);
      if (!response.ok) {
        return response;
      }
      if (response.value !== null) {
        last = response.value;
      }
      return success(
        response.value ?? (last === null ? null : markFresh(last)),
      );
    },
  };
}

function markFresh(update: ZoneUpdate): ZoneUpdate {
  const {control, contact} = update;
  return {
    ...update,
    control: {...control, isListing: false, changes: [], readLeadMs: 0},
    contact: contact === null ? null : {...contact, startLeadMs: 0},
  };
}
