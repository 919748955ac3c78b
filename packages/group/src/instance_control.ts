import type {Result} from '@filbertrun/base/result.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';

/**
 * The replication interface of one instance of a database group. Over the
 * network it is a PostgreSQL connection that calls the functions named in
 * docs/design/instance_protocol.md.
 */

/** Role of an instance in its group. @public */
export type InstanceRole = 'primary' | 'replica';

/** State of a replica as reported by its primary. @public */
export interface ReplicaReport {
  readonly backendServer: BackendServerId;
  /** Last position that the replica confirmed in the primary's term. */
  readonly confirmed: LogPosition;
  /** Time since the replica's last response to the primary. */
  readonly silentForMs: number;
}

/** Status that an instance reports about itself. @public */
export interface InstanceStatus {
  readonly backendServer: BackendServerId;
  readonly role: InstanceRole;
  /** Highest term that the instance has accepted; it rejects lower ones. */
  readonly term: number;
  /** Id of the claim for which the instance accepted `term`. */
  readonly claimId: string;
  /** End of the instance's log. */
  readonly position: LogPosition;
  /** Primary that a replica follows; null if there is none. */
  readonly primary: BackendServerId | null;
  /** Time since a replica last heard from its primary; null if it has not. */
  readonly primarySilentForMs: number | null;
  /** Empty on a replica. */
  readonly replicas: readonly ReplicaReport[];
}

/** Why a command to an instance failed. @public */
export type InstanceError =
  /** The connection was refused or broke. */
  | {readonly kind: 'unreachable'; readonly reason: string}
  /** No response in time; the command may have taken effect. */
  | {readonly kind: 'timedOut'}
  /** The instance is alive and returned an error. */
  | {
      readonly kind: 'failed';
      readonly sqlState: string;
      readonly reason: string;
    }
  /** The instance refused the command, for example for a lower term. */
  | {readonly kind: 'rejected'; readonly status: InstanceStatus};

/** Confirmation by a primary that a majority follows it. @public */
export interface TermConfirmation {
  /** Term in which a majority responded after the call began. */
  readonly term: number;
  /** End of the primary's log when the call arrived. */
  readonly position: LogPosition;
  /** Position that a majority of the group holds. */
  readonly majorityPosition: LogPosition;
}

/**
 * Commands to one instance. Every command is idempotent for the same claim.
 *
 * @public
 */
export interface InstanceControl {
  getStatus(): Promise<Result<InstanceStatus, InstanceError>>;
  /** Makes the instance refuse every term below `term`. */
  raiseTerm(
    term: number,
    claimId: string,
  ): Promise<Result<InstanceStatus, InstanceError>>;
  /**
   * Makes the instance the primary of `term`, which the same claim must have
   * raised before.
   */
  promote(
    term: number,
    claimId: string,
  ): Promise<Result<InstanceStatus, InstanceError>>;
  /** Makes the instance a replica of `primary` in `term`. */
  follow(
    term: number,
    claimId: string,
    primary: BackendServerId,
  ): Promise<Result<InstanceStatus, InstanceError>>;
  /** Asks a primary to confirm that a majority still follows it. */
  confirmTerm(): Promise<Result<TermConfirmation, InstanceError>>;
}
