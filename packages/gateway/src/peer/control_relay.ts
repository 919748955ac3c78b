import type {Result} from '@filbertrun/base/result.js';
import type {
  ConditionalWrite,
  PlatformError,
  TableEntry,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {PeerError} from './peer_client.js';

/** Relays calls to the control table through another proxy. @public */
export interface ControlRelay {
  listControl(
    peer: EntryVmRecord,
  ): Promise<Result<Result<TableListing, PlatformError>, PeerError>>;
  /** The outcome of a write is unknown if the other proxy does not respond. */
  putControl(
    peer: EntryVmRecord,
    write: ConditionalWrite,
  ): Promise<Result<Result<TableEntry, PlatformError>, PeerError>>;
}

/** Handles calls that other proxies relay through this one. @public */
export interface ControlRelayHandler {
  listForPeer(): Promise<Result<TableListing, PlatformError>>;
  putForPeer(
    write: ConditionalWrite,
  ): Promise<Result<TableEntry, PlatformError>>;
}
