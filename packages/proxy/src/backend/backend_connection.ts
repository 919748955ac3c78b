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

/**
 * First byte of the names `group_position` and `group_role`. It is checked
 * before a ParameterStatus message is decoded.
 */
const GROUP_REPORT_FIRST_BYTE = 0x67;
const POSITION_PARAMETER = 'group_position';
const ROLE_PARAMETER = 'group_role';

/** Identifies a connection in a cancel request. @public */
export interface BackendKey {
  readonly processId: number;
  readonly secretKey: number;
}

/** Data that the backend server sent during the login. @public */
export interface BackendLogin {
  readonly key: BackendKey | null;
  readonly parameters: ReadonlyMap<string, string>;
}

/**
 * A logged-in connection to a backend server. Responses arrive in the order
 * of the requests, and each request has its own handler. A connection whose
 * state is unknown is closed, never reused.
 *
 * @public
 */
export class BackendConnection {
  /** Prepared statements that exist on this connection. */
  readonly statements = StatementCache.create();
  /** Run-time parameters that sessions have set on this connection. */
  appliedParameters: ReadonlyMap<string, string> = new Map();

  private readonly handlers: ExchangeHandler[] = [];
  private status: TransactionStatus = 'idle';
  private isDirty = false;
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

  /** Creates a connection from a socket whose login is complete. */
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

  /**
   * Sends a request. `handler` receives the response up to ReadyForQuery.
   */
  start(chunks: readonly Buffer[], handler: ExchangeHandler): void {
    if (this.isClosed) {
      queueMicrotask(() => handler.handleLost('the connection is closed'));
      return;
    }
    this.handlers.push(handler);
    this.lastActivityMs = this.clock.nowMs();
    this.send(chunks);
  }

  /** Sends further bytes of the latest request. */
  send(chunks: readonly Buffer[]): void {
    writeChunks(this.socket, chunks);
  }

  /**
   * Whether the connection can be reused: it is open and not dirty, no request
   * is pending and no transaction is open.
   */
  isClean(): boolean {
    return (
      !this.isClosed &&
      !this.isDirty &&
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

  /** Marks the state as unknown, so that the connection is not reused. */
  markDirty(): void {
    this.isDirty = true;
  }

  /** Stops reading from the socket (backpressure on the backend server). */
  pause(): void {
    this.isPaused = true;
    this.socket.pause();
  }

  resume(): void {
    this.isPaused = false;
    this.lastActivityMs = this.clock.nowMs();
    this.socket.resume();
  }

  /**
   * Time for which a pending response has made no progress: since the last
   * byte received, request started or `resume`. 0 if no response is pending or
   * reading is paused.
   */
  getResponseWaitMs(): number {
    const isResponsePending = this.handlers.length > 0 && !this.isPaused;
    return isResponsePending ? this.clock.nowMs() - this.lastActivityMs : 0;
  }

  /** Calls `listener` once when the connection closes. */
  onClosed(listener: () => void): void {
    this.closeListeners.add(listener);
  }

  /** Closes the connection and calls `handleLost` for pending requests. */
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
    this.socket.on('close', () =>
      this.close('the backend server closed the connection'),
    );
    this.socket.on('end', () =>
      this.close('the backend server closed the connection'),
    );
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
      this.handleUnsolicited(type);
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
      this.close('unexpected or malformed ReadyForQuery');
      return;
    }
    this.status = status;
    handler.handleReady(status);
  }

  /**
   * Handles a message while no request is pending. Only notices,
   * notifications and parameter reports are allowed then.
   */
  private handleUnsolicited(type: number): void {
    const isAllowed =
      type === BackendMessage.parameterStatus ||
      type === BackendMessage.noticeResponse ||
      type === BackendMessage.notificationResponse;
    if (!isAllowed) {
      this.close('unsolicited message without a pending request');
    }
  }

  /**
   * Handles the ParameterStatus messages that are meant for the proxy:
   * `group_position` (log position of the response) and `group_role` (whether
   * the instance is the primary). `group_role` is ignored here, since control
   * connections track the role. Returns false for other parameters.
   */
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
