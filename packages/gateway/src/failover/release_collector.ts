import type {Clock} from '@filbertrun/base/clock.js';
import {pause} from '@filbertrun/base/pause.js';
import {
  getLaterPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import {CONTACT_WINDOW_MS} from '../control/contact_watch.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {PeerCaller, ReleaseRequest} from '../peer/peer_caller.js';

/** What a collector is made of. @public */
export interface ReleaseCollectorOptions {
  readonly clock: Clock;
  readonly peers: PeerCaller;
  readonly request: ReleaseRequest;
}

/** A proxy that may hold a lease, and when its lease ends at the latest. @public */
export interface LeaseHolder {
  readonly record: EntryVmRecord;
  /** On this process's monotonic clock. */
  readonly leaseEndMs: number;
}

/** Pause between two requests to a proxy that did not answer. */
const REPEAT_INTERVAL_MS = 200;

/** Margin on the duration of a lease for clocks that run at different rates. */
const LEASE_MARGIN_MS = 300;

/**
 * The same on the much shorter time since the last contact: a suspension that
 * a proxy does not notice is shorter than 100 ms.
 */
const CONTACT_MARGIN_MS = 150;

/** What became of one proxy's release. */
interface PendingRelease {
  readonly holder: LeaseHolder;
  /** False for the proxies that the store may have forgotten: nobody knows whom to ask. */
  readonly canBeAsked: boolean;
  /** When its answer arrived; null while it is outstanding. */
  answeredAtMs: number | null;
}

/**
 * Collects from every proxy the promise to use the old primary no longer. A
 * proxy that does not answer is waited out: its lease ends by itself, or it
 * loses contact, as every proxy that it could ask has released.
 *
 * @public
 */
export class ReleaseCollector {
  private readonly pending: PendingRelease[] = [];
  /** Soon after the intent was recorded. */
  private startedAtMs = Number.NEGATIVE_INFINITY;
  private highest: LogPosition | null = null;
  private isStopped = false;

  private constructor(private readonly options: ReleaseCollectorOptions) {}

  static create(options: ReleaseCollectorOptions): ReleaseCollector {
    return new ReleaseCollector(options);
  }

  /** Highest position that the answering proxies have acknowledged. */
  get highestAcknowledged(): LogPosition | null {
    return this.highest;
  }

  /** Asks all proxies; each is asked again until it answers. */
  start(holders: readonly LeaseHolder[]): void {
    this.startedAtMs = this.options.clock.nowMs();
    for (const holder of holders) {
      const release: PendingRelease = {
        holder,
        canBeAsked: true,
        answeredAtMs: null,
      };
      this.pending.push(release);
      void this.collect(release);
    }
  }

  /**
   * Waits also for proxies that nobody knows, as if one of them were in an
   * availability zone of its own. `endMs` is the end of their leases.
   */
  waitForForgotten(endMs: number, endStoreMs: number): void {
    this.pending.push({
      holder: {record: createForgottenRecord(endStoreMs), leaseEndMs: endMs},
      canBeAsked: false,
      answeredAtMs: null,
    });
  }

  stop(): void {
    this.isStopped = true;
  }

  /**
   * Whether every proxy has promised to acknowledge nothing more of the old
   * term. One that was waited out has lost its reads, not its writes.
   */
  get haveAllAnswered(): boolean {
    const nowMs = this.options.clock.nowMs();
    return this.pending.every(
      ({answeredAtMs, canBeAsked, holder}) =>
        answeredAtMs !== null || (!canBeAsked && nowMs >= holder.leaseEndMs),
    );
  }

  /** Proxies that may still rely on the old primary. */
  getOutstanding(): readonly string[] {
    return this.findOutstanding().map(({holder}) => holder.record.entryVm);
  }

  /**
   * End of the last lease of a proxy that has not answered, on the store's
   * clock; null when all have answered or their leases have ended.
   */
  getLastLeaseEndStoreMs(): number | null {
    let lastMs: number | null = null;
    for (const release of this.findOutstanding()) {
      const {record, leaseEndMs} = release.holder;
      const untilEndMs = this.estimateEndMs(release) - leaseEndMs;
      lastMs = Math.max(lastMs ?? 0, record.leaseEndStoreMs + untilEndMs);
    }
    return lastMs;
  }

  private findOutstanding(): readonly PendingRelease[] {
    const nowMs = this.options.clock.nowMs();
    return this.pending.filter(
      release =>
        release.answeredAtMs === null && nowMs < this.estimateEndMs(release),
    );
  }

  /**
   * Time up to which a proxy that has not answered may rely on the old primary,
   * with a margin.
   */
  private estimateEndMs({holder}: PendingRelease): number {
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
   * Time after which nobody can have confirmed the old primary to a proxy: each
   * one of the other availability zones has released, or holds no lease any
   * more and so confirms nothing; and a read of the store since the start
   * would have shown the intent. Null where there is no other zone.
   */
  private findLastContactMs(record: EntryVmRecord): number | null {
    let lastMs: number | null = null;
    for (const {holder, answeredAtMs} of this.pending) {
      if (holder.record.availabilityZone === record.availabilityZone) {
        continue;
      }
      const confirmsUntilMs =
        answeredAtMs ?? holder.leaseEndMs + LEASE_MARGIN_MS;
      lastMs = Math.max(lastMs ?? this.startedAtMs, confirmsUntilMs);
    }
    return lastMs;
  }

  private async collect(release: PendingRelease): Promise<void> {
    const {peers, request, clock} = this.options;
    while (!this.isStopped && release.answeredAtMs === null) {
      const answer = await peers.release(release.holder.record, request);
      if (answer.ok) {
        release.answeredAtMs = clock.nowMs();
        this.raise(answer.value.highestAcknowledged);
        return;
      }
      await pause(clock, REPEAT_INTERVAL_MS);
    }
  }

  private raise(position: LogPosition | null): void {
    if (position === null || position.term > this.options.request.oldTerm) {
      return;
    }
    this.highest =
      this.highest === null
        ? position
        : getLaterPosition(this.highest, position);
  }
}

/** Stands for the proxies that a store from a copy no longer lists. */
function createForgottenRecord(leaseEndStoreMs: number): EntryVmRecord {
  return {
    entryVm: 'forgotten',
    availabilityZone: 'unknown',
    peerHost: '',
    peerPort: 0,
    incarnation: '',
    leaseEndStoreMs,
    contactWindowMs: CONTACT_WINDOW_MS,
  };
}
