import type {Result} from '@filbertrun/base/result.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {ZoneUpdate, ZoneUpdateRequest} from '../zone/zone_update.js';
import type {RevisedPrimaryRecord} from '../group/primary_record.js';
import type {PermitExchange, PermitGrants} from '../quota/permit_exchange.js';

/** Requests and responses between the proxies of a deployment. */

/**
 * Asks a proxy to release a primary, that is to end its lease on it, because a
 * change is intended.
 *
 * @public
 */
export interface ReleaseRequest {
  readonly databaseGroup: string;
  readonly changeId: string;
  readonly oldTerm: number;
  /** Revision of the record that holds the intent. */
  readonly revision: number;
}

/**
 * Confirms that a proxy acknowledges no more commits of the old term.
 *
 * @public
 */
export interface ReleaseAnswer {
  readonly incarnation: string;
  readonly highestAcknowledged: LogPosition | null;
  /**
   * Time from the release to the answer, during which pending writes could end.
   * The proxy has confirmed no records of the old primary since the release. 0 in
   * answers of builds that do not state it.
   */
  readonly drainedForMs: number;
}

/** Reports that a primary is suspected to have failed. @public */
export interface SuspicionReport {
  readonly databaseGroup: string;
  readonly primary: string;
  readonly evidence: PrimaryFailureEvidence;
  /** Entry VM that sends the report. */
  readonly reporter: string;
}

/** Evidence of a failure of a primary. @public */
export type PrimaryFailureEvidence = 'unreachable' | 'writesStalled';

/** Asks whether a proxy can connect to a backend server. @public */
export interface ReachabilityRequest {
  readonly backendServer: string;
}

/** Result of the reachability check of a backend server. @public */
export interface ReachabilityAnswer {
  readonly isReachable: boolean;
}

/** Asks for the newest freshness bound of a group. @public */
export interface PositionRequest {
  readonly databaseGroup: string;
}

/**
 * Freshness bound of a group: every commit that was acknowledged before a
 * certain time is at or before the position.
 *
 * @public
 */
export interface PositionAnswer {
  readonly position: LogPosition;
  /** Age of the bound when the request arrived. */
  readonly leadMs: number;
}

/** Transfers failover leadership; the sender has stopped leading. @public */
export interface LeadershipTransfer {
  readonly fencingToken: number;
}

/** The primary records that a proxy knows, as a digest. @public */
export interface RecordComparison {
  /** Digest of their revisions; null unless all primaries are leased. */
  readonly digest: string | null;
}

/** Reason why another proxy did not respond. @public */
export interface PeerError {
  readonly kind: 'unreachable';
  readonly reason: string;
}

/** Sends requests to other proxies. @public */
export interface PeerClient {
  release(
    peer: EntryVmRecord,
    request: ReleaseRequest,
  ): Promise<Result<ReleaseAnswer, PeerError>>;
  announce(
    peer: EntryVmRecord,
    record: RevisedPrimaryRecord,
  ): Promise<Result<void, PeerError>>;
  reportSuspicion(
    peer: EntryVmRecord,
    report: SuspicionReport,
  ): Promise<Result<void, PeerError>>;
  /** Asks whether another proxy can connect to a backend server. */
  askReach(
    peer: EntryVmRecord,
    request: ReachabilityRequest,
  ): Promise<Result<ReachabilityAnswer, PeerError>>;
  /** Transfers failover leadership to another proxy. */
  handOverDuty(
    peer: EntryVmRecord,
    transfer: LeadershipTransfer,
  ): Promise<Result<void, PeerError>>;
  compareRecords(
    peer: EntryVmRecord,
  ): Promise<Result<RecordComparison, PeerError>>;
  /** Returns another proxy's newest freshness bound; null for none. */
  askPosition(
    peer: EntryVmRecord,
    request: PositionRequest,
  ): Promise<Result<PositionAnswer | null, PeerError>>;
  /** Returns updates of the store from the zone reader; null if it refuses. */
  followZone(
    peer: EntryVmRecord,
    request: ZoneUpdateRequest,
  ): Promise<Result<ZoneUpdate | null, PeerError>>;
  /** Exchanges permits; null if the other proxy is not the quota owner. */
  exchangePermits(
    peer: EntryVmRecord,
    exchange: PermitExchange,
  ): Promise<Result<PermitGrants | null, PeerError>>;
}

/** Handles the requests of other proxies. @public */
export interface PeerHandler {
  release(request: ReleaseRequest): Promise<ReleaseAnswer>;
  announce(record: RevisedPrimaryRecord): void;
  reportSuspicion(report: SuspicionReport): void;
  /** Checks whether this proxy can connect to a backend server. */
  askReach(request: ReachabilityRequest): Promise<ReachabilityAnswer>;
  /** Accepts a transfer of failover leadership. */
  takeOverDuty(transfer: LeadershipTransfer): void;
  compareRecords(): RecordComparison;
  /** Returns this proxy's newest freshness bound; null for none. */
  tellPosition(request: PositionRequest): PositionAnswer | null;
  followZone(request: ZoneUpdateRequest): Promise<ZoneUpdate | null>;
  /** Exchanges permits; null if this proxy is not the quota owner. */
  exchangePermits(exchange: PermitExchange): PermitGrants | null;
}
