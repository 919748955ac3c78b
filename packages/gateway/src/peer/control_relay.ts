import type {Result} from '@filbertrun/base/result.js';
import type {
  ConditionalWrite,
  PlatformError,
  TableEntry,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {PeerError} from './peer_caller.js';

/** Calls to the control table that another proxy carries to the store. @public */
export interface ControlRelay {
  listControl(
    peer: EntryVmRecord,
  ): Promise<Result<Result<TableListing, PlatformError>, PeerError>>;
  /** A write that got no answer from the proxy has an unknown outcome. */
  putControl(
    peer: EntryVmRecord,
    write: ConditionalWrite,
  ): Promise<Result<Result<TableEntry, PlatformError>, PeerError>>;
}

/** Answers relayed calls. @public */
export interface ControlRelayHandler {
  listForPeer(): Promise<Result<TableListing, PlatformError>>;
  putForPeer(
    write: ConditionalWrite,
  ): Promise<Result<TableEntry, PlatformError>>;
}
