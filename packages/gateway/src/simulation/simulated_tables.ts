import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {
  BatchWriteError,
  ConditionalWrite,
  ListableTable,
  PlatformError,
  TableEntry,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {
  TableChange,
  TableChanges,
  WatchableTable,
  WatchError,
} from '../directory/watchable_table.js';
import type {FakeControlTable} from '../testing/fake_control_table.js';
import {CALL_MS, CALL_TIMEOUT_MS, type PartyLink} from './party_link.js';
import type {SimulatedGroup} from './simulated_group.js';
import {STORE} from './simulated_network.js';
import type {SimulatedOperator} from './simulated_operator.js';

/** The tables of the simulated store as one proxy reaches them. */

const UNAVAILABLE: PlatformError = {kind: 'unavailable', reason: 'simulated'};

/** Calls to the store, by what they are for. @internal */
export interface StoreCallCounts {
  control: number;
  directory: number;
  configuration: number;
}

/** The table of the proxies themselves. @internal */
export class SimulatedControlTable implements ListableTable {
  constructor(
    private readonly link: PartyLink,
    private readonly store: FakeControlTable,
    private readonly calls: StoreCallCounts,
  ) {}

  async listEntries(): Promise<Result<TableListing, PlatformError>> {
    this.calls.control++;
    if (!(await this.link.reach(STORE))) {
      return failure(UNAVAILABLE);
    }
    const listing = await this.store.listEntries();
    await this.link.pause(CALL_MS);
    return listing;
  }

  async getEntry(
    key: string,
  ): Promise<Result<TableEntry | null, PlatformError>> {
    return (await this.link.reach(STORE))
      ? this.store.getEntry(key)
      : failure(UNAVAILABLE);
  }

  async putEntry(
    write: ConditionalWrite,
  ): Promise<Result<TableEntry, PlatformError>> {
    this.calls.control++;
    return (await this.link.reach(STORE))
      ? this.store.putEntry(write)
      : failure(UNAVAILABLE);
  }

  async putEntries(
    writes: readonly ConditionalWrite[],
  ): Promise<Result<ReadonlyMap<string, TableEntry>, BatchWriteError>> {
    this.calls.control++;
    return (await this.link.reach(STORE))
      ? this.store.putEntries(writes)
      : failure({kind: 'unavailable', reason: 'simulated'});
  }

  async removeEntry(
    key: string,
    expectedRevision: number,
  ): Promise<Result<void, PlatformError>> {
    return (await this.link.reach(STORE))
      ? this.store.removeEntry(key, expectedRevision)
      : failure(UNAVAILABLE);
  }
}

/** The instances whose heartbeats reach the store. @internal */
export class SimulatedDirectory implements WatchableTable<BackendServerEntry> {
  constructor(
    private readonly link: PartyLink,
    private readonly group: SimulatedGroup,
    private readonly calls: StoreCallCounts,
  ) {}

  async list(): Promise<
    Result<TableChanges<BackendServerEntry>, PlatformError>
  > {
    this.calls.directory++;
    if (!(await this.link.reach(STORE))) {
      return failure(UNAVAILABLE);
    }
    return success(this.describe());
  }

  async watch(): Promise<Result<TableChanges<BackendServerEntry>, WatchError>> {
    await this.link.pause(CALL_TIMEOUT_MS);
    return this.list();
  }

  private describe(): TableChanges<BackendServerEntry> {
    const revision = this.group.directoryRevision;
    const changes: TableChange<BackendServerEntry>[] = [];
    for (const key of this.group.listExpired()) {
      changes.push({kind: 'removed', key, revision});
    }
    for (const value of this.group.listEntries()) {
      changes.push({kind: 'put', key: value.backendServer, revision, value});
    }
    return {changes, revision};
  }
}

/** Interval at which a watch looks for a newer configuration. */
const WATCH_STEP_MS = 50;

/** The configuration that the operator keeps. @internal */
export class SimulatedConfiguration implements WatchableTable<ServiceConfiguration> {
  constructor(
    private readonly link: PartyLink,
    private readonly operator: SimulatedOperator,
    private readonly calls: StoreCallCounts,
  ) {}

  async list(): Promise<
    Result<TableChanges<ServiceConfiguration>, PlatformError>
  > {
    this.calls.configuration++;
    return (await this.link.reach(STORE))
      ? success(this.describe())
      : failure(UNAVAILABLE);
  }

  async watch(
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<TableChanges<ServiceConfiguration>, WatchError>> {
    for (let waitedMs = 0; waitedMs < waitMs; waitedMs += WATCH_STEP_MS) {
      if (this.operator.current.version > afterRevision) {
        return this.list();
      }
      await this.link.pause(WATCH_STEP_MS);
    }
    this.calls.configuration++;
    return (await this.link.reach(STORE))
      ? success({changes: [], revision: afterRevision})
      : failure(UNAVAILABLE);
  }

  private describe(): TableChanges<ServiceConfiguration> {
    const value = this.operator.current;
    const revision = value.version;
    return {changes: [{kind: 'put', key: 'config', revision, value}], revision};
  }
}
