import type {Result} from '@filbertrun/base/result.js';
import type {PlatformError} from '@filbertrun/platform/platform_service.js';

/** A table of the platform whose changes can be followed. */

/** A change of one key. @public */
export type TableChange<T> =
  | {
      readonly kind: 'put';
      readonly key: string;
      readonly revision: number;
      readonly value: T;
    }
  | {readonly kind: 'removed'; readonly key: string; readonly revision: number}
  /** The value can't be read; it counts as no value. */
  | {
      readonly kind: 'unreadable';
      readonly key: string;
      readonly revision: number;
      readonly reason: string;
    };

/** Changes up to a revision of the store. @public */
export interface TableChanges<T> {
  readonly changes: readonly TableChange<T>[];
  readonly revision: number;
}

/** Why a watch ended. @public */
export type WatchError =
  | PlatformError
  /** Changes since the revision are no longer kept; list the table again. */
  | {readonly kind: 'historyLost'};

/** Lists and follows one table. @public */
export interface WatchableTable<T> {
  /** All keys as of one moment. */
  list(): Promise<Result<TableChanges<T>, PlatformError>>;
  /** The changes after a revision, as soon as there are any or `waitMs` has passed. */
  watch(
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<TableChanges<T>, WatchError>>;
}
