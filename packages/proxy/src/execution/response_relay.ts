import type {LogPosition} from '@filbertrun/model/log_position.js';
import {isCovered} from '@filbertrun/model/log_position.js';
import {
  readErrorResponse,
  type BackendErrorFields,
} from '@filbertrun/wire/backend_message_reader.js';
import {
  BackendMessage,
  type TransactionStatus,
} from '@filbertrun/wire/protocol_constants.js';
import type {BackendConnection} from '../backend/backend_connection.js';
import type {ExchangeHandler} from '../backend/exchange_handler.js';
import type {CallerOutput} from '../caller/caller_output.js';
import type {ResponsePlan} from './response_plan.js';

/**
 * A discarded response is read to its end up to this size. The connection is
 * closed if the response is larger.
 */
const MAX_DRAINED_BYTES = 64 * 1024;

/**
 * Which part of a response is buffered until it is released. `fromCompletion`
 * buffers from the first CommandComplete or PortalSuspended frame on.
 *
 * @public
 */
export type BufferMode = 'none' | 'all' | 'fromCompletion';

/** How a response ended. @public */
export type ResponseOutcome =
  | {
      readonly kind: 'complete';
      readonly status: TransactionStatus;
      /** Last log position that the response reported. */
      readonly position: LogPosition | null;
      readonly error: BackendErrorFields | null;
      readonly hasCompletedCommand: boolean;
    }
  /** An error that is withheld from the caller. The request had no effect. */
  | {readonly kind: 'rejected'; readonly error: BackendErrorFields}
  /**
   * The response did not cover the required position. None of it was sent to
   * the caller.
   */
  | {readonly kind: 'notCovered'}
  /** The connection closed before the end of the response. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /** Whether a part of the response was sent to the caller. */
      readonly wasRelayed: boolean;
    };

/** Options for relaying one response. @public */
export interface ResponseRelayOptions {
  readonly connection: BackendConnection;
  readonly output: CallerOutput;
  readonly plan: ResponsePlan | null;
  /** Log position that the response must be confirmed to cover, or null. */
  readonly requiredPosition: LogPosition | null;
  readonly bufferMode: BufferMode;
  readonly bufferLimitBytes: number;
  /**
   * Whether an error is withheld from the caller if it is the first part of the
   * response.
   */
  readonly isRejection: (error: BackendErrorFields) => boolean;
  /**
   * Whether an error is withheld from the caller until the required position is
   * confirmed. A lagging replica may not have the table of the statement yet.
   */
  readonly hidesErrorsBeforeCheck: boolean;
  /**
   * Called when the buffered part exceeds its limit. Reading is paused until
   * `releaseBuffered` is called or the connection is closed.
   */
  readonly handleBufferLimit: (relay: ResponseRelay) => void;
}

/**
 * Relays one response from a backend connection to a caller frame by frame.
 * Only the part that must wait for a confirmation is buffered.
 *
 * @public
 */
export class ResponseRelay implements ExchangeHandler {
  private readonly buffered: Buffer[] = [];
  private bufferedBytes = 0;
  private isBuffering: boolean;
  /** Whether the response has not yet been shown to cover the position. */
  private isCheckPending: boolean;
  private isDiscarding = false;
  private discardedBytes = 0;
  private isPausedForLimit = false;
  private wasRelayed = false;
  private hasCompletedCommand = false;
  private lastPosition: LogPosition | null = null;
  /** First error that is relayed to the caller. */
  private error: BackendErrorFields | null = null;
  /** Error that is withheld from the caller. */
  private rejection: BackendErrorFields | null = null;
  private resolve!: (outcome: ResponseOutcome) => void;

  /** Resolves when the response has ended. */
  readonly ended: Promise<ResponseOutcome>;

  private constructor(private readonly options: ResponseRelayOptions) {
    this.isBuffering = options.bufferMode === 'all';
    this.isCheckPending = options.requiredPosition !== null;
    this.ended = new Promise(resolve => {
      this.resolve = resolve;
    });
  }

  static create(options: ResponseRelayOptions): ResponseRelay {
    return new ResponseRelay(options);
  }

  /** Last log position that the response has reported so far. */
  get position(): LogPosition | null {
    return this.lastPosition;
  }

  handleFrame(type: number, buffer: Buffer, start: number, end: number): void {
    if (this.isDiscarding) {
      this.countDiscarded(end - start);
      return;
    }
    if (type === BackendMessage.errorResponse) {
      this.handleError(buffer, start, end);
      return;
    }
    const {plan} = this.options;
    if (plan !== null) {
      this.emitInjected(plan);
      const isVisible = plan.acceptFrame(type);
      if (!isVisible) {
        this.emitInjected(plan);
        return;
      }
    }
    if (this.isCheckPending && requiresCoverage(type)) {
      this.startDiscarding();
      return;
    }
    if (isCommandEnd(type)) {
      this.hasCompletedCommand = true;
      this.isBuffering ||= this.options.bufferMode === 'fromCompletion';
    }
    this.emit(buffer, start, end);
    if (plan !== null) {
      this.emitInjected(plan);
    }
  }

  handlePosition(position: LogPosition): void {
    this.lastPosition = position;
    const {requiredPosition} = this.options;
    if (requiredPosition === null || this.isDiscarding) {
      return;
    }
    if (isCovered(requiredPosition, position)) {
      this.passCheck();
      return;
    }
    if (this.wasRelayed) {
      // A later statement of the batch read older data than an earlier one.
      this.options.connection.close(
        'the log position decreased within a response',
      );
      return;
    }
    this.startDiscarding();
  }

  handleChunkEnd(): void {
    const {connection, output} = this.options;
    if (!this.isPausedForLimit && output.isBlocked()) {
      connection.pause();
      output.onceDrained(() => connection.resume());
    }
  }

  handleReady(status: TransactionStatus): void {
    if (this.resolveDiscarded()) {
      return;
    }
    if (this.options.plan !== null) {
      this.emitInjected(this.options.plan);
    }
    if (this.isCheckPending) {
      // No data was read, for example because the statement failed.
      this.passCheck();
    }
    const {error, lastPosition: position, hasCompletedCommand} = this;
    this.resolve({
      kind: 'complete',
      status,
      position,
      error,
      hasCompletedCommand,
    });
  }

  handleLost(reason: string): void {
    if (this.resolveDiscarded()) {
      return;
    }
    const {wasRelayed} = this;
    this.resolve({kind: 'lost', reason, wasRelayed});
  }

  /**
   * Resolves `ended` if the response was rejected or discarded, so that the
   * caller receives none of it. Returns false otherwise.
   */
  private resolveDiscarded(): boolean {
    if (this.rejection !== null) {
      this.resolve({kind: 'rejected', error: this.rejection});
      return true;
    }
    if (this.isDiscarding) {
      this.resolve({kind: 'notCovered'});
      return true;
    }
    return false;
  }

  /** Sends the buffered part to the caller and resumes reading. */
  releaseBuffered(): void {
    for (const chunk of this.buffered) {
      this.options.output.write(chunk);
    }
    this.wasRelayed ||= this.buffered.length > 0;
    this.buffered.length = 0;
    this.bufferedBytes = 0;
    if (this.isPausedForLimit) {
      this.isPausedForLimit = false;
      this.options.connection.resume();
    }
  }

  /** Sends the buffered part and buffers no further frames. */
  stopBuffering(): void {
    this.isBuffering = false;
    this.releaseBuffered();
  }

  private handleError(buffer: Buffer, start: number, end: number): void {
    const error = readErrorResponse(buffer, start, end);
    const isFatal = error.severity === 'FATAL' || error.severity === 'PANIC';
    const isFirst = !this.wasRelayed && !this.hasCompletedCommand;
    this.options.plan?.acceptFrame(BackendMessage.errorResponse);
    const isBeforeCheck =
      this.isCheckPending && this.options.hidesErrorsBeforeCheck;
    if (isBeforeCheck || (isFirst && this.options.isRejection(error))) {
      this.rejection = error;
      return;
    }
    if (isFatal) {
      // A fatal error ends the backend connection but must not end the
      // connection of the caller, so it is not relayed.
      this.options.connection.close(`${error.sqlState}: ${error.message}`);
      return;
    }
    this.error ??= error;
    this.emit(buffer, start, end);
  }

  private emitInjected(plan: ResponsePlan): void {
    for (;;) {
      const frame = plan.takeInjected();
      if (frame === null) {
        return;
      }
      this.emit(frame, 0, frame.length);
    }
  }

  private emit(buffer: Buffer, start: number, end: number): void {
    if (!this.isBuffering && !this.isCheckPending) {
      this.wasRelayed = true;
      this.options.output.writeRange(buffer, start, end);
      return;
    }
    this.buffered.push(buffer.subarray(start, end));
    this.bufferedBytes += end - start;
    const isLimit = this.bufferedBytes > this.options.bufferLimitBytes;
    if (isLimit && !this.isPausedForLimit && this.isBuffering) {
      this.isPausedForLimit = true;
      this.options.connection.pause();
      this.options.handleBufferLimit(this);
    }
  }

  /** Ends the check of the required position; sends what waited only for it. */
  private passCheck(): void {
    if (!this.isCheckPending) {
      return;
    }
    this.isCheckPending = false;
    if (!this.isBuffering) {
      this.releaseBuffered();
    }
  }

  private startDiscarding(): void {
    this.isDiscarding = true;
    this.buffered.length = 0;
    this.bufferedBytes = 0;
  }

  private countDiscarded(bytes: number): void {
    this.discardedBytes += bytes;
    if (this.discardedBytes > MAX_DRAINED_BYTES) {
      this.options.connection.close(
        'a discarded response is too large to drain',
      );
    }
  }
}

/**
 * Whether a frame contains data or ends a statement. Such a frame is relayed
 * only if the required position has been confirmed.
 */
function requiresCoverage(type: number): boolean {
  return (
    type === BackendMessage.dataRow ||
    type === BackendMessage.commandComplete ||
    type === BackendMessage.portalSuspended
  );
}

function isCommandEnd(type: number): boolean {
  return (
    type === BackendMessage.commandComplete ||
    type === BackendMessage.portalSuspended
  );
}
