import type {
  ConfigurationIdentity,
  IdentifiedDelta,
} from '../configuration/configuration_history.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {TableUpdate} from './table_change_cache.js';

/**
 * Updates that the zone reader sends to the other proxies of its availability
 * zone, the followers.
 *
 * Ages are sent as leads: the time between the start of a store read and the
 * arrival of the follower's request, negative if the read began later. The
 * follower subtracts the lead from the time at which it sent the request. The
 * result is never later than the start of the read, and the clocks of the two
 * proxies need not be compared.
 */

/** Long-poll request of a follower to its zone reader. @public */
export interface ZoneUpdateRequest {
  readonly entryVm: string;
  /** Distinguishes a restarted process from the previous one. */
  readonly incarnation: string;
  /** Newest known revision of each table; null requests a full listing. */
  readonly controlRevision: number | null;
  readonly directoryRevision: number | null;
  readonly configurationRevision: number | null;
  /**
   * Configuration to which a delta can be applied; null for none. Undefined for a
   * process of a build that needs the whole configuration.
   */
  readonly knownConfiguration?: ConfigurationIdentity | null | undefined;
  /** Whether the reader should read the control table more often. */
  readonly isUrgent: boolean;
  /** Time for which the reader may hold the response until it has changes. */
  readonly waitMs: number;
}

/** Update of the control table, with the age of the read. @public */
export interface ControlUpdate extends TableUpdate<string> {
  /** Time of the read on the store's clock. */
  readonly storeTimeMs: number;
  readonly readLeadMs: number;
}

/**
 * The latest contact of the zone reader, at which the store or a proxy of
 * another zone confirmed its primary records.
 *
 * @public
 */
export interface ZoneContact {
  /** Digest of the primary records that the reader knows. */
  readonly digest: string;
  readonly startLeadMs: number;
}

/** Response of the zone reader. @public */
export interface ZoneUpdate {
  readonly control: ControlUpdate;
  readonly directory: TableUpdate<BackendServerEntry>;
  /** Does not include the configuration itself if that is sent as a delta. */
  readonly configuration: TableUpdate<ServiceConfiguration>;
  /** What changed in the configuration; null for nothing or without deltas. */
  readonly configurationDelta: IdentifiedDelta | null;
  /**
   * Lead of the time as of which the reader knows that its configuration was
   * current; null if it does not know, or is of a build that does not tell.
   */
  readonly configurationLeadMs: number | null;
  /** Null while the reader is not in contact or holds no lease. */
  readonly contact: ZoneContact | null;
}
