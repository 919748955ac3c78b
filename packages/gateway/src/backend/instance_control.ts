import type {Result} from '@filbertrun/base/result.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';

/**
 * Replication control of backend servers, the database instances of a group.
 * Each change of primary begins a new term with a higher number. A command with
 * a term is directed against primaries with lower terms.
 */

/** Replication status reported by a backend server. @public */
export interface InstanceStatus {
  readonly role: 'primary' | 'replica';
  readonly term: number;
  /** End of the received log. */
  readonly receivedPosition: LogPosition;
  /**
   * Replication from primaries with a term below this one is rejected; 0 if it is
   * not paused.
   */
  readonly pausedTerm: number;
  readonly lagMs: number;
}

/**
 * Error of a control command, which may have been executed nevertheless.
 *
 * @public
 */
export type InstanceControlError =
  | {readonly kind: 'unreachable'; readonly reason: string}
  /** The address belongs to another server or to a server of another group. */
  | {readonly kind: 'wrongServer'}
  | {readonly kind: 'rejected'; readonly code: string}
  | {readonly kind: 'malformed'; readonly reason: string};

/** Replication commands to backend servers. @public */
export interface InstanceControl {
  getStatus(
    server: BackendServerEntry,
  ): Promise<Result<InstanceStatus, InstanceControlError>>;
  /**
   * Makes a replica reject replication from primaries with a term below `term`
   * until a promotion or its restart.
   */
  pauseReplication(
    server: BackendServerEntry,
    term: number,
  ): Promise<Result<InstanceStatus, InstanceControlError>>;
  /** Demotes a primary with a term below `term` to a replica. */
  stepDown(
    server: BackendServerEntry,
    term: number,
  ): Promise<Result<InstanceStatus, InstanceControlError>>;
}

/** Error of a promotion request. @public */
export type PromotionError =
  /**
   * The request was refused, for example because the instance is not running.
   */
  | {readonly kind: 'rejected'; readonly status: number}
  /** No response was received; the promotion may still take effect. */
  | {readonly kind: 'outcomeUnknown'; readonly reason: string}
  /** Nothing was sent. */
  | {readonly kind: 'unavailable'; readonly reason: string};

/**
 * Request to promote an instance, with the fencing token of the failover leader.
 *
 * @public
 */
export interface PromotionOrder {
  readonly databaseGroup: string;
  /** Id of the backend server to promote. */
  readonly target: string;
  readonly failoverLeader: string;
  readonly fencingToken: number;
}

/** Requests promotions from the platform. @public */
export interface PromotionService {
  /**
   * Sends an order. `maySend` is asked at the last moment before the order
   * leaves the process; if it denies, nothing is sent.
   */
  promote(
    order: PromotionOrder,
    maySend: () => boolean,
  ): Promise<Result<void, PromotionError>>;
}
