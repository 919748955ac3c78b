import type {Clock} from '@filbertrun/base/clock.js';
import {pause} from '@filbertrun/base/pause.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {GatewayEvents} from '../observability/gateway_events.js';
import type {PeerCaller} from '../peer/peer_caller.js';
import type {ClockWatch} from './clock_watch.js';
import type {GroupRuntime} from './group_runtime.js';

/** What positions are learned with. @public */
export interface PeerFreshnessOptions {
  readonly availabilityZone: AvailabilityZone;
  readonly clock: Clock;
  readonly clockWatch: ClockWatch;
  readonly random: RandomSource;
  readonly events: GatewayEvents;
  readonly peers: PeerCaller;
  getOtherEntryVms(): readonly EntryVmRecord[];
}

/** Least time between two questions about one group. */
const ASK_INTERVAL_MS = 60;

/** Time for which a read waits for an answer; a proxy of the zone needs a few ms. */
const ANSWER_WAIT_MS = 30;

/** Proxies of the own availability zone that are asked at once. */
const ZONE_PEERS = 3;

/** The same of other zones, where the bytes are paid for. */
const OTHER_PEERS = 2;

/**
 * Learns positions of primaries from other proxies, for reads that may be
 * answered by a replica. The load that it answers: all proxies start at once and
 * a primary that still counts their old connections admits few of them. One
 * that has a connection is enough for all. In large deployments a proxy has
 * seldom used a group in the last second, while another of its zone has.
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
   * Asks other proxies for a position of the group's primary and resolves when
   * one has answered, or soon after.
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
    const question = this.ask(group).finally(() => {
      this.asking.delete(databaseGroup);
    });
    this.asking.set(databaseGroup, question);
    return question;
  }

  private ask(group: GroupRuntime): Promise<void> {
    const questions = this.choosePeers(group).map(peer =>
      this.askPeer(group, peer),
    );
    const firstLearned = new Promise<void>(resolve => {
      for (const question of questions) {
        void question.then(isLearned => {
          if (isLearned) {
            resolve();
          }
        });
      }
    });
    return Promise.race([
      firstLearned,
      Promise.all(questions).then(() => {}),
      pause(this.options.clock, ANSWER_WAIT_MS),
    ]);
  }

  /** Asks one proxy; whether it knew a position newer than this one. */
  private async askPeer(
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
    // Counted from before the question was sent, so the proof is not too young.
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

  /** Proxies of the own zone, and of others where the primary turns this one away. */
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
