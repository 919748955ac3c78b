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
import type {ControlRelay} from '../peer/control_relay.js';
import type {EntryVmRecord} from './control_record.js';

/** What a relaying table is made of. @public */
export interface RelayingControlTableOptions {
  /** The store itself. */
  readonly direct: ListableTable;
  /** Calls to the store by way of another proxy. */
  readonly relay: ControlRelay;
  readonly clock: Clock;
  readonly random: RandomSource;
  getOtherEntryVms(): readonly EntryVmRecord[];
}

/** Time after a failure in which calls go by way of another proxy first. */
const SUSPECT_MS = 2_000;

/** Interval at which the store itself is tried meanwhile. */
const PROBE_INTERVAL_MS = 1_000;

/** Proxies that are asked for one call. */
const MAX_RELAYS = 2;

/**
 * The control table for a proxy that may have lost the store. The store can
 * turn away single machines, so another proxy carries the call to it. A read
 * by way of another proxy is as fresh as a direct one: it is begun after the
 * call and takes nothing from memory.
 *
 * @public
 */
export class RelayingControlTable implements ListableTable {
  private failedAtMs = Number.NEGATIVE_INFINITY;
  private probedAtMs = Number.NEGATIVE_INFINITY;
  private peerAnsweredAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: RelayingControlTableOptions) {}

  static create(options: RelayingControlTableOptions): RelayingControlTable {
    return new RelayingControlTable(options);
  }

  /** Whether the last direct call failed a short while ago. */
  get isSuspect(): boolean {
    return this.options.clock.nowMs() - this.failedAtMs < SUSPECT_MS;
  }

  /** Takes an answer of the store to another call for a sign that it is there. */
  noteStoreAnswered(): void {
    this.failedAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Time since another proxy answered a relayed call, whatever it said. */
  getPeerSilenceMs(): number {
    return this.options.clock.nowMs() - this.peerAnsweredAtMs;
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

  /** The call of another proxy: answered from the store alone, or not at all. */
  listForPeer(): Promise<Result<TableListing, PlatformError>> {
    return this.isSuspect
      ? Promise.resolve(failure(STORE_OUT_OF_REACH))
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
      this.noteResult(direct);
      // Only a call that was surely not carried out may be repeated elsewhere.
      if (direct.ok || direct.error.kind !== 'unavailable') {
        return direct;
      }
    }
    return this.relay(peer => this.options.relay.putControl(peer, write));
  }

  /** Not carried by another proxy: each of the proxies concerned can write its own key. */
  async putEntries(
    writes: readonly ConditionalWrite[],
  ): Promise<Result<ReadonlyMap<string, TableEntry>, BatchWriteError>> {
    const result = await this.options.direct.putEntries(writes);
    this.noteResult(result);
    return result;
  }

  /** The write of another proxy, on the store alone. */
  putForPeer(
    write: ConditionalWrite,
  ): Promise<Result<TableEntry, PlatformError>> {
    return this.isSuspect
      ? Promise.resolve(failure(STORE_OUT_OF_REACH))
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
    this.noteResult(result);
    return result;
  }

  private noteResult(
    result: Result<unknown, PlatformError | BatchWriteError>,
  ): void {
    const hasAnswered =
      result.ok ||
      result.error.kind === 'conflict' ||
      result.error.kind === 'conflicts';
    if (hasAnswered) {
      this.noteStoreAnswered();
    } else {
      this.failedAtMs = this.options.clock.nowMs();
    }
  }

  /** Tries the store itself in the background. */
  private probe(): void {
    const nowMs = this.options.clock.nowMs();
    if (nowMs - this.probedAtMs >= PROBE_INTERVAL_MS) {
      this.probedAtMs = nowMs;
      void this.listDirectly();
    }
  }

  private async relay<T>(
    call: (
      peer: EntryVmRecord,
    ) => Promise<Result<Result<T, PlatformError>, unknown>>,
  ): Promise<Result<T, PlatformError>> {
    for (const peer of this.choosePeers()) {
      const answer = await call(peer);
      if (!answer.ok) {
        continue;
      }
      this.peerAnsweredAtMs = this.options.clock.nowMs();
      const result = answer.value;
      if (result.ok || result.error.kind === 'conflict') {
        return result;
      }
      if (result.error.kind === 'outcomeUnknown') {
        return result;
      }
    }
    return failure(STORE_OUT_OF_REACH);
  }

  private choosePeers(): readonly EntryVmRecord[] {
    const peers = [...this.options.getOtherEntryVms()];
    const start = this.options.random.nextInteger(
      0,
      Math.max(0, peers.length - 1),
    );
    const rotated = [...peers.slice(start), ...peers.slice(0, start)];
    return rotated.slice(0, MAX_RELAYS);
  }
}

const STORE_OUT_OF_REACH: PlatformError = {
  kind: 'unavailable',
  reason: 'neither the store nor a proxy that reaches it answers',
};
