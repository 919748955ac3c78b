import type {Clock} from '@filbertrun/base/clock.js';
import {pause} from '@filbertrun/base/pause.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {GatewayEvents} from '../observability/gateway_events.js';
import type {PeerCaller} from '../peer/peer_caller.js';
import type {ClockWatch} from './clock_watch.js';
import type {GroupRuntime} from './group_runtime.js';

/** Dependencies of a {@link PeerFreshness}. @public */
export interface PeerFreshnessOptions {
  readonly availabilityZone: AvailabilityZone;
  readonly clock: Clock;
  readonly clockWatch: ClockWatch;
  readonly random: RandomSource;
  readonly events: GatewayEvents;
  readonly peers: PeerCaller;
  getOtherEntryVms(): readonly EntryVmRecord[];
}

/** Minimum time between two rounds of queries about one group. */
const ASK_INTERVAL_MS = 60;

/** Time that a read waits for an answer; a proxy in the zone takes a few ms. */
const ANSWER_WAIT_MS = 30;

/** Number of proxies in the own availability zone queried in parallel. */
const ZONE_PEERS = 3;

/** Number of proxies in other zones; traffic between zones is billed. */
const OTHER_PEERS = 2;

/**
 * Obtains log positions of primaries from other proxies, for reads that a
 * replica may answer. When all proxies start at the same time, a primary that
 * still counts their old connections admits only a few of them; one connected
 * proxy can serve all others. In large deployments, a proxy has often not used
 * a group within the last second while another proxy of its zone has.
 *
 * @public
 */
export class PeerFreshness {
  private readonly askedAtMs = new Map<string, number>();
  private readonly asking = new Map<string, Promise<void>>();

  private constructor(private readonly options: PeerFreshnessOptions) {}

  static create(options: PeerFreshnessOptions): PeerFreshness {
    return new PeerFreshness(options);
  }

  /**
   * Queries other proxies for a position of the group's primary. Resolves when
   * one of them knows a newer position, when all have answered, or after a
   * timeout.
   */
  learn(group: GroupRuntime): Promise<void> {
    const {databaseGroup} = group;
    const running = this.asking.get(databaseGroup);
    if (running !== undefined) {
      return running;
    }
    const nowMs = this.options.clock.nowMs();
    const askedAtMs = this.askedAtMs.get(databaseGroup) ?? -Infinity;
    if (nowMs - askedAtMs < ASK_INTERVAL_MS) {
      return Promise.resolve();
    }
    this.askedAtMs.set(databaseGroup, nowMs);
    const query = this.queryPeers(group).finally(() => {
      this.asking.delete(databaseGroup);
    });
    this.asking.set(databaseGroup, query);
    return query;
  }

  private queryPeers(group: GroupRuntime): Promise<void> {
    const queries = this.choosePeers(group).map(peer =>
      this.queryPeer(group, peer),
    );
    const firstLearned = new Promise<void>(resolve => {
      for (const query of queries) {
        void query.then(isLearned => {
          if (isLearned) {
            resolve();
          }
        });
      }
    });
    return Promise.race([
      firstLearned,
      Promise.all(queries).then(() => {}),
      pause(this.options.clock, ANSWER_WAIT_MS),
    ]);
  }

  /** Queries one proxy; returns whether its freshness bound was newer. */
  private async queryPeer(
    group: GroupRuntime,
    peer: EntryVmRecord,
  ): Promise<boolean> {
    const {peers, clockWatch, events} = this.options;
    const {databaseGroup} = group;
    const askedAt = clockWatch.read();
    const answer = await peers.askPosition(peer, {databaseGroup});
    if (!answer.ok || answer.value === null) {
      return false;
    }
    // Counting from before the request was sent never understates the age of
    // the freshness bound.
    const provenAtMs = askedAt.timeMs - answer.value.leadMs;
    const ageBeforeMs = group.getFreshnessAgeMs();
    if (clockWatch.read().epoch !== askedAt.epoch) {
      return false;
    }
    group.recordProof(provenAtMs, answer.value.position);
    const isLearned = group.getFreshnessAgeMs() < ageBeforeMs;
    if (isLearned) {
      events.record({
        kind: 'freshnessLearned',
        databaseGroup,
        entryVm: peer.entryVm,
        position: answer.value.position,
        leadMs: answer.value.leadMs,
      });
    }
    return isLearned;
  }

  /**
   * Chooses proxies of the own zone, and of other zones too if the primary
   * refuses connections of this proxy.
   */
  private choosePeers(group: GroupRuntime): readonly EntryVmRecord[] {
    const {availabilityZone, getOtherEntryVms} = this.options;
    const own: EntryVmRecord[] = [];
    const others: EntryVmRecord[] = [];
    for (const record of getOtherEntryVms()) {
      const isOwn = record.availabilityZone === availabilityZone;
      (isOwn ? own : others).push(record);
    }
    const otherCount = group.isPrimaryFull() ? OTHER_PEERS : 0;
    return [...this.pick(own, ZONE_PEERS), ...this.pick(others, otherCount)];
  }

  private pick(
    records: EntryVmRecord[],
    count: number,
  ): readonly EntryVmRecord[] {
    const picked: EntryVmRecord[] = [];
    while (picked.length < count && records.length > 0) {
      const index = this.options.random.nextInteger(0, records.length - 1);
      picked.push(...records.splice(index, 1));
    }
    return picked;
  }
}
