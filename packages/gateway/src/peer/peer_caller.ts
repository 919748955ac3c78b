import type {Result} from '@filbertrun/base/result.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {ZoneNews, ZoneQuestion} from '../zone/zone_news.js';
import type {RevisedPrimaryRecord} from '../group/primary_record.js';

/** Messages between the proxies of a deployment. */

/** Asks a proxy to give up a primary because a change is intended. @public */
export interface ReleaseRequest {
  readonly databaseGroup: string;
  readonly changeId: string;
  readonly oldTerm: number;
  /** Revision of the record that intends the change. */
  readonly revision: number;
}

/** A proxy's promise to acknowledge nothing more of the old term. @public */
export interface ReleaseAnswer {
  readonly incarnation: string;
  readonly highestAcknowledged: LogPosition | null;
}

/** Reports that a primary does not serve. @public */
export interface SuspicionReport {
  readonly databaseGroup: string;
  readonly primary: string;
  readonly evidence: PrimaryEvidence;
  /** Entry VM that reports. */
  readonly reporter: string;
}

/** What speaks against a primary. @public */
export type PrimaryEvidence = 'unreachable' | 'writesStalled';

/** Asks whether a proxy reaches a backend server. @public */
export interface ReachQuestion {
  readonly backendServer: string;
}

/** What a proxy knows of a backend server. @public */
export interface ReachAnswer {
  readonly isReachable: boolean;
}

/** Asks for a position of a group's primary. @public */
export interface PositionQuestion {
  readonly databaseGroup: string;
}

/** A position before which all commits were acknowledged up to a time. @public */
export interface PositionAnswer {
  readonly position: LogPosition;
  /** How long before the question arrived that was proven. */
  readonly leadMs: number;
}

/** Tells that the holder of the failover duty acts on it no more. @public */
export interface DutyHandover {
  readonly fencingToken: number;
}

/** What a proxy knows of the records of primaries. @public */
export interface RecordComparison {
  /** Digest of their revisions; null while the proxy holds no lease on them. */
  readonly digest: string | null;
}

/** Why another proxy did not answer. @public */
export interface PeerError {
  readonly kind: 'unreachable';
  readonly reason: string;
}

/** Calls other proxies. @public */
export interface PeerCaller {
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
  askReach(
    peer: EntryVmRecord,
    question: ReachQuestion,
  ): Promise<Result<ReachAnswer, PeerError>>;
  handOverDuty(
    peer: EntryVmRecord,
    handover: DutyHandover,
  ): Promise<Result<void, PeerError>>;
  compareRecords(
    peer: EntryVmRecord,
  ): Promise<Result<RecordComparison, PeerError>>;
  /** The newest position that another proxy knows; null when it knows none. */
  askPosition(
    peer: EntryVmRecord,
    question: PositionQuestion,
  ): Promise<Result<PositionAnswer | null, PeerError>>;
  /** News of the store from the reader of the zone; null when it refuses. */
  followZone(
    peer: EntryVmRecord,
    question: ZoneQuestion,
  ): Promise<Result<ZoneNews | null, PeerError>>;
}

/** Answers the calls of other proxies. @public */
export interface PeerHandler {
  release(request: ReleaseRequest): Promise<ReleaseAnswer>;
  announce(record: RevisedPrimaryRecord): void;
  reportSuspicion(report: SuspicionReport): void;
  askReach(question: ReachQuestion): Promise<ReachAnswer>;
  takeOverDuty(handover: DutyHandover): void;
  compareRecords(): RecordComparison;
  tellPosition(question: PositionQuestion): PositionAnswer | null;
  followZone(question: ZoneQuestion): Promise<ZoneNews | null>;
}
