import type {Result} from '@filbertrun/base/result.js';
import type {
  AvailabilityZone,
  EntryVmId,
} from '@filbertrun/model/identifiers.js';

/**
 * Interfaces of the platform's services. `HttpPlatformService` calls the real
 * platform or the stand-in over HTTP; tests use in-memory fakes.
 */

/**
 * Why a call to the platform failed. After `outcomeUnknown` the write may or
 * may not have taken effect: read the key again before acting on it.
 *
 * @public
 */
export type PlatformError =
  | {readonly kind: 'unavailable'; readonly reason: string}
  | {readonly kind: 'outcomeUnknown'; readonly reason: string}
  /**
   * The key has a different revision. `current` is null if the key does not
   * exist, or if the expected revision was read before the store was restored
   * from a backup.
   */
  | {readonly kind: 'conflict'; readonly current: TableEntry | null}
  | {readonly kind: 'malformed'; readonly reason: string};

/**
 * A value of the table service and its revision. A conditional write must give
 * this revision.
 *
 * @public
 */
export interface TableEntry {
  readonly value: string;
  /**
   * Starts at 1 and increases with each write to the key. It also increases when
   * the store is restored from a backup (`store_revision.ts`).
   */
  readonly revision: number;
}

/** A conditional write. @public */
export interface ConditionalWrite {
  readonly key: string;
  readonly value: string;
  /** Revision that the key must have; 0 if the key must not exist. */
  readonly expectedRevision: number;
}

/** The platform's transactional table service. @public */
export interface PlatformTable {
  /** Reads a key; null if it does not exist. */
  getEntry(key: string): Promise<Result<TableEntry | null, PlatformError>>;
  /** Writes a key if it has the expected revision. */
  putEntry(write: ConditionalWrite): Promise<Result<TableEntry, PlatformError>>;
}

/** A consistent snapshot of a table. @public */
export interface TableListing {
  readonly entries: ReadonlyMap<string, TableEntry>;
  /** Latest revision of the store at the time of the snapshot. */
  readonly revision: number;
  /** Time of the store's monotonic clock at the time of the snapshot. */
  readonly storeTimeMs: number;
}

/** Why a call failed that cannot conflict with another writer. @public */
export type PlatformCallError = Exclude<
  PlatformError,
  {readonly kind: 'conflict'}
>;

/**
 * Why a batch write failed. `conflicts` means that nothing was written; its map
 * holds the current entry of each key with a different revision. The map is
 * empty if an expected revision was read before the store was restored from a
 * backup.
 *
 * @public
 */
export type BatchWriteError =
  | PlatformCallError
  | {
      readonly kind: 'conflicts';
      readonly current: ReadonlyMap<string, TableEntry | null>;
    };

/** A table that supports listing and batch writes. @public */
export interface ListableTable extends PlatformTable {
  listEntries(): Promise<Result<TableListing, PlatformError>>;
  /** Writes all keys if each has its expected revision, otherwise none. */
  putEntries(
    writes: readonly ConditionalWrite[],
  ): Promise<Result<ReadonlyMap<string, TableEntry>, BatchWriteError>>;
  /** Removes a key if it has the expected revision. */
  removeEntry(
    key: string,
    expectedRevision: number,
  ): Promise<Result<void, PlatformError>>;
}

/** The platform's object store. Objects are immutable. @public */
export interface ObjectStore {
  getObject(name: string): Promise<Result<string | null, PlatformError>>;
  putObject(name: string, body: string): Promise<Result<void, PlatformError>>;
}

/** An entry of the platform's VM list, which can be out of date. @public */
export interface ListedVm {
  readonly entryVm: EntryVmId;
  readonly availabilityZone: AvailabilityZone;
  /** Base URL of the VM's peer interface. */
  readonly peerUrl: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's VM list, which lags behind the actual state. @public */
export interface VmDirectory {
  listVms(): Promise<Result<readonly ListedVm[], PlatformError>>;
}

/** All services of the platform. @public */
export interface PlatformService
  extends PlatformTable, ObjectStore, VmDirectory {}

/**
 * Key of the configuration pointer: JSON `{version, objectName, changeIds}`.
 *
 * @public
 */
export const CONFIGURATION_KEY = 'configuration';

/** Key of the promotion claim of a database group. @public */
export function getClaimKey(databaseGroup: string): string {
  return `claim/${databaseGroup}`;
}
