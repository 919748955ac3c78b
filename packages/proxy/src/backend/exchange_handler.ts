import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {TransactionStatus} from '@filbertrun/wire/protocol_constants.js';

/**
 * Receives the response to one request on a backend connection: the frames up
 * to ReadyForQuery. Each handler serves exactly one request, so a response
 * never reaches the handler of another request.
 *
 * @public
 */
export interface ExchangeHandler {
  /**
   * Receives a frame, except ReadyForQuery, notifications and the
   * ParameterStatus messages `group_position` and `group_role`.
   */
  handleFrame(type: number, buffer: Buffer, start: number, end: number): void;
  /** Receives a log position that the backend server reported. */
  handlePosition(position: LogPosition): void;
  /** Called after all frames of a chunk of data have been handled. */
  handleChunkEnd(): void;
  /** Receives ReadyForQuery. This is the last call. */
  handleReady(status: TransactionStatus): void;
  /**
   * Called when the connection closes before ReadyForQuery. This is the last
   * call.
   */
  handleLost(reason: string): void;
}
