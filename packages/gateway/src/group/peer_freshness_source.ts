import type {Clock} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {EntryVmRecord} from '../control/control_record.js';
import {runInBackground} from '../observability/background_task.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {PeerClient} from '../peer/peer_client.js';
import type {ClockJumpDetector} from './clock_jump_detector.js';
import type {GroupRuntime} from './group_runtime.js';

/** Dependencies of the peer freshness source. @public */
export interface PeerFreshnessSourceOptions {
  readonly availabilityZone: AvailabilityZone;
  readonly clock: Clock;
  readonly clockJumpDetector: ClockJumpDetector;
  readonly random: RandomSource;
  readonly events: GatewayEventRecorder;
  readonly peers: PeerClient;
  getOtherEntryVms(): readonly EntryVmRecord[];
}

/** Minimum time between two rounds of queries about one group. */
const QUERY_INTERVAL_MS = 60;

/**
 * Time that a read waits for a response; a proxy in the zone takes a few ms.
 */
const RESPONSE_WAIT_MS = 30;

/** Number of proxies in the local availability zone queried in parallel. */
const LOCAL_ZONE_PEERS = 3;

/** Number in other zones; smaller because traffic between zones is billed. */
const OTHER_ZONE_PEERS = 2;

/**
 * Obtains freshness bounds from other proxies, for reads that a replica may
 * answer. When all proxies start at the same time, a primary that still counts
 * their old connections admits only a few of them; one connected proxy can then
 * provide freshness bounds to all others. In large deployments, a proxy has often
 * not used a group within the last second, so its bound may be too old for a
 * read, while another proxy of its zone has a newer one.
 *
 * @public
 */
export class PeerFreshnessSource {
  private readonly queriedAtMs = new Map<string, number>();
  private readonly runningQueries = new Map<string, Promise<void>>();

  private constructor(private readonly options: PeerFreshnessSourceOptions) {}

  static create(options: PeerFreshnessSourceOptions): PeerFreshnessSource {
    return new PeerFreshnessSource(options);
  }

  /**
   * Queries other proxies for a freshness bound of the group. Resolves when one
   * of them has a newer bound, when all have responded, or after a timeout.
   */
  fetch(group: GroupRuntime): Promise<void> {
    const {databaseGroup} = group;
    const runningQuery = this.runningQueries.get(databaseGroup);
    if (runningQuery !== undefined) {
      return runningQuery;
    }
    const nowMs = this.options.clock.nowMs();
    const queriedAtMs = this.queriedAtMs.get(databaseGroup) ?? -Infinity;
    if (nowMs - queriedAtMs < QUERY_INTERVAL_MS) {
      return Promise.resolve();
    }
    this.queriedAtMs.set(databaseGroup, nowMs);
    const query = this.queryPeers(group).finally(() => {
      this.runningQueries.delete(databaseGroup);
    });
    this.runningQueries.set(databaseGroup, query);
    return query;
  }

  private queryPeers(group: GroupRuntime): Promise<void> {
    const queries = this.choosePeers(group).map(peer =>
      this.queryPeer(group, peer),
    );
    const firstNewer = new Promise<void>(resolve => {
      for (const query of queries) {
        runInBackground(
          this.options.events,
          'query of a position',
          query.then(isNewer => {
            if (isNewer) {
              resolve();
            }
          }),
        );
      }
    });
    return Promise.race([
      firstNewer,
      Promise.all(queries).then(() => {}),
      sleep(this.options.clock, RESPONSE_WAIT_MS),
    ]);
  }

  /** Queries one proxy; returns whether its freshness bound was newer. */
  private async queryPeer(
    group: GroupRuntime,
    peer: EntryVmRecord,
  ): Promise<boolean> {
    const {peers, clockJumpDetector, events} = this.options;
    const {databaseGroup} = group;
    const sentAt = clockJumpDetector.read();
    const response = await peers.askPosition(peer, {databaseGroup});
    if (!response.ok || response.value === null) {
      return false;
    }
    // Counting from before the request was sent never understates the age of
    // the freshness bound.
    const boundAtMs = sentAt.timeMs - response.value.leadMs;
    const ageBeforeMs = group.getFreshnessAgeMs();
    if (clockJumpDetector.read().epoch !== sentAt.epoch) {
      return false;
    }
    group.recordFreshnessBound(boundAtMs, response.value.position);
    const isNewer = group.getFreshnessAgeMs() < ageBeforeMs;
    if (isNewer) {
      events.record({
        kind: 'freshnessLearned',
        databaseGroup,
        entryVm: peer.entryVm,
        position: response.value.position,
        leadMs: response.value.leadMs,
      });
    }
    return isNewer;
  }

  /**
   * Chooses proxies of the local zone, and of other zones too if the primary
   * refuses connections of this proxy.
   */
  private choosePeers(group: GroupRuntime): readonly EntryVmRecord[] {
    const {availabilityZone, getOtherEntryVms} = this.options;
    const localPeers: EntryVmRecord[] = [];
    const otherPeers: EntryVmRecord[] = [];
    for (const record of getOtherEntryVms()) {
      const isLocal = record.availabilityZone === availabilityZone;
      (isLocal ? localPeers : otherPeers).push(record);
    }
    const otherCount = group.isPrimaryConnectionLimitReached()
      ? OTHER_ZONE_PEERS
      : 0;
    return [
      ...this.pick(localPeers, LOCAL_ZONE_PEERS),
      ...this.pick(otherPeers, otherCount),
    ];
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
