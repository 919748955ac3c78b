import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {TransactionStatus} from '@filbertrun/wire/protocol_constants.js';

/**
 * Receives the answer to one request on a backend connection: the frames up
 * to ReadyForQuery. Each call belongs to exactly one request, so an answer
 * can never reach the handler of another.
 *
 * @public
 */
export interface ExchangeHandler {
  /** Receives a frame other than ReadyForQuery and the replication reports. */
  handleFrame(type: number, buffer: Buffer, start: number, end: number): void;
  /** Receives a reported log position. */
  handlePosition(position: LogPosition): void;
  /** Called when all frames of a chunk were handled. */
  handleChunkEnd(): void;
  /** Receives ReadyForQuery; nothing follows. */
  handleReady(status: TransactionStatus): void;
  /** The connection ended before ReadyForQuery; nothing follows. */
  handleLost(reason: string): void;
}
