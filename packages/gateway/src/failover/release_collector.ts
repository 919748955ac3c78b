import type {Clock} from '@filbertrun/base/clock.js';
import {pause} from '@filbertrun/base/pause.js';
import {
  getLaterPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
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
 * Collects from every proxy the promise to use the old primary no longer. A
 * proxy that does not answer is waited out: its lease ends by itself.
 *
 * @public
 */
export class ReleaseCollector {
  private readonly waiting = new Map<string, LeaseHolder>();
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
    for (const holder of holders) {
      this.waiting.set(holder.record.entryVm, holder);
      void this.collect(holder.record);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Proxies that may still rely on the old primary. */
  getOutstanding(): readonly string[] {
    const nowMs = this.options.clock.nowMs();
    const outstanding: string[] = [];
    for (const [entryVm, {leaseEndMs}] of this.waiting) {
      if (nowMs < leaseEndMs + LEASE_MARGIN_MS) {
        outstanding.push(entryVm);
      }
    }
    return outstanding;
  }

  /**
   * End of the last lease of a proxy that has not answered, on the store's
   * clock; null when all have answered or their leases have ended.
   */
  getLastLeaseEndStoreMs(): number | null {
    let lastMs: number | null = null;
    for (const entryVm of this.getOutstanding()) {
      const endMs = this.waiting.get(entryVm)?.record.leaseEndStoreMs ?? 0;
      lastMs = Math.max(lastMs ?? 0, endMs + LEASE_MARGIN_MS);
    }
    return lastMs;
  }

  private async collect(record: EntryVmRecord): Promise<void> {
    const {peers, request, clock} = this.options;
    while (!this.isStopped && this.waiting.has(record.entryVm)) {
      const answer = await peers.release(record, request);
      if (answer.ok) {
        this.waiting.delete(record.entryVm);
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
