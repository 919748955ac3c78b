import type {Clock} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import type {
  ConditionalWrite,
  ListedVm,
  PlatformError,
  PlatformService,
  TableEntry,
} from './platform_service.js';

/**
 * An in-memory implementation of the platform with fault injection. Tests use
 * it directly; the platform stand-in serves it over HTTP.
 */

/** Options of `InMemoryPlatformService`. @public */
export interface InMemoryPlatformOptions {
  readonly clock: Clock;
}

/**
 * The platform in memory. Without latency each call settles in a microtask.
 *
 * @public
 */
export class InMemoryPlatformService implements PlatformService {
  private readonly entries = new Map<string, TableEntry>();
  private readonly objects = new Map<string, string>();
  private readonly actualVms = new Map<EntryVmId, ListedVm>();
  private listedVms: readonly ListedVm[] = [];
  private isDown = false;
  private dropsNextResponse = false;
  private latencyMs = 0;
  private vmListLagMs = 0;

  private constructor(private readonly clock: Clock) {}

  static create(options: InMemoryPlatformOptions): InMemoryPlatformService {
    return new InMemoryPlatformService(options.clock);
  }

  /** Makes every call fail with `unavailable` while `isDown` is true. */
  setOutage(isDown: boolean): void {
    this.isDown = isDown;
  }

  /** Applies the next write but reports `outcomeUnknown` for it. */
  dropNextResponse(): void {
    this.dropsNextResponse = true;
  }

  /** Delays every call, half before and half after it takes effect. */
  setLatencyMs(latencyMs: number): void {
    this.latencyMs = latencyMs;
  }

  /** Sets the delay until a changed VM appears in the list. */
  setVmListLagMs(lagMs: number): void {
    this.vmListLagMs = lagMs;
  }

  /** Adds or updates a VM. The list shows it after the configured lag. */
  putVm(vm: ListedVm): void {
    this.actualVms.set(vm.entryVm, vm);
    this.publishVms();
  }

  /** Removes a VM. The list shows it until the configured lag has passed. */
  removeVm(entryVm: EntryVmId): void {
    this.actualVms.delete(entryVm);
    this.publishVms();
  }

  async getEntry(
    key: string,
  ): Promise<Result<TableEntry | null, PlatformError>> {
    return this.runRead(() => this.entries.get(key) ?? null);
  }

  async putEntry(
    write: ConditionalWrite,
  ): Promise<Result<TableEntry, PlatformError>> {
    return this.runWrite(() => this.applyWrite(write));
  }

  async getObject(name: string): Promise<Result<string | null, PlatformError>> {
    return this.runRead(() => this.objects.get(name) ?? null);
  }

  async putObject(
    name: string,
    body: string,
  ): Promise<Result<void, PlatformError>> {
    return this.runWrite(() => {
      this.objects.set(name, body);
      return success(undefined);
    });
  }

  async listVms(): Promise<Result<readonly ListedVm[], PlatformError>> {
    return this.runRead(() => this.listedVms);
  }

  private async runRead<T>(read: () => T): Promise<Result<T, PlatformError>> {
    await this.waitHalfLatency();
    if (this.isDown) {
      return failure(OUTAGE);
    }
    const value = read();
    await this.waitHalfLatency();
    return success(value);
  }

  private async runWrite<T>(
    write: () => Result<T, PlatformError>,
  ): Promise<Result<T, PlatformError>> {
    await this.waitHalfLatency();
    if (this.isDown) {
      return failure(OUTAGE);
    }
    const result = write();
    const isDropped = this.dropsNextResponse;
    this.dropsNextResponse = false;
    await this.waitHalfLatency();
    return isDropped ? failure(DROPPED_RESPONSE) : result;
  }

  private applyWrite(
    write: ConditionalWrite,
  ): Result<TableEntry, PlatformError> {
    const current = this.entries.get(write.key) ?? null;
    if ((current?.revision ?? 0) !== write.expectedRevision) {
      return failure({kind: 'conflict', current});
    }
    const entry = {value: write.value, revision: write.expectedRevision + 1};
    this.entries.set(write.key, entry);
    return success(entry);
  }

  private publishVms(): void {
    const snapshot = [...this.actualVms.values()];
    if (this.vmListLagMs === 0) {
      this.listedVms = snapshot;
      return;
    }
    this.clock.startTimer(this.vmListLagMs, () => {
      this.listedVms = snapshot;
    });
  }

  private waitHalfLatency(): Promise<void> {
    if (this.latencyMs === 0) {
      return Promise.resolve();
    }
    return sleep(this.clock, this.latencyMs / 2);
  }
}

const OUTAGE: PlatformError = {
  kind: 'unavailable',
  reason: 'the platform is down',
};

const DROPPED_RESPONSE: PlatformError = {
  kind: 'outcomeUnknown',
  reason: 'the response was dropped',
};
