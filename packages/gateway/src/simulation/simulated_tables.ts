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
import {LatestStoreEra} from '@filbertrun/platform/latest_store_era.js';
import {createRevision, getEra} from '@filbertrun/platform/store_revision.js';
import type {FakeControlTable} from '../testing/fake_control_table.js';
import type {SimulatedRestore} from './simulated_restore.js';
import {CALL_MS, CALL_TIMEOUT_MS, type NetworkPath} from './network_path.js';
import type {SimulatedGroup} from './simulated_group.js';
import {STORE} from './simulated_network.js';
import type {StoreCaller} from './store_call.js';
import type {SimulatedOperator} from './simulated_operator.js';
import type {SimulatedTransfers} from './simulated_transfers.js';

/** One proxy's clients of the tables in the simulated store. */

const UNAVAILABLE = {kind: 'unavailable', reason: 'simulated'} as const;

/** Number of calls to the store by purpose. @internal */
export interface StoreCallCounts {
  control: number;
  directory: number;
  configuration: number;
}

const OUTCOME_UNKNOWN = {
  kind: 'outcomeUnknown',
  reason: 'simulated',
} as const;

/** Client of the control table or the roster table. @internal */
export class SimulatedControlTable implements ListableTable {
  constructor(
    private readonly path: NetworkPath,
    private readonly caller: StoreCaller,
    private readonly store: FakeControlTable,
    private readonly calls: StoreCallCounts,
    /** Latest store era that this client has seen. */
    private readonly era: LatestStoreEra,
  ) {}

  async listEntries(): Promise<Result<TableListing, PlatformError>> {
    this.calls.control++;
    const outcome = await this.caller.call(() => this.store.listEntries());
    if (outcome.kind !== 'answered') {
      return failure(UNAVAILABLE);
    }
    this.era.record(this.store.era);
    await this.path.pause(CALL_MS);
    return outcome.value;
  }

  async getEntry(
    key: string,
  ): Promise<Result<TableEntry | null, PlatformError>> {
    const outcome = await this.caller.call(() => this.store.getEntry(key));
    return outcome.kind === 'answered' ? outcome.value : failure(UNAVAILABLE);
  }

  async putEntry(
    write: ConditionalWrite,
  ): Promise<Result<TableEntry, PlatformError>> {
    this.calls.control++;
    if (this.era.isOutdated(write.expectedRevision)) {
      return failure({kind: 'conflict', current: null});
    }
    const outcome = await this.caller.call(() => this.store.putEntry(write));
    if (outcome.kind !== 'answered') {
      return failure(convertFailure(outcome.kind));
    }
    this.era.record(this.store.era);
    return outcome.value.ok && this.era.isOutdated(write.expectedRevision)
      ? failure(OUTCOME_UNKNOWN)
      : outcome.value;
  }

  async putEntries(
    writes: readonly ConditionalWrite[],
  ): Promise<Result<ReadonlyMap<string, TableEntry>, BatchWriteError>> {
    this.calls.control++;
    const isOutdated = () =>
      writes.some(({expectedRevision}) =>
        this.era.isOutdated(expectedRevision),
      );
    if (isOutdated()) {
      return failure({kind: 'conflicts', current: new Map()});
    }
    const outcome = await this.caller.call(() => this.store.putEntries(writes));
    if (outcome.kind !== 'answered') {
      return failure(convertFailure(outcome.kind));
    }
    this.era.record(this.store.era);
    return outcome.value.ok && isOutdated()
      ? failure(OUTCOME_UNKNOWN)
      : outcome.value;
  }

  async removeEntry(
    key: string,
    expectedRevision: number,
  ): Promise<Result<void, PlatformError>> {
    if (this.era.isOutdated(expectedRevision)) {
      return failure({kind: 'conflict', current: null});
    }
    const outcome = await this.caller.call(() =>
      this.store.removeEntry(key, expectedRevision),
    );
    return outcome.kind === 'answered'
      ? outcome.value
      : failure(convertFailure(outcome.kind));
  }
}

function convertFailure(
  kind: 'unreachable' | 'timedOut',
): typeof UNAVAILABLE | typeof OUTCOME_UNKNOWN {
  return kind === 'unreachable' ? UNAVAILABLE : OUTCOME_UNKNOWN;
}

/** Client of the directory, which lists instances by heartbeat. @internal */
export class SimulatedDirectory implements WatchableTable<BackendServerEntry> {
  constructor(
    private readonly path: NetworkPath,
    private readonly caller: StoreCaller,
    private readonly group: SimulatedGroup,
    private readonly restore: SimulatedRestore,
    private readonly calls: StoreCallCounts,
  ) {}

  async list(): Promise<
    Result<TableChanges<BackendServerEntry>, PlatformError>
  > {
    this.calls.directory++;
    const outcome = await this.caller.call(() =>
      Promise.resolve(this.describe()),
    );
    return outcome.kind === 'answered'
      ? success(outcome.value)
      : failure(UNAVAILABLE);
  }

  async watch(
    afterRevision: number,
  ): Promise<Result<TableChanges<BackendServerEntry>, WatchError>> {
    await this.path.pause(CALL_TIMEOUT_MS);
    if (this.restore.era > getEra(afterRevision)) {
      return failure({kind: 'historyLost'});
    }
    return this.list();
  }

  private describe(): TableChanges<BackendServerEntry> {
    const {era, restoredEntries: backupEntries} = this.restore;
    const change = this.group.directoryRevision;
    const revision = createRevision({era, change}) ?? 0;
    if (backupEntries !== null) {
      const changes = backupEntries.map(
        (value): TableChange<BackendServerEntry> => ({
          kind: 'put',
          key: value.backendServer,
          revision,
          value,
        }),
      );
      return {changes, revision};
    }
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

/** Interval at which a watch checks for a newer configuration. */
const WATCH_STEP_MS = 50;

/** Timeout of a listing, as in the client of the store. */
const LISTING_TIMEOUT_MS = 1_500;

/** Timeout of a watch beyond its wait, as in the client of the store. */
const WATCH_MARGIN_MS = 450;

/** Longest pause within a response, as in the client of the store. */
const STALL_TIMEOUT_MS = 1_000;

/** Time for which the store keeps earlier versions. */
const HISTORY_MS = 20_000;

/** Size of a response without a version. */
const EMPTY_RESPONSE_BYTES = 100;

/**
 * Client of the operator's configuration. A watch returns each version since the
 * known one in full. A call that gets no response lasts until its timeout, and one
 * whose response was lost fails although the store is reachable again.
 *
 * @internal
 */
export class SimulatedConfiguration implements WatchableTable<ServiceConfiguration> {
  constructor(
    private readonly path: NetworkPath,
    private readonly caller: StoreCaller,
    private readonly operator: SimulatedOperator,
    private readonly restore: SimulatedRestore,
    private readonly calls: StoreCallCounts,
    private readonly transfers: SimulatedTransfers,
  ) {}

  async list(): Promise<
    Result<TableChanges<ServiceConfiguration>, PlatformError>
  > {
    this.calls.configuration++;
    const delayMs = this.operator.getListingDelayMs(this.path.name);
    if (delayMs > 0) {
      await this.path.pause(delayMs);
    }
    if (!this.path.canReach(STORE)) {
      await this.path.pause(LISTING_TIMEOUT_MS);
      return failure(UNAVAILABLE);
    }
    const outcome = await this.caller.call(() =>
      Promise.resolve(this.describe()),
    );
    if (outcome.kind !== 'answered') {
      return failure(UNAVAILABLE);
    }
    return this.receive(outcome.value, LISTING_TIMEOUT_MS);
  }

  async watch(
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<TableChanges<ServiceConfiguration>, WatchError>> {
    this.calls.configuration++;
    if (!this.path.canReach(STORE)) {
      await this.path.pause(waitMs + WATCH_MARGIN_MS);
      return failure(UNAVAILABLE);
    }
    let waitedMs = 0;
    while (waitedMs < waitMs && this.getRevision() <= afterRevision) {
      if (this.hasLostHistory(afterRevision)) {
        await this.path.pause(CALL_MS);
        return failure({kind: 'historyLost'});
      }
      await this.path.pause(WATCH_STEP_MS);
      waitedMs += WATCH_STEP_MS;
    }
    if (this.hasLostHistory(afterRevision)) {
      return failure({kind: 'historyLost'});
    }
    const changes = this.describeSince(afterRevision);
    return this.receive(changes, waitMs + WATCH_MARGIN_MS - waitedMs);
  }

  /**
   * Receives a response that has to begin within the rest of the call's timeout.
   */
  private async receive(
    changes: TableChanges<ServiceConfiguration>,
    maxMs: number,
  ): Promise<Result<TableChanges<ServiceConfiguration>, PlatformError>> {
    if (!this.path.canReach(STORE)) {
      await this.path.pause(maxMs);
      return failure(UNAVAILABLE);
    }
    const bytes =
      EMPTY_RESPONSE_BYTES +
      changes.changes.length * this.transfers.versionBytes;
    await this.transfers.receive(this.path.name, bytes);
    if (!this.path.canReach(STORE)) {
      await this.path.pause(STALL_TIMEOUT_MS);
      return failure(UNAVAILABLE);
    }
    return success({...changes, responseBytes: bytes});
  }

  private describe(): TableChanges<ServiceConfiguration> {
    const value = this.getStored();
    const revision = this.getRevision();
    return {changes: [this.describeVersion(value)], revision};
  }

  /** All versions after a revision, oldest first. */
  private describeSince(
    afterRevision: number,
  ): TableChanges<ServiceConfiguration> {
    const {restoredConfiguration} = this.restore;
    const stored =
      restoredConfiguration === null
        ? this.operator.accepted.map(({configuration}) => configuration)
        : [restoredConfiguration];
    const changes = stored
      .map(configuration => this.describeVersion(configuration))
      .filter(({revision}) => revision > afterRevision);
    return {changes, revision: this.getRevision()};
  }

  private describeVersion(
    value: ServiceConfiguration,
  ): TableChange<ServiceConfiguration> {
    const {era} = this.restore;
    const revision = createRevision({era, change: value.version}) ?? 0;
    return {kind: 'put', key: 'config', revision, value};
  }

  /** Whether the store no longer has the versions after a revision. */
  private hasLostHistory(afterRevision: number): boolean {
    if (this.restore.era > getEra(afterRevision)) {
      return true;
    }
    const oldestMs = this.operator.nowMs - HISTORY_MS;
    return this.operator.accepted.some(
      ({configuration, acceptedAtMs}) =>
        acceptedAtMs < oldestMs &&
        this.describeVersion(configuration).revision > afterRevision,
    );
  }

  private getRevision(): number {
    return this.describeVersion(this.getStored()).revision;
  }

  /** Stored configuration; for a while after a restore, that of the backup. */
  private getStored(): ServiceConfiguration {
    return this.restore.restoredConfiguration ?? this.operator.current;
  }
}
