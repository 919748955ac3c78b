import type {Clock} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import {
  getLaterPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import {CONTACT_WINDOW_MS} from '../control/contact_tracker.js';
import type {EntryVmRecord} from '../control/control_record.js';
import {runInBackground} from '../observability/background_task.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {AskedProxy} from '../observability/promotion_event.js';
import type {
  PeerClient,
  ReleaseAnswer,
  ReleaseRequest,
} from '../peer/peer_client.js';

/** Options of a collector. @public */
export interface ReleaseCollectorOptions {
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly peers: PeerClient;
  readonly request: ReleaseRequest;
}

/** A proxy that may hold a lease, with the latest time of expiry. @public */
export interface LeaseHolder {
  readonly record: EntryVmRecord;
  /** On this process's monotonic clock. */
  readonly leaseEndMs: number;
}

/** Delay before a proxy that did not respond is asked again. */
const REPEAT_INTERVAL_MS = 200;

/** Margin on a lease for clocks that run at different rates. */
const LEASE_MARGIN_MS = 300;

/**
 * Margin on the contact window, which is much shorter than a lease. It covers a
 * suspension that a proxy does not detect, which is shorter than 100 ms.
 */
const CONTACT_MARGIN_MS = 150;

/** State of the release request to one proxy. */
interface PendingRelease {
  readonly holder: LeaseHolder;
  /** Time at which the response arrived; null while it is outstanding. */
  releasedAtMs: number | null;
  answer: ReleaseAnswer | null;
}

/**
 * Asks every proxy to release the old primary and collects the responses. For a
 * proxy that does not respond, it waits until the lease has expired or, if that
 * is sooner, until the contact window has passed. A proxy uses a primary only
 * for that time after the store or a proxy of another zone has confirmed its
 * records, and a proxy that has released confirms nothing more.
 *
 * @public
 */
export class ReleaseCollector {
  private readonly pending: PendingRelease[] = [];
  /** Time of the first requests, shortly after the intent was recorded. */
  private startedAtMs = Number.NEGATIVE_INFINITY;
  private highest: LogPosition | null = null;
  private isStopped = false;

  private constructor(private readonly options: ReleaseCollectorOptions) {}

  static create(options: ReleaseCollectorOptions): ReleaseCollector {
    return new ReleaseCollector(options);
  }

  /** Highest position that the responding proxies have acknowledged. */
  get highestAcknowledged(): LogPosition | null {
    return this.highest;
  }

  /** Sends the request to all proxies; repeats it until each has responded. */
  start(holders: readonly LeaseHolder[]): void {
    this.startedAtMs = this.options.clock.nowMs();
    for (const holder of holders) {
      const release: PendingRelease = {
        holder,
        releasedAtMs: null,
        answer: null,
      };
      this.pending.push(release);
      runInBackground(
        this.options.events,
        `release of ${holder.record.entryVm}`,
        this.collect(release),
      );
    }
  }

  /**
   * Also waits for proxies that a restored store no longer lists. They count
   * as one proxy in a separate availability zone whose lease expires at `endMs`.
   */
  waitForUnlisted(endMs: number, endStoreMs: number): void {
    this.pending.push({
      holder: {record: createUnlistedRecord(endStoreMs), leaseEndMs: endMs},
      releasedAtMs: null,
      answer: null,
    });
  }

  stop(): void {
    this.isStopped = true;
  }

  /**
   * Time since which no proxy can acknowledge a write of the old term, on the
   * local clock; null while one still may. A proxy acknowledges only while it is
   * registered, in contact and has not released.
   */
  getReleasedSinceMs(): number | null {
    const nowMs = this.options.clock.nowMs();
    let sinceMs = this.startedAtMs;
    for (const release of this.pending) {
      const endMs = release.releasedAtMs ?? this.getLatestUseMs(release);
      if (endMs > nowMs) {
        return null;
      }
      sinceMs = Math.max(sinceMs, endMs);
    }
    return sinceMs;
  }

  /** Number of proxies that were asked or are waited for. */
  get proxyCount(): number {
    return this.pending.length;
  }

  /** Describes the first `limit` proxies for the log. */
  describe(limit: number): readonly AskedProxy[] {
    const nowMs = this.options.clock.nowMs();
    return this.pending
      .slice(0, limit)
      .map(release => describeProxy(release, nowMs));
  }

  /** Proxies that may still rely on the old primary. */
  getOutstanding(): readonly string[] {
    return this.findOutstanding().map(({holder}) => holder.record.entryVm);
  }

  /**
   * Latest time, on the store's clock, up to which a proxy that has not
   * responded may rely on the old primary; null if there is no such proxy.
   */
  getLastLeaseEndStoreMs(): number | null {
    let lastMs: number | null = null;
    for (const release of this.findOutstanding()) {
      const {record, leaseEndMs} = release.holder;
      const offsetMs = this.getLatestUseMs(release) - leaseEndMs;
      lastMs = Math.max(lastMs ?? 0, record.leaseEndStoreMs + offsetMs);
    }
    return lastMs;
  }

  private findOutstanding(): readonly PendingRelease[] {
    const nowMs = this.options.clock.nowMs();
    return this.pending.filter(
      release =>
        release.releasedAtMs === null && nowMs < this.getLatestUseMs(release),
    );
  }

  /**
   * Time up to which a proxy that has not responded may rely on the old
   * primary, with a margin.
   */
  private getLatestUseMs({holder}: PendingRelease): number {
    const {contactWindowMs} = holder.record;
    const leaseEndMs = holder.leaseEndMs + LEASE_MARGIN_MS;
    const lastContactMs = this.findLastContactMs(holder.record);
    return contactWindowMs === null || lastContactMs === null
      ? leaseEndMs
      : Math.min(
          leaseEndMs,
          lastContactMs + contactWindowMs + CONTACT_MARGIN_MS,
        );
  }

  /**
   * Latest time at which a proxy's record of the old primary can have been
   * confirmed; null if there is no proxy in another availability zone. Proxies
   * of other zones confirm it only until they release it or their leases expire.
   * The store no longer confirms it after the start, since a read then shows the
   * intent.
   */
  private findLastContactMs(record: EntryVmRecord): number | null {
    let lastMs: number | null = null;
    for (const {holder, releasedAtMs, answer} of this.pending) {
      if (holder.record.availabilityZone === record.availabilityZone) {
        continue;
      }
      const confirmsUntilMs =
        releasedAtMs === null
          ? holder.leaseEndMs + LEASE_MARGIN_MS
          : releasedAtMs - (answer?.drainedForMs ?? 0);
      lastMs = Math.max(lastMs ?? this.startedAtMs, confirmsUntilMs);
    }
    return lastMs;
  }

  private async collect(release: PendingRelease): Promise<void> {
    const {peers, request, clock} = this.options;
    while (!this.isStopped && release.releasedAtMs === null) {
      const response = await peers.release(release.holder.record, request);
      if (response.ok) {
        release.releasedAtMs = clock.nowMs();
        release.answer = response.value;
        this.updateHighest(response.value.highestAcknowledged);
        return;
      }
      await sleep(clock, REPEAT_INTERVAL_MS);
    }
  }

  private updateHighest(position: LogPosition | null): void {
    if (position === null || position.term > this.options.request.oldTerm) {
      return;
    }
    this.highest =
      this.highest === null
        ? position
        : getLaterPosition(this.highest, position);
  }
}

function describeProxy(
  {holder, releasedAtMs, answer}: PendingRelease,
  nowMs: number,
): AskedProxy {
  const {entryVm, incarnation} = holder.record;
  return {
    entryVm,
    isReleased: releasedAtMs !== null,
    releaseAgeMs: releasedAtMs === null ? null : nowMs - releasedAtMs,
    isRegisteredProcess:
      answer === null ? null : answer.incarnation === incarnation,
    highestAcknowledged: answer?.highestAcknowledged ?? null,
    leaseEndInMs: holder.leaseEndMs - nowMs,
  };
}

/** Placeholder for the proxies that a restored store no longer lists. */
function createUnlistedRecord(leaseEndStoreMs: number): EntryVmRecord {
  return {
    entryVm: 'forgotten',
    availabilityZone: 'unknown',
    peerHost: '',
    peerPort: 0,
    incarnation: '',
    leaseEndStoreMs,
    contactWindowMs: CONTACT_WINDOW_MS,
    registeredSinceStoreMs: null,
  };
}
