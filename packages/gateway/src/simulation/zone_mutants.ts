import {success} from '@filbertrun/base/result.js';
import type {GatewayOptions} from '../gateway.js';
import type {PeerClient} from '../peer/peer_client.js';
import type {ZoneUpdate} from '../zone/zone_update.js';
import type {HistoryFault, HistoryPlan} from './history_fault.js';
import {planWith, type Mutant} from './mutant.js';
import {bindPeers, WITHOUT_CONTACT_RULE} from './mutant_parts.js';

/** Mutants of the readers of availability zones. */

/** The same plans where several proxies share a zone. */
function planShared(faults: readonly HistoryFault[]): readonly HistoryPlan[] {
  return planWith(faults).map(plan => ({...plan, layout: 'shared'}));
}

/**
 * The proxies of one zone go on reaching the primary, and nobody else does:
 * it is replaced while they can't be asked to release it.
 */
function cutControlOfZone(atMs: number): readonly HistoryPlan[] {
  return planShared([
    {kind: 'cutZoneControl', atMs, forMs: 17_000 - atMs, proxy: 1},
    {
      kind: 'cutPrimary',
      atMs,
      forMs: 17_000 - atMs,
      proxies: [0, 2],
      isFromReplicas: true,
    },
  ]);
}

/** All of them. @internal */
export const ZONE_MUTANTS: readonly Mutant[] = [
  {
    name: 'a follower counts what its reader has read from the moment it asked',
    plans: [1_000, 1_500, 2_000, 2_500].flatMap(cutControlOfZone),
    rules: ['staleRead'],
    mutate: options => ({
      ...changeNews(options, news => ({
        ...news,
        control: {...news.control, readLeadMs: 0},
      })),
      ...WITHOUT_CONTACT_RULE,
    }),
  },
  {
    name: 'a reader that has lost the store goes on answering from memory',
    plans: cutControlOfZone(3_000),
    rules: ['staleRead'],
    mutate: options => ({...options, peers: answerFromMemory(options.peers)}),
  },
  {
    name: 'a reader passes no change of the configuration on',
    plans: planShared([{kind: 'changeConfiguration', atMs: 1_000}]),
    rules: ['lateConfiguration'],
    mutate: options =>
      changeNews(options, news => ({
        ...news,
        configuration: {...news.configuration, changes: []},
      })),
  },
];

/** Changes the news that a proxy gets of its reader. */
function changeNews(
  options: GatewayOptions,
  change: (news: ZoneUpdate) => ZoneUpdate,
): GatewayOptions {
  const {peers} = options;
  return {
    ...options,
    peers: {
      ...bindPeers(peers),
      followZone: async (peer, question) => {
        const answer = await peers.followZone(peer, question);
        return answer.ok && answer.value !== null
          ? success(change(answer.value))
          : answer;
      },
    },
  };
}

/** Repeats the last news as new ones where the reader refuses. */
function answerFromMemory(peers: PeerClient): PeerClient {
  let last: ZoneUpdate | null = null;
  return {
    ...bindPeers(peers),
    followZone: async (peer, question) => {
      const answer = await peers.followZone(peer, question);
      if (!answer.ok) {
        return answer;
      }
      if (answer.value !== null) {
        last = answer.value;
      }
      return success(answer.value ?? (last === null ? null : renew(last)));
    },
  };
}

function renew(news: ZoneUpdate): ZoneUpdate {
  const {control, contact} = news;
  return {
    ...news,
    control: {...control, isListing: false, changes: [], readLeadMs: 0},
    contact: contact === null ? null : {...contact, startLeadMs: 0},
  };
}
