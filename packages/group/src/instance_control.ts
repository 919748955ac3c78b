import type {Result} from '@filbertrun/base/result.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';

/**
 * The replication interface of one instance of a database group. Over the
 * network it is a PostgreSQL connection that calls the functions named in
 * docs/design/instance_protocol.md.
 */

/** The part that an instance plays in its group. @public */
export type InstanceRole = 'primary' | 'replica';

/** What a primary knows of one of its replicas. @public */
export interface ReplicaReport {
  readonly backendServer: BackendServerId;
  /** Last place that the replica confirmed in the primary's term. */
  readonly confirmed: LogPosition;
  /** Time since the replica last answered the primary. */
  readonly silentForMs: number;
}

/** What an instance says of itself. @public */
export interface InstanceStatus {
  readonly backendServer: BackendServerId;
  readonly role: InstanceRole;
  /** Highest term that the instance has accepted; it obeys no lower one. */
  readonly term: number;
  /** Claim that raised the instance to `term`. */
  readonly claimId: string;
  /** End of the instance's log. */
  readonly position: LogPosition;
  /** Primary that a replica follows, or null. */
  readonly primary: BackendServerId | null;
  /** Time since a replica last heard from its primary, or null. */
  readonly primarySilentForMs: number | null;
  /** Empty on a replica. */
  readonly replicas: readonly ReplicaReport[];
}

/** Why an instance did not do what it was asked. @public */
export type InstanceError =
  /** The connection was refused or broke. */
  | {readonly kind: 'unreachable'; readonly reason: string}
  /** Nothing answered in time; the command may have taken effect. */
  | {readonly kind: 'timedOut'}
  /** The instance is alive and answered with an error. */
  | {
      readonly kind: 'failed';
      readonly sqlState: string;
      readonly reason: string;
    }
  | {readonly kind: 'rejected'; readonly status: InstanceStatus};

/** What a primary proved about itself. @public */
export interface TermConfirmation {
  /** Term in which a majority answered after the call began. */
  readonly term: number;
  /** End of the primary's log when the call arrived. */
  readonly position: LogPosition;
  /** Place that a majority of the group holds. */
  readonly majorityPosition: LogPosition;
}

/** Commands to one instance. Every command is idempotent for the same claim. @public */
export interface InstanceControl {
  getStatus(): Promise<Result<InstanceStatus, InstanceError>>;
  /** Makes the instance refuse every term below `term`. */
  raiseTerm(
    term: number,
    claimId: string,
  ): Promise<Result<InstanceStatus, InstanceError>>;
  /** Makes the instance the primary of `term`; it must have been raised by the same claim. */
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
  /** Asks a primary to prove that a majority still follows it. */
  confirmTerm(): Promise<Result<TermConfirmation, InstanceError>>;
}
