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
import type {AnswerPlan} from './answer_plan.js';

/** Bytes of a discarded answer that are drained before the connection is closed instead. */
const MAX_DRAINED_BYTES = 64 * 1024;

/** Which part of an answer waits until it is released. @public */
export type HoldMode = 'none' | 'all' | 'fromCompletion';

/** How an answer ended. @public */
export type AnswerOutcome =
  | {
      readonly kind: 'complete';
      readonly status: TransactionStatus;
      /** Last log position that the answer reported. */
      readonly position: LogPosition | null;
      readonly error: BackendErrorFields | null;
      readonly hasCompletedCommand: boolean;
    }
  /** An error that the caller must not see; nothing took effect. */
  | {readonly kind: 'rejected'; readonly error: BackendErrorFields}
  /** The answer did not cover the required position; the caller saw none of it. */
  | {readonly kind: 'notCovered'}
  /** The connection ended first. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /** Whether the caller saw a part of the answer. */
      readonly wasRelayed: boolean;
    };

/** How to treat one answer. @public */
export interface AnswerRelayOptions {
  readonly connection: BackendConnection;
  readonly output: CallerOutput;
  readonly plan: AnswerPlan | null;
  /** Place that the answer must prove to cover, or null. */
  readonly requiredPosition: LogPosition | null;
  readonly hold: HoldMode;
  readonly holdLimitBytes: number;
  /**
   * Whether an error that comes first is kept from the caller.
   */
  readonly isRejection: (error: BackendErrorFields) => boolean;
  /**
   * Whether an error is kept from the caller while the required position is
   * not proven: a replica that lags can miss the very table of a statement.
   */
  readonly hidesUnprovenErrors: boolean;
  /**
   * Called when the held part reached its limit. Reading is stopped until
   * `releaseHeld` or until the connection is closed.
   */
  readonly handleHoldLimit: (relay: AnswerRelay) => void;
}

/**
 * Relays one answer from a backend connection to a caller frame by frame,
 * without keeping it, except for the part that must wait for a proof.
 *
 * @public
 */
export class AnswerRelay implements ExchangeHandler {
  private readonly held: Buffer[] = [];
  private heldBytes = 0;
  private isHolding: boolean;
  private isCheckPending: boolean;
  private isDiscarding = false;
  private discardedBytes = 0;
  private isPausedForLimit = false;
  private wasRelayed = false;
  private hasCompletedCommand = false;
  private lastPosition: LogPosition | null = null;
  private error: BackendErrorFields | null = null;
  private rejection: BackendErrorFields | null = null;
  private resolve!: (outcome: AnswerOutcome) => void;

  /** Resolves when the answer has ended. */
  readonly ended: Promise<AnswerOutcome>;

  private constructor(private readonly options: AnswerRelayOptions) {
    this.isHolding = options.hold === 'all';
    this.isCheckPending = options.requiredPosition !== null;
    this.ended = new Promise(resolve => {
      this.resolve = resolve;
    });
  }

  static create(options: AnswerRelayOptions): AnswerRelay {
    return new AnswerRelay(options);
  }

  /** Last log position that the answer reported so far. */
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
    if (this.isCheckPending && isEvidenceRequired(type)) {
      this.startDiscarding();
      return;
    }
    if (isCommandEnd(type)) {
      this.hasCompletedCommand = true;
      this.isHolding ||= this.options.hold === 'fromCompletion';
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
      // A later statement of the batch reads older data than the first.
      this.options.connection.close('the log position went back');
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
      // Nothing was read, for example because an error came first.
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

  /** Ends an answer of which the caller is shown nothing; false for another. */
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

  /** Sends the held part to the caller and goes on reading. */
  releaseHeld(): void {
    for (const chunk of this.held) {
      this.options.output.write(chunk);
    }
    this.wasRelayed ||= this.held.length > 0;
    this.held.length = 0;
    this.heldBytes = 0;
    if (this.isPausedForLimit) {
      this.isPausedForLimit = false;
      this.options.connection.resume();
    }
  }

  /** Sends the held part and holds nothing more. */
  stopHolding(): void {
    this.isHolding = false;
    this.releaseHeld();
  }

  private handleError(buffer: Buffer, start: number, end: number): void {
    const error = readErrorResponse(buffer, start, end);
    const isFatal = error.severity === 'FATAL' || error.severity === 'PANIC';
    const isFirst = !this.wasRelayed && !this.hasCompletedCommand;
    this.options.plan?.acceptFrame(BackendMessage.errorResponse);
    const isUnproven = this.isCheckPending && this.options.hidesUnprovenErrors;
    if (isUnproven || (isFirst && this.options.isRejection(error))) {
      this.rejection = error;
      return;
    }
    if (isFatal) {
      // It ends the backend connection, which is not the caller's.
      this.options.connection.close(`${error.sqlState}: ${error.message}`);
      return;
    }
    this.error ??= error;
    this.emit(buffer, start, end);
  }

  private emitInjected(plan: AnswerPlan): void {
    for (;;) {
      const frame = plan.takeInjected();
      if (frame === null) {
        return;
      }
      this.emit(frame, 0, frame.length);
    }
  }

  private emit(buffer: Buffer, start: number, end: number): void {
    if (!this.isHolding && !this.isCheckPending) {
      this.wasRelayed = true;
      this.options.output.writeRange(buffer, start, end);
      return;
    }
    this.held.push(buffer.subarray(start, end));
    this.heldBytes += end - start;
    const isLimit = this.heldBytes > this.options.holdLimitBytes;
    if (isLimit && !this.isPausedForLimit && this.isHolding) {
      this.isPausedForLimit = true;
      this.options.connection.pause();
      this.options.handleHoldLimit(this);
    }
  }

  private passCheck(): void {
    if (!this.isCheckPending) {
      return;
    }
    this.isCheckPending = false;
    if (!this.isHolding) {
      this.releaseHeld();
    }
  }

  private startDiscarding(): void {
    this.isDiscarding = true;
    this.held.length = 0;
    this.heldBytes = 0;
  }

  private countDiscarded(bytes: number): void {
    this.discardedBytes += bytes;
    if (this.discardedBytes > MAX_DRAINED_BYTES) {
      this.options.connection.close('a discarded answer is too large to drain');
    }
  }
}

/** Whether a frame shows data or the end of a statement, so the position must be known. */
function isEvidenceRequired(type: number): boolean {
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
