import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {TableNews} from './table_board.js';

/**
 * What the reader of an availability zone passes on to the other proxies there.
 *
 * Ages travel as leads: the time by which a read of the store began before the
 * question of the other proxy arrived, negative if it began after. Counted back
 * from the moment at which the question was sent, it gives a time that is not
 * later than the start of the read, without comparing clocks.
 */

/** Asks the reader of the own zone for what is new. @public */
export interface ZoneQuestion {
  readonly entryVm: string;
  readonly incarnation: string;
  /** Newest known revision of each table; null to get all of it. */
  readonly controlRevision: number | null;
  readonly directoryRevision: number | null;
  readonly configurationRevision: number | null;
  /** Whether the reader should read the control table more often. */
  readonly isUrgent: boolean;
  /** Time for which the answer may be held back while there is nothing new. */
  readonly waitMs: number;
}

/** News of the control table, with what proves their age. @public */
export interface ControlNews extends TableNews<string> {
  /** The store's clock at the read. */
  readonly storeTimeMs: number;
  readonly readLeadMs: number;
}

/** The reader's own contact. @public */
export interface ZoneContact {
  /** Digest of the records of primaries that the reader knows. */
  readonly digest: string;
  readonly startLeadMs: number;
}

/** Answer of the reader. @public */
export interface ZoneNews {
  readonly control: ControlNews;
  readonly directory: TableNews<BackendServerEntry>;
  readonly configuration: TableNews<ServiceConfiguration>;
  /** Null while the reader itself is not in contact or holds no lease. */
  readonly contact: ZoneContact | null;
}
