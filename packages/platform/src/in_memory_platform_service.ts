import type {Clock} from '@filbertrun/base/clock.js';
import {pause} from '@filbertrun/base/pause.js';
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
 * The platform held in memory, with faults that can be switched on. Tests use
 * it directly; the stand-in serves it over HTTP.
 *
 * @public
 */

/** What the in-memory platform is made of. @public */
export interface InMemoryPlatformOptions {
  readonly clock: Clock;
}

/** A platform in memory. Without latency each call settles in a microtask. @public */
export class InMemoryPlatformService implements PlatformService {
  private readonly entries = new Map<string, TableEntry>();
  private readonly objects = new Map<string, string>();
  private readonly truth = new Map<EntryVmId, ListedVm>();
  private listed: readonly ListedVm[] = [];
  private isDown = false;
  private mustLoseNextAnswer = false;
  private latencyMs = 0;
  private vmListLagMs = 0;

  private constructor(private readonly clock: Clock) {}

  static create(options: InMemoryPlatformOptions): InMemoryPlatformService {
    return new InMemoryPlatformService(options.clock);
  }

  /** Makes every call fail as unavailable until it is switched off. */
  setOutage(isDown: boolean): void {
    this.isDown = isDown;
  }

  /** Lets the next write take effect but answers it with `outcomeUnknown`. */
  loseNextAnswer(): void {
    this.mustLoseNextAnswer = true;
  }

  /** Delays every call; half of it passes before the call takes effect. */
  setLatencyMs(latencyMs: number): void {
    this.latencyMs = latencyMs;
  }

  /** Time until a change of the VMs appears in the list. */
  setVmListLagMs(lagMs: number): void {
    this.vmListLagMs = lagMs;
  }

  /** Adds or changes a VM; the list shows it after its lag. */
  putVm(vm: ListedVm): void {
    this.truth.set(vm.entryVm, vm);
    this.publishVms();
  }

  /** Removes a VM; the list shows it after its lag. */
  removeVm(entryVm: EntryVmId): void {
    this.truth.delete(entryVm);
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
    return this.runRead(() => this.listed);
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
    const isLost = this.mustLoseNextAnswer;
    this.mustLoseNextAnswer = false;
    await this.waitHalfLatency();
    return isLost ? failure(LOST_ANSWER) : result;
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
    const snapshot = [...this.truth.values()];
    if (this.vmListLagMs === 0) {
      this.listed = snapshot;
      return;
    }
    this.clock.startTimer(this.vmListLagMs, () => {
      this.listed = snapshot;
    });
  }

  private waitHalfLatency(): Promise<void> {
    if (this.latencyMs === 0) {
      return Promise.resolve();
    }
    return pause(this.clock, this.latencyMs / 2);
  }
}

const OUTAGE: PlatformError = {
  kind: 'unavailable',
  reason: 'the platform is down',
};

const LOST_ANSWER: PlatformError = {
  kind: 'outcomeUnknown',
  reason: 'the answer was lost',
};
