import type {BackendErrorFields} from '@filbertrun/wire/backend_message_reader.js';

/** A write reached an instance that is no longer the primary. */
const READ_ONLY_TRANSACTION = '25006';
/** The instance ended its sessions; a running statement was rolled back. */
const ADMIN_SHUTDOWN = '57P01';
const CRASH_SHUTDOWN = '57P02';
const CANNOT_CONNECT_NOW = '57P03';

const REJECTIONS: ReadonlySet<string> = new Set([
  READ_ONLY_TRANSACTION,
  ADMIN_SHUTDOWN,
  CRASH_SHUTDOWN,
  CANNOT_CONNECT_NOW,
]);

/**
 * Whether an error says that the statement had no effect and that this instance
 * cannot run it, so that it may be retried on another instance.
 *
 * @public
 */
export function isInstanceRejection(error: BackendErrorFields): boolean {
  return REJECTIONS.has(error.sqlState);
}

/**
 * Treats no error as a rejection, so that the caller receives all errors. Used
 * in a transaction, which cannot continue on another instance.
 *
 * @public
 */
export function neverRejection(): boolean {
  return false;
}
