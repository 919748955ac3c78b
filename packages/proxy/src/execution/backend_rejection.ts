import type {BackendErrorFields} from '@filbertrun/wire/backend_message_reader.js';

/** A write reached an instance that is not the primary any more. */
const READ_ONLY_TRANSACTION = '25006';
/** The instance ended its sessions; an open statement was rolled back. */
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
 * Whether an error says that the instance took no effect on the statement
 * and cannot run it, so that another instance may.
 *
 * @public
 */
export function isInstanceRejection(error: BackendErrorFields): boolean {
  return REJECTIONS.has(error.sqlState);
}

/** Keeps no error from the caller. @public */
export function isNeverRejection(): boolean {
  return false;
}
