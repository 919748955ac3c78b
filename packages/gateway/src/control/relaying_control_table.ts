import type {Clock} from '@filbertrun/base/clock.js';
import {failure, type Result} from '@filbertrun/base/result.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {
  BatchWriteError,
  ConditionalWrite,
  ListableTable,
  PlatformError,
  TableEntry,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import {runInBackground} from '../observability/background_task.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {ControlRelay} from '../peer/control_relay.js';
import type {EntryVmRecord} from './control_record.js';

/** Dependencies of {@link RelayingControlTable}. @public */
export interface RelayingControlTableOptions {
  /** Direct access to the store. */
  readonly direct: ListableTable;
  /** Access to the store through another proxy. */
  readonly relay: ControlRelay;
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly random: RandomSource;
  getOtherEntryVms(): readonly EntryVmRecord[];
}

/**
 * Time after a failed direct call during which the store is suspected to be
 * unreachable, so that calls are relayed.
 */
const SUSPECT_MS = 2_000;

/** Interval of direct probes of the store during that time. */
const PROBE_INTERVAL_MS = 1_000;

/** Maximum number of proxies that are tried per call. */
const MAX_RELAY_PEERS = 2;

/**
 * Control table that falls back to other proxies when the store does not
 * respond to this one. The store can be unreachable from single machines only,
 * so another proxy relays the call. A relayed read is as fresh as a direct one:
 * it starts after the call and is never served from a cache.
 *
 * @public
 */
export class RelayingControlTable implements ListableTable {
  private failedAtMs = Number.NEGATIVE_INFINITY;
  private probedAtMs = Number.NEGATIVE_INFINITY;
  private peerRespondedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: RelayingControlTableOptions) {}

  static create(options: RelayingControlTableOptions): RelayingControlTable {
    return new RelayingControlTable(options);
  }

  /**
   * Whether the store is suspected to be unreachable from this machine: a direct
   * call failed recently and none has succeeded since.
   */
  get isSuspect(): boolean {
    return this.options.clock.nowMs() - this.failedAtMs < SUSPECT_MS;
  }

  /** Records that the store has responded, so that calls are direct again. */
  markStoreAvailable(): void {
    this.failedAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Time since the last response to a relayed call, including errors. */
  getMsSincePeerResponse(): number {
    return this.options.clock.nowMs() - this.peerRespondedAtMs;
  }

  async listEntries(): Promise<Result<TableListing, PlatformError>> {
    if (!this.isSuspect) {
      const direct = await this.listDirectly();
      if (direct.ok) {
        return direct;
      }
    } else {
      this.probe();
    }
    return this.relay(peer => this.options.relay.listControl(peer));
  }

  /** Lists the table for another proxy; always directly from the store. */
  listForPeer(): Promise<Result<TableListing, PlatformError>> {
    return this.isSuspect
      ? Promise.resolve(failure(STORE_UNREACHABLE))
      : this.listDirectly();
  }

  getEntry(key: string): Promise<Result<TableEntry | null, PlatformError>> {
    return this.options.direct.getEntry(key);
  }

  async putEntry(
    write: ConditionalWrite,
  ): Promise<Result<TableEntry, PlatformError>> {
    if (!this.isSuspect) {
      const direct = await this.options.direct.putEntry(write);
      this.recordResult(direct);
      // Only a write that was certainly not applied may be relayed.
      if (direct.ok || direct.error.kind !== 'unavailable') {
        return direct;
      }
    }
    return this.relay(peer => this.options.relay.putControl(peer, write));
  }

  /**
   * Writes several entries directly; never relayed. If the zone reader can't
   * renew its followers' records in one batch, each follower renews its own with
   * `putEntry`, which may be relayed.
   */
  async putEntries(
    writes: readonly ConditionalWrite[],
  ): Promise<Result<ReadonlyMap<string, TableEntry>, BatchWriteError>> {
    const result = await this.options.direct.putEntries(writes);
    this.recordResult(result);
    return result;
  }

  /** Writes for another proxy; always directly to the store. */
  putForPeer(
    write: ConditionalWrite,
  ): Promise<Result<TableEntry, PlatformError>> {
    return this.isSuspect
      ? Promise.resolve(failure(STORE_UNREACHABLE))
      : this.options.direct.putEntry(write);
  }

  removeEntry(
    key: string,
    expectedRevision: number,
  ): Promise<Result<void, PlatformError>> {
    return this.options.direct.removeEntry(key, expectedRevision);
  }

  private async listDirectly(): Promise<Result<TableListing, PlatformError>> {
    const result = await this.options.direct.listEntries();
    this.recordResult(result);
    return result;
  }

  private recordResult(
    result: Result<unknown, PlatformError | BatchWriteError>,
  ): void {
    const hasResponded =
      result.ok ||
      result.error.kind === 'conflict' ||
      result.error.kind === 'conflicts';
    if (hasResponded) {
      this.markStoreAvailable();
    } else {
      this.failedAtMs = this.options.clock.nowMs();
    }
  }

  /** Probes the store directly in the background. */
  private probe(): void {
    const nowMs = this.options.clock.nowMs();
    if (nowMs - this.probedAtMs >= PROBE_INTERVAL_MS) {
      this.probedAtMs = nowMs;
      runInBackground(
        this.options.events,
        'probe of the store',
        this.listDirectly(),
      );
    }
  }

  private async relay<T>(
    call: (
      peer: EntryVmRecord,
    ) => Promise<Result<Result<T, PlatformError>, unknown>>,
  ): Promise<Result<T, PlatformError>> {
    for (const peer of this.choosePeers()) {
      const response = await call(peer);
      if (!response.ok) {
        continue;
      }
      this.peerRespondedAtMs = this.options.clock.nowMs();
      const result = response.value;
      if (result.ok || result.error.kind === 'conflict') {
        return result;
      }
      if (result.error.kind === 'outcomeUnknown') {
        return result;
      }
    }
    return failure(STORE_UNREACHABLE);
  }

  private choosePeers(): readonly EntryVmRecord[] {
    const peers = [...this.options.getOtherEntryVms()];
    const start = this.options.random.nextInteger(
      0,
      Math.max(0, peers.length - 1),
    );
    const rotated = [...peers.slice(start), ...peers.slice(0, start)];
    return rotated.slice(0, MAX_RELAY_PEERS);
  }
}

const STORE_UNREACHABLE: PlatformError = {
  kind: 'unavailable',
  reason: 'the store responds neither directly nor through another proxy',
};
