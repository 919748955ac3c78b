import type {Result} from '@filbertrun/base/result.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';

/** Control of the replication of one backend server. */

/** What a backend server says of its replication. @public */
export interface InstanceStatus {
  readonly role: 'primary' | 'replica';
  readonly term: number;
  /** End of the log that it has received. */
  readonly receivedPosition: LogPosition;
  /** Term in which replication is paused, 0 when it is not. */
  readonly pausedTerm: number;
  readonly lagMs: number;
}

/** Why a control command failed. The command may have been carried out. @public */
export type InstanceControlError =
  | {readonly kind: 'unreachable'; readonly reason: string}
  /** Another server stands at the address, or the server is of another group. */
  | {readonly kind: 'wrongServer'}
  | {readonly kind: 'rejected'; readonly code: string}
  | {readonly kind: 'malformed'; readonly reason: string};

/** Commands to backend servers about their replication. @public */
export interface InstanceControl {
  getStatus(
    server: BackendServerEntry,
  ): Promise<Result<InstanceStatus, InstanceControlError>>;
  /** Makes a replica receive nothing of a primary below `term`, until a promotion or its restart. */
  pauseReplication(
    server: BackendServerEntry,
    term: number,
  ): Promise<Result<InstanceStatus, InstanceControlError>>;
  /** Makes a primary below `term` a replica. */
  stepDown(
    server: BackendServerEntry,
    term: number,
  ): Promise<Result<InstanceStatus, InstanceControlError>>;
}

/** Why an order to promote failed. @public */
export type PromotionError =
  /** The order was not taken, for example because the instance does not run. */
  | {readonly kind: 'rejected'; readonly status: number}
  /** No answer came; the promotion may take effect. */
  | {readonly kind: 'outcomeUnknown'; readonly reason: string}
  /** Nothing was sent. */
  | {readonly kind: 'unavailable'; readonly reason: string};

/** An order to promote, with the proof that its sender holds the duty. @public */
export interface PromotionOrder {
  readonly databaseGroup: string;
  readonly target: string;
  readonly dutyHolder: string;
  readonly fencingToken: number;
}

/** Orders promotions from the platform. @public */
export interface PromotionService {
  promote(order: PromotionOrder): Promise<Result<void, PromotionError>>;
}
