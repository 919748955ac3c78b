import type {Result} from '@filbertrun/base/result.js';
import type {
  AvailabilityZone,
  EntryVmId,
} from '@filbertrun/model/identifiers.js';

/**
 * What the platform provides, as the rest of the system sees it. The real
 * service and the stand-in are reached through `HttpPlatformService`; tests
 * use in-memory fakes.
 */

/**
 * Why a call to the platform failed. After `outcomeUnknown` the change may or
 * may not have taken effect: read the key back before deciding.
 *
 * @public
 */
export type PlatformError =
  | {readonly kind: 'unavailable'; readonly reason: string}
  | {readonly kind: 'outcomeUnknown'; readonly reason: string}
  /**
   * The key has another revision. `current` is null if it does not exist, or if
   * the expected revision was read before the store came back from a copy.
   */
  | {readonly kind: 'conflict'; readonly current: TableEntry | null}
  | {readonly kind: 'malformed'; readonly reason: string};

/** A value of the table service with the revision that a write must name. @public */
export interface TableEntry {
  readonly value: string;
  /**
   * Rises with each write to the key, from 1. It also rises when the store comes
   * back from a copy (`store_revision.ts`).
   */
  readonly revision: number;
}

/** A conditional write. @public */
export interface ConditionalWrite {
  readonly key: string;
  readonly value: string;
  /** Revision that the key must have; 0 when it must not exist. */
  readonly expectedRevision: number;
}

/** The platform's transactional table service. @public */
export interface PlatformTable {
  /** Reads a key; null when it does not exist. */
  getEntry(key: string): Promise<Result<TableEntry | null, PlatformError>>;
  /** Writes a key if it has the expected revision. */
  putEntry(write: ConditionalWrite): Promise<Result<TableEntry, PlatformError>>;
}

/** All entries of a table as of one moment. @public */
export interface TableListing {
  readonly entries: ReadonlyMap<string, TableEntry>;
  /** Newest revision of the store at that moment. */
  readonly revision: number;
  /** The store's own steady clock at that moment. */
  readonly storeTimeMs: number;
}

/** Why a call failed that can't conflict with another writer. @public */
export type PlatformCallError = Exclude<
  PlatformError,
  {readonly kind: 'conflict'}
>;

/**
 * Why a write of several keys failed. `conflicts` has the keys whose revisions
 * differed, with what they hold; nothing was written. It is empty if expected
 * revisions were read before the store came back from a copy.
 *
 * @public
 */
export type BatchWriteError =
  | PlatformCallError
  | {
      readonly kind: 'conflicts';
      readonly current: ReadonlyMap<string, TableEntry | null>;
    };

/** A table that can be read whole. @public */
export interface ListableTable extends PlatformTable {
  listEntries(): Promise<Result<TableListing, PlatformError>>;
  /** Writes all keys if each has its expected revision, or none of them. */
  putEntries(
    writes: readonly ConditionalWrite[],
  ): Promise<Result<ReadonlyMap<string, TableEntry>, BatchWriteError>>;
  /** Removes a key if it has the revision. */
  removeEntry(
    key: string,
    expectedRevision: number,
  ): Promise<Result<void, PlatformError>>;
}

/** The platform's object store. Objects never change once written. @public */
export interface ObjectStore {
  getObject(name: string): Promise<Result<string | null, PlatformError>>;
  putObject(name: string, body: string): Promise<Result<void, PlatformError>>;
}

/** One VM in the platform's list, which lags behind the truth. @public */
export interface ListedVm {
  readonly entryVm: EntryVmId;
  readonly availabilityZone: AvailabilityZone;
  /** Base URL of the VM's peer interface. */
  readonly peerUrl: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's lagging list of VMs. @public */
export interface VmDirectory {
  listVms(): Promise<Result<readonly ListedVm[], PlatformError>>;
}

/** All that the platform provides. @public */
export interface PlatformService
  extends PlatformTable, ObjectStore, VmDirectory {}

/** Key of the configuration pointer: JSON `{version, objectName, changeIds}`. @public */
export const CONFIGURATION_KEY = 'configuration';

/** Key of the promotion claim of a database group. @public */
export function getClaimKey(databaseGroup: string): string {
  return `claim/${databaseGroup}`;
}
