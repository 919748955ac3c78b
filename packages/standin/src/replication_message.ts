import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {LogRecord} from './replication_log.js';

/**
 * Messages between the instances of a database group. They may be lost,
 * delayed, duplicated or reordered.
 */

/** Records, or a heartbeat when there are none, from a primary. @public */
export interface AppendMessage<Change> {
  readonly kind: 'append';
  readonly from: BackendServerId;
  /** Term of the primary and the claim that made it primary. */
  readonly term: number;
  readonly claimId: string;
  /** Rises with each message that the primary sends; the answer repeats it. */
  readonly sequence: number;
  /** Place before the first record; the replica must hold exactly this place. */
  readonly previous: LogPosition;
  readonly records: readonly LogRecord<Change>[];
  /** Every instance of the group holds the log up to here in this term. */
  readonly heldByAll: number;
}

/** A replica holds what the primary sent. @public */
export interface AcknowledgeMessage {
  readonly kind: 'acknowledge';
  readonly from: BackendServerId;
  readonly term: number;
  readonly sequence: number;
  /** Last place at which the replica's log is known to equal the primary's. */
  readonly confirmed: LogPosition;
}

/** A replica's log does not contain the place before the first record. @public */
export interface MismatchMessage {
  readonly kind: 'mismatch';
  readonly from: BackendServerId;
  readonly term: number;
  readonly sequence: number;
  /** Position after which the primary tries next. */
  readonly hintPosition: number;
}

/** The receiver has accepted a newer term than the sender's. @public */
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

/** What a replication core asks of its host, in order. @public */
export type ReplicationEffect<Change> =
  | {
      readonly kind: 'send';
      readonly to: BackendServerId;
      readonly message: ReplicationMessage<Change>;
    }
  /** A record from the primary joined the log. */
  | {readonly kind: 'applyRecord'; readonly record: LogRecord<Change>}
  /** The last record was cut from the log. */
  | {readonly kind: 'undoRecord'; readonly record: LogRecord<Change>}
  /** The role, the term or the followed primary changed. */
  | {readonly kind: 'roleChanged'}
  /** A majority of the group holds the log up to this place in this term. */
  | {readonly kind: 'majorityAdvanced'; readonly majority: LogPosition}
  /** A majority answered in this term after the confirmation was asked for. */
  | {readonly kind: 'termConfirmed'; readonly ticket: number};
