import type {Clock} from '@filbertrun/base/clock.js';
import type {Socket} from 'node:net';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import {parsePosition} from '@filbertrun/model/log_position.js';
import {
  readParameterStatus,
  readTransactionStatus,
} from '@filbertrun/wire/backend_message_reader.js';
import {
  describeFrameError,
  type FrameSplitter,
} from '@filbertrun/wire/frame_splitter.js';
import {
  BackendMessage,
  FRAME_HEADER_BYTES,
  type TransactionStatus,
} from '@filbertrun/wire/protocol_constants.js';
import {writeChunks} from '@filbertrun/wire/write_chunks.js';
import type {ExchangeHandler} from './exchange_handler.js';
import {StatementCache} from './statement_cache.js';

/** First byte of the names `group_position` and `group_role`. */
const GROUP_REPORT_FIRST_BYTE = 0x67;
const POSITION_PARAMETER = 'group_position';
const ROLE_PARAMETER = 'group_role';

/** What identifies a connection for a cancel request. @public */
export interface BackendKey {
  readonly processId: number;
  readonly secretKey: number;
}

/** What a login learned about a connection. @public */
export interface BackendLogin {
  readonly key: BackendKey | null;
  readonly parameters: ReadonlyMap<string, string>;
}

/**
 * A logged-in connection to a backend server. Requests are answered in order;
 * each has its own handler. A connection whose state is in doubt is closed,
 * never reused.
 *
 * @public
 */
export class BackendConnection {
  /** Prepared statements that exist on this connection. */
  readonly statements = StatementCache.create();
  /** Run-time parameters that a session changed on this connection. */
  appliedParameters: ReadonlyMap<string, string> = new Map();

  private readonly handlers: ExchangeHandler[] = [];
  private status: TransactionStatus = 'idle';
  private isDoubtful = false;
  private isClosed = false;
  private isPaused = false;
  private lastActivityMs: number;
  private readonly closeListeners = new Set<() => void>();

  private constructor(
    readonly backendServer: BackendServerId,
    private readonly socket: Socket,
    private readonly splitter: FrameSplitter,
    private readonly login: BackendLogin,
    private readonly clock: Clock,
  ) {
    this.lastActivityMs = clock.nowMs();
  }

  /** Takes over a socket whose login is complete. */
  static create(
    backendServer: BackendServerId,
    socket: Socket,
    splitter: FrameSplitter,
    login: BackendLogin,
    clock: Clock,
  ): BackendConnection {
    const connection = new BackendConnection(
      backendServer,
      socket,
      splitter,
      login,
      clock,
    );
    connection.attach();
    return connection;
  }

  get key(): BackendKey | null {
    return this.login.key;
  }

  /** Parameters that the backend server reported at login. */
  get initialParameters(): ReadonlyMap<string, string> {
    return this.login.parameters;
  }

  /** Sends a request whose answer, up to ReadyForQuery, goes to `handler`. */
  start(chunks: readonly Buffer[], handler: ExchangeHandler): void {
    if (this.isClosed) {
      queueMicrotask(() => handler.handleLost('the connection is closed'));
      return;
    }
    this.handlers.push(handler);
    this.lastActivityMs = this.clock.nowMs();
    this.send(chunks);
  }

  /** Sends more bytes of the latest request. */
  send(chunks: readonly Buffer[]): void {
    writeChunks(this.socket, chunks);
  }

  /** Whether nothing is pending, no transaction is open and nothing is in doubt. */
  isClean(): boolean {
    return (
      !this.isClosed &&
      !this.isDoubtful &&
      this.handlers.length === 0 &&
      this.status === 'idle'
    );
  }

  /** Whether a request can still be sent. */
  isOpen(): boolean {
    return !this.isClosed;
  }

  get transactionStatus(): TransactionStatus {
    return this.status;
  }

  /** Keeps the connection from being reused. */
  markDoubtful(): void {
    this.isDoubtful = true;
  }

  /** Stops reading, so that the backend server slows down. */
  pause(): void {
    this.isPaused = true;
    this.socket.pause();
  }

  resume(): void {
    this.isPaused = false;
    this.lastActivityMs = this.clock.nowMs();
    this.socket.resume();
  }

  /** Time that the backend server has let a request wait, 0 while none waits for it. */
  getSilenceMs(): number {
    const isExpected = this.handlers.length > 0 && !this.isPaused;
    return isExpected ? this.clock.nowMs() - this.lastActivityMs : 0;
  }

  /** Calls `listener` once when the connection ends. */
  onClosed(listener: () => void): void {
    this.closeListeners.add(listener);
  }

  /** Closes the connection; pending requests end as lost. */
  close(reason: string): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.socket.destroy();
    const handlers = this.handlers.splice(0);
    for (const handler of handlers) {
      handler.handleLost(reason);
    }
    for (const listener of this.closeListeners) {
      listener();
    }
  }

  private attach(): void {
    this.socket.removeAllListeners('data');
    this.socket.on('data', chunk => this.handleData(chunk));
    this.socket.on('error', error => this.close(error.message));
    this.socket.on('close', () => this.close('the backend server closed'));
    this.socket.on('end', () => this.close('the backend server closed'));
  }

  private handleData(chunk: Buffer): void {
    this.lastActivityMs = this.clock.nowMs();
    const split = this.splitter.push(chunk, this.handleFrame);
    if (!split.ok) {
      this.close(describeFrameError(split.error));
      return;
    }
    this.handlers[0]?.handleChunkEnd();
  }

  private readonly handleFrame = (
    type: number,
    buffer: Buffer,
    start: number,
    end: number,
  ): void => {
    if (this.isClosed) {
      return;
    }
    const handler = this.handlers[0];
    if (type === BackendMessage.readyForQuery) {
      this.handleReady(buffer, start);
      return;
    }
    if (handler === undefined) {
      this.handleUnrequested(type);
      return;
    }
    if (type === BackendMessage.parameterStatus) {
      if (this.handleGroupReport(handler, buffer, start, end)) {
        return;
      }
    } else if (type === BackendMessage.notificationResponse) {
      return;
    }
    handler.handleFrame(type, buffer, start, end);
  };

  private handleReady(buffer: Buffer, start: number): void {
    const status = readTransactionStatus(buffer, start);
    const handler = this.handlers.shift();
    if (status === null || handler === undefined) {
      this.close('unexpected ReadyForQuery');
      return;
    }
    this.status = status;
    handler.handleReady(status);
  }

  /** A backend server may send notices and reports at any time, but no answer. */
  private handleUnrequested(type: number): void {
    const isAllowed =
      type === BackendMessage.parameterStatus ||
      type === BackendMessage.noticeResponse ||
      type === BackendMessage.notificationResponse;
    if (!isAllowed) {
      this.close('a message that nothing asked for');
    }
  }

  /** Handles the reports of the replication interface; false for other parameters. */
  private handleGroupReport(
    handler: ExchangeHandler,
    buffer: Buffer,
    start: number,
    end: number,
  ): boolean {
    if (buffer[start + FRAME_HEADER_BYTES] !== GROUP_REPORT_FIRST_BYTE) {
      return false;
    }
    const report = readParameterStatus(buffer, start, end);
    if (report?.name === POSITION_PARAMETER) {
      const position = parsePosition(report.value);
      if (position === null) {
        this.close('malformed group_position');
        return true;
      }
      handler.handlePosition(position);
      return true;
    }
    return report?.name === ROLE_PARAMETER;
  }
}
