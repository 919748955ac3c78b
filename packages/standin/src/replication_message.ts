import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {LogRecord} from './replication_log.js';

/**
 * Messages between the instances of a database group. The network may drop,
 * delay, duplicate or reorder them.
 */

/** Records from a primary; without records, it is a heartbeat. @public */
export interface AppendMessage<Change> {
  readonly kind: 'append';
  readonly from: BackendServerId;
  /** Term of the primary. */
  readonly term: number;
  /** Claim under which it was promoted. */
  readonly claimId: string;
  /** Increases with each tick of the primary; the response repeats it. */
  readonly sequence: number;
  /**
   * Position immediately before the first record. The replica must hold a
   * record of the same term there.
   */
  readonly previous: LogPosition;
  readonly records: readonly LogRecord<Change>[];
  /** Position up to which every instance is known to hold the log. */
  readonly heldByAll: number;
}

/** A replica holds the records that the primary sent. @public */
export interface AcknowledgeMessage {
  readonly kind: 'acknowledge';
  readonly from: BackendServerId;
  readonly term: number;
  readonly sequence: number;
  /**
   * Last position up to which the replica's log is known to equal the
   * primary's.
   */
  readonly confirmed: LogPosition;
}

/**
 * The log of a replica does not contain the position before the first record.
 *
 * @public
 */
export interface MismatchMessage {
  readonly kind: 'mismatch';
  readonly from: BackendServerId;
  readonly term: number;
  readonly sequence: number;
  /** Position after which the primary should retry. */
  readonly hintPosition: number;
}

/**
 * Rejects an append message: the receiver has accepted a newer term or is
 * itself the primary of this term.
 *
 * @public
 */
export interface StaleTermMessage {
  readonly kind: 'staleTerm';
  readonly from: BackendServerId;
  readonly term: number;
}

/** A message between two instances of a database group. @public */
export type ReplicationMessage<Change> =
  | AppendMessage<Change>
  | AcknowledgeMessage
  | MismatchMessage
  | StaleTermMessage;

/** An action that a replication core requests from its host. @public */
export type ReplicationEffect<Change> =
  | {
      readonly kind: 'send';
      readonly to: BackendServerId;
      readonly message: ReplicationMessage<Change>;
    }
  /** A record from the primary was appended to the log. */
  | {readonly kind: 'applyRecord'; readonly record: LogRecord<Change>}
  /** The last record was truncated from the log. */
  | {readonly kind: 'undoRecord'; readonly record: LogRecord<Change>}
  /** The role, the term or the followed primary changed. */
  | {readonly kind: 'roleChanged'}
  /** A majority of the group holds the log up to this position. */
  | {readonly kind: 'majorityAdvanced'; readonly majority: LogPosition}
  /** A majority responded in this term to messages sent after the request. */
  | {readonly kind: 'termConfirmed'; readonly ticket: number};
