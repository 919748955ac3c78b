import type {Result} from '@filbertrun/base/result.js';
import type {ByteChannel} from './byte_channel.js';
import {encodeFrame, FrameReader, parseBody} from './forward_frame.js';
import {
  forwardRequestSchema,
  type DeclineReason,
  type ForwardedOperation,
  type ForwardedStatement,
  type ForwardReply,
  type ForwardRequest,
  type ForwardResponse,
} from './forward_message.js';
import type {ReplyResult} from '../statement/statement_answer.js';

/** The holder's end of a stream from a follower. */

/** Outcome of a request at the holder. @public */
export type HandledResult = Result<ForwardReply, DeclineReason>;

/** Executes the requests of one stream. @public */
export interface ForwardRequestHandler {
  handleOperation(
    exchangeId: number,
    operation: ForwardedOperation,
  ): Promise<HandledResult>;
  /** `exchangeId` is the one that `handleCancel` names. */
  handleStatement(
    transactionId: number,
    statement: ForwardedStatement,
    exchangeId: number,
  ): Promise<HandledResult>;
  handleAbandon(transactionId: number): void;
  /**
   * The follower has stopped waiting for an exchange that has no result yet. Its
   * result is not sent.
   */
  handleCancel(exchangeId: number): void;
  /** Called once, when the stream has ended. */
  handleClosed(): void;
}

/** Collaborators of a {@link ForwardServerStream}. @public */
export interface ForwardServerStreamOptions {
  readonly handler: ForwardRequestHandler;
  /**
   * Reports a message of the follower that is invalid, a request whose handling
   * failed, or a reply that cannot be sent.
   */
  handleInvalid(reason: string): void;
}

type ReplyMessage = Extract<ForwardResponse, {readonly kind: 'reply'}>;

type ForwardedResult = ReplyMessage['reply']['result'];

/** Serves the requests of one follower. @public */
export class ForwardServerStream {
  private readonly reader = FrameReader.create();
  /** Exchanges that have no result yet and were not cancelled. */
  private readonly pending = new Set<number>();
  private lastExchangeId = 0;
  private endReason: string | null = null;

  private constructor(
    private readonly channel: ByteChannel,
    private readonly options: ForwardServerStreamOptions,
  ) {}

  /** Starts the channel. */
  static create(
    channel: ByteChannel,
    options: ForwardServerStreamOptions,
  ): ForwardServerStream {
    const stream = new ForwardServerStream(channel, options);
    channel.start({
      handleData: bytes => stream.handleData(bytes),
      // Responses are sent in any case: a follower waits for each of them, so
      // their number is limited by the exchanges that it has begun.
      handleDrain: () => {},
      handleClosed: reason => stream.close(reason),
    });
    return stream;
  }

  get isOpen(): boolean {
    return this.endReason === null;
  }

  /** Why the stream has ended; null while it is open. */
  get closeReason(): string | null {
    return this.endReason;
  }

  close(reason: string): void {
    if (this.endReason === null) {
      this.endReason = reason;
      this.pending.clear();
      this.channel.close();
      this.options.handler.handleClosed();
    }
  }

  /** Reports a fault of either side and ends the stream. */
  private fail(reason: string): void {
    this.options.handleInvalid(reason);
    this.close(reason);
  }

  private handleData(bytes: Uint8Array): void {
    if (!this.isOpen) {
      return;
    }
    for (const frame of this.reader.read(bytes)) {
      if (frame.kind === 'invalid') {
        this.fail(`invalid frame: ${frame.reason}`);
        return;
      }
      const parsed = parseBody(forwardRequestSchema, frame.text);
      if (!parsed.ok) {
        this.fail(`invalid message: ${parsed.error}`);
        return;
      }
      this.handleRequest(parsed.value);
      if (!this.isOpen) {
        return;
      }
    }
  }

  private handleRequest(request: ForwardRequest): void {
    try {
      this.dispatch(request);
    } catch (error) {
      this.fail(`${request.kind} failed: ${String(error)}`);
    }
  }

  private dispatch(request: ForwardRequest): void {
    const {handler} = this.options;
    switch (request.kind) {
      case 'operation': {
        const {exchangeId, operation} = request;
        if (this.beginExchange(exchangeId)) {
          this.respondLater(
            exchangeId,
            handler.handleOperation(exchangeId, operation),
          );
        }
        return;
      }
      case 'statement': {
        const {exchangeId, transactionId, statement} = request;
        if (this.beginExchange(exchangeId)) {
          this.respondLater(
            exchangeId,
            handler.handleStatement(transactionId, statement, exchangeId),
          );
        }
        return;
      }
      case 'abandon':
        handler.handleAbandon(request.transactionId);
        return;
      case 'cancel':
        // The response may have been sent before the cancel arrived.
        if (this.pending.delete(request.exchangeId)) {
          handler.handleCancel(request.exchangeId);
        }
        return;
      case 'ping':
        this.send({kind: 'pong', pingId: request.pingId});
        return;
    }
  }

  /** Refuses an exchange id that does not increase. */
  private beginExchange(exchangeId: number): boolean {
    if (exchangeId <= this.lastExchangeId) {
      this.fail(
        `exchange id ${exchangeId} does not follow ${this.lastExchangeId}`,
      );
      return false;
    }
    this.lastExchangeId = exchangeId;
    this.pending.add(exchangeId);
    return true;
  }

  private respondLater(
    exchangeId: number,
    handled: Promise<HandledResult>,
  ): void {
    handled
      .then(result => {
        // False after the end of the stream or after a cancel.
        if (this.pending.delete(exchangeId)) {
          this.respond(exchangeId, result);
        }
      })
      .catch((error: unknown) => {
        this.fail(`exchange ${exchangeId} failed: ${String(error)}`);
      });
  }

  private respond(exchangeId: number, result: HandledResult): void {
    if (!result.ok) {
      this.send({kind: 'declined', exchangeId, reason: result.error});
      return;
    }
    const message = createReplyMessage(exchangeId, result.value);
    if (message === null || !this.send(message)) {
      this.options.handleInvalid(
        `the reply of exchange ${exchangeId} cannot be sent`,
      );
      this.send(createUnsendableReply(exchangeId, result.value));
    }
  }

  /** Returns whether the message fits into a frame. */
  private send(response: ForwardResponse): boolean {
    const frame = encodeFrame(response);
    if (frame === null) {
      return false;
    }
    this.channel.write(frame);
    return true;
  }
}

/** Returns null for an error that a follower does not accept. */
function createReplyMessage(
  exchangeId: number,
  {reply, committedPosition, wasSent}: ForwardReply,
): ReplyMessage | null {
  const {rows, transactionState, position} = reply;
  const result = getForwardedResult(reply.result);
  if (result === null) {
    return null;
  }
  return {
    kind: 'reply',
    exchangeId,
    reply: {rows, result, transactionState, position},
    committedPosition,
    wasSent,
  };
}

/**
 * Replaces a reply that cannot be sent, such as one with too many rows. It was
 * possibly executed, so the follower must not execute it again, which closing
 * the stream would permit for a read.
 */
function createUnsendableReply(
  exchangeId: number,
  {reply, committedPosition, wasSent}: ForwardReply,
): ReplyMessage {
  return {
    kind: 'reply',
    exchangeId,
    reply: {
      rows: [],
      result: {kind: 'error', error: {kind: 'outcomeUnknown'}},
      transactionState: reply.transactionState,
      position: reply.position,
    },
    committedPosition,
    wasSent,
  };
}

/** Returns null for an error that only the follower itself can report. */
function getForwardedResult(result: ReplyResult): ForwardedResult | null {
  if (result.kind !== 'error') {
    return result;
  }
  const {error} = result;
  switch (error.kind) {
    case 'overloaded':
    case 'unavailable':
    case 'shuttingDown':
    case 'outcomeUnknown':
    case 'transactionLost':
    case 'transactionFailed':
    case 'cancelled':
      return {kind: 'error', error};
    case 'unknownStatement':
    case 'notSupported':
    case 'invalidToken':
    case 'invalidParameter':
    case 'invalidAuthorization':
    case 'accessDenied':
    case 'limitExceeded':
    case 'unknownDatabase':
    case 'protocolViolation':
    case 'requestKeyReused':
      return null;
  }
}
