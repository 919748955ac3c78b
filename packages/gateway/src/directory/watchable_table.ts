import type {Result} from '@filbertrun/base/result.js';
import type {PlatformError} from '@filbertrun/platform/platform_service.js';

/** Types of a platform table that can be watched for changes. */

/** Change to one key. @public */
export type TableChange<T> =
  | {
      readonly kind: 'put';
      readonly key: string;
      readonly revision: number;
      readonly value: T;
    }
  | {readonly kind: 'removed'; readonly key: string; readonly revision: number}
  /** The value could not be parsed; the key is treated as absent. */
  | {
      readonly kind: 'unreadable';
      readonly key: string;
      readonly revision: number;
      readonly reason: string;
    };

/** Changes up to and including a store revision. @public */
export interface TableChanges<T> {
  readonly changes: readonly TableChange<T>[];
  readonly revision: number;
  /** Size of the response that they came in, if it is known. */
  readonly responseBytes?: number;
  /** The read that returned them, for logs. */
  readonly read?: TableRead;
}

/** A read of a table. @public */
export interface TableRead {
  /** `store`, or the entry VM of the proxy that has read the store. */
  readonly source: string;
  /** Time from the request to its response, including the time held open. */
  readonly durationMs: number;
}

/** Reason why a watch failed. @public */
export type WatchError =
  | PlatformError
  /** The requested revision was compacted; the table must be listed again. */
  | {readonly kind: 'historyLost'};

/** Table that can be listed and watched. @public */
export interface WatchableTable<T> {
  /** Returns a consistent snapshot of all keys. */
  list(): Promise<Result<TableChanges<T>, PlatformError>>;
  /** Long-polls for changes after a revision, for up to `waitMs`. */
  watch(
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<TableChanges<T>, WatchError>>;
}
