import type {Clock, Timer} from '@filbertrun/base/clock.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {ByteChannel} from './byte_channel.js';
import {encodeFrame, FrameReader, parseBody} from './forward_frame.js';
import {
  forwardResponseSchema,
  type DeclineReason,
  type ForwardedOperation,
  type ForwardedStatement,
  type ForwardReply,
  type ForwardRequest,
  type ForwardResponse,
} from './forward_message.js';
import {SilenceMonitor} from './silence_monitor.js';

/** The follower's end of a stream to a holder. */

/** Longest delay of a timer; the runtime fires at once on a longer one. */
const MAX_TIMEOUT_MS = 2 ** 31 - 1;

/** Why an exchange has no reply. @public */
export type ForwardError =
  /** Nothing was sent, so nothing was executed. */
  | {readonly kind: 'notSent'; readonly reason: string}
  /** The stream ended after the message was sent. */
  | {readonly kind: 'connectionLost'; readonly reason: string}
  | {readonly kind: 'timedOut'}
  /** The exchange was given up; its statement may have run. */
  | {readonly kind: 'cancelled'}
  /** The holder did not take the exchange; nothing was executed. */
  | {readonly kind: 'declined'; readonly reason: DeclineReason};

/** Outcome of an exchange. @public */
export type ForwardResult = Result<ForwardReply, ForwardError>;

/** A request whose response is pending. @public */
export interface ForwardExchange {
  /** Identifies the transaction that a BEGIN opens. */
  readonly exchangeId: number;
  readonly result: Promise<ForwardResult>;
}

/** Collaborators of a {@link ForwardClientStream}. @public */
export interface ForwardClientStreamOptions {
  readonly clock: Clock;
  /** Called once, when the stream has ended on either side. */
  handleClosed(reason: string): void;
}

interface PendingExchange {
  readonly timer: Timer;
  readonly settle: (result: ForwardResult) => void;
}

/** Runs concurrent exchanges with a holder over one channel. @public */
export class ForwardClientStream {
  private readonly reader = FrameReader.create();
  private readonly pending = new Map<number, PendingExchange>();
  private readonly silence: SilenceMonitor;
  private lastExchangeId = 0;
  private lastPingId = 0;
  private isBufferFull = false;
  private closeReason: string | null = null;

  private constructor(
    private readonly channel: ByteChannel,
    private readonly options: ForwardClientStreamOptions,
  ) {
    this.silence = SilenceMonitor.create({
      clock: options.clock,
      ping: () => this.ping(),
      handleSilent: () => this.close('the holder is silent'),
    });
  }

  /** Starts the channel. */
  static create(
    channel: ByteChannel,
    options: ForwardClientStreamOptions,
  ): ForwardClientStream {
    const stream = new ForwardClientStream(channel, options);
    channel.start({
      handleData: bytes => stream.handleData(bytes),
      handleDrain: () => {
        stream.isBufferFull = false;
      },
      handleClosed: reason => stream.close(reason),
    });
    return stream;
  }

  get isOpen(): boolean {
    return this.closeReason === null;
  }

  /** Sends the first statement of an operation. */
  sendOperation(
    operation: ForwardedOperation,
    timeoutMs: number,
  ): ForwardExchange {
    const exchangeId = ++this.lastExchangeId;
    const request: ForwardRequest = {kind: 'operation', exchangeId, operation};
    return {
      exchangeId,
      result: this.exchange(
        exchangeId,
        request,
        timeoutMs,
        operation.remainingMs,
      ),
    };
  }

  /** Sends a statement of the transaction that the exchange opened. */
  sendStatement(
    transactionId: number,
    statement: ForwardedStatement,
    timeoutMs: number,
  ): ForwardExchange {
    const exchangeId = ++this.lastExchangeId;
    const request: ForwardRequest = {
      kind: 'statement',
      exchangeId,
      transactionId,
      statement,
    };
    return {
      exchangeId,
      result: this.exchange(
        exchangeId,
        request,
        timeoutMs,
        statement.remainingMs,
      ),
    };
  }

  /**
   * Gives up a pending exchange. The holder removes its statement from the queue
   * if it was not sent to a backend server yet.
   */
  cancel(exchangeId: number): void {
    this.giveUp(exchangeId, {kind: 'cancelled'});
  }

  /** Has the holder roll back a transaction. */
  abandon(transactionId: number): void {
    this.sendControl({kind: 'abandon', transactionId});
  }

  close(reason: string): void {
    if (this.closeReason !== null) {
      return;
    }
    this.closeReason = reason;
    this.silence.stop();
    this.channel.close();
    const lost = failure({kind: 'connectionLost', reason} as const);
    for (const {timer, settle} of this.pending.values()) {
      timer.cancel();
      settle(lost);
    }
    this.pending.clear();
    this.options.handleClosed(reason);
  }

  private exchange(
    exchangeId: number,
    request: ForwardRequest,
    timeoutMs: number,
    remainingMs: number,
  ): Promise<ForwardResult> {
    const refusal = this.findRefusal(timeoutMs, remainingMs);
    if (refusal !== null) {
      return Promise.resolve(notSent(refusal));
    }
    const frame = encodeFrame(request);
    if (frame === null) {
      return Promise.resolve(notSent('the message is too large'));
    }
    return new Promise(settle => {
      const timer = this.options.clock.startTimer(
        Math.min(timeoutMs, MAX_TIMEOUT_MS),
        () => this.giveUp(exchangeId, {kind: 'timedOut'}),
      );
      this.pending.set(exchangeId, {timer, settle});
      if (this.pending.size === 1) {
        this.silence.start();
      }
      this.write(frame);
    });
  }

  /** Returns why an exchange cannot be sent now, or null if it can. */
  private findRefusal(timeoutMs: number, remainingMs: number): string | null {
    if (this.closeReason !== null) {
      return `the stream is closed: ${this.closeReason}`;
    }
    if (this.isBufferFull) {
      return 'the buffer is full';
    }
    // The holder would close the stream on a negative number or on null, which
    // is the JSON of a number that is not finite.
    if (!(timeoutMs > 0 && remainingMs >= 0 && Number.isFinite(remainingMs))) {
      return 'no time is left';
    }
    return null;
  }

  private giveUp(exchangeId: number, error: ForwardError): void {
    if (this.pending.has(exchangeId)) {
      this.settle(exchangeId, failure(error));
      this.sendControl({kind: 'cancel', exchangeId});
    }
  }

  private handleData(bytes: Uint8Array): void {
    if (this.closeReason !== null) {
      return;
    }
    this.silence.recordArrival();
    for (const frame of this.reader.read(bytes)) {
      if (frame.kind === 'invalid') {
        this.close(`invalid frame: ${frame.reason}`);
        return;
      }
      const parsed = parseBody(forwardResponseSchema, frame.text);
      if (!parsed.ok) {
        this.close(`invalid message: ${parsed.error}`);
        return;
      }
      this.handleResponse(parsed.value);
    }
  }

  private handleResponse(response: ForwardResponse): void {
    switch (response.kind) {
      case 'reply': {
        const {reply, committedPosition, wasSent} = response;
        this.settle(
          response.exchangeId,
          success({reply, committedPosition, wasSent}),
        );
        return;
      }
      case 'declined': {
        const {reason} = response;
        this.settle(response.exchangeId, failure({kind: 'declined', reason}));
        return;
      }
      case 'pong':
        // Its arrival has ended the silence.
        return;
    }
  }

  /** Ignores an exchange that is unknown or has timed out. */
  private settle(exchangeId: number, result: ForwardResult): void {
    const exchange = this.pending.get(exchangeId);
    if (exchange !== undefined) {
      this.removePending(exchangeId);
      exchange.timer.cancel();
      exchange.settle(result);
    }
  }

  private removePending(exchangeId: number): void {
    this.pending.delete(exchangeId);
    if (this.pending.size === 0) {
      this.silence.pause();
    }
  }

  private ping(): void {
    this.sendControl({kind: 'ping', pingId: ++this.lastPingId});
  }

  /**
   * Sends a message that is no exchange, also while the buffer is full: these
   * messages are short, and without them a holder keeps connections occupied.
   */
  private sendControl(request: ForwardRequest): void {
    if (this.closeReason !== null) {
      return;
    }
    const frame = encodeFrame(request);
    if (frame !== null) {
      this.write(frame);
    }
  }

  private write(frame: Uint8Array): void {
    if (!this.channel.write(frame)) {
      this.isBufferFull = true;
    }
  }
}

function notSent(reason: string): ForwardResult {
  return failure({kind: 'notSent', reason});
}
