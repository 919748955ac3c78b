import type {Socket} from 'node:net';
import {TLSSocket, type SecureContext} from 'node:tls';
import type {Timer} from '@filbertrun/base/clock.js';
import {
  describeCallerError,
  type CallerError,
} from '@filbertrun/model/outcome.js';
import {
  buildAuthenticationOk,
  buildBackendKeyData,
  buildErrorResponse,
  buildParameterStatus,
  getReadyForQuery,
} from '@filbertrun/wire/backend_message_builder.js';
import {
  describeFrameError,
  FrameSplitter,
} from '@filbertrun/wire/frame_splitter.js';
import {FrontendMessage} from '@filbertrun/wire/protocol_constants.js';
import {
  readStartupPacket,
  type StartupPacket,
} from '@filbertrun/wire/startup_packet.js';
import {CallerSession} from '../session/caller_session.js';
import type {SessionServices} from '../session/session_services.js';
import type {
  CallerAuthenticator,
  CallerLogin,
} from './caller_authentication.js';
import {CallerLifecycle} from './caller_lifecycle.js';
import {CallerOutput} from './caller_output.js';
import type {CancelKey, CancelRegistry} from './cancel_registry.js';
import {createSession} from './session_startup.js';

/** Maximum size of a frame from a caller. */
const MAX_CALLER_FRAME_BYTES = 64 * 1024 * 1024;

/** Size of the pending messages above which reading is paused. */
const MAX_PENDING_BYTES = 256 * 1024;

/** Time limit for startup and login. */
const LOGIN_TIMEOUT_MS = 10_000;

const TLS_ACCEPTED = Buffer.from('S');

/** Refuses TLS or GSSAPI encryption. */
const TLS_REFUSED = Buffer.from('N');

/** Options that all connections of callers share. @public */
export interface CallerConnectionOptions {
  readonly services: SessionServices;
  readonly authenticator: CallerAuthenticator;
  readonly cancelRegistry: CancelRegistry;
  /** Null when TLS is not offered. */
  readonly secureContext: SecureContext | null;
  readonly handleClosed: (connection: CallerConnection) => void;
}

/**
 * A caller's connection: startup, TLS, login and the messages of its session.
 *
 * @public
 */
export class CallerConnection {
  private readonly lifecycle = CallerLifecycle.create();
  private readonly splitter = FrameSplitter.create(MAX_CALLER_FRAME_BYTES);
  private readonly output: CallerOutput;
  private readonly loginTimer: Timer;
  private startupBytes: Buffer = Buffer.alloc(0);
  private login: CallerLogin | null = null;
  private startupParameters: ReadonlyMap<string, string> = new Map();
  private session: CallerSession | null = null;
  private cancelKey: CancelKey | null = null;
  private pendingFrames: Buffer[] = [];
  private pendingBytes = 0;
  private isProcessing = false;
  private isPaused = false;
  private isEnding = false;

  private constructor(
    private socket: Socket,
    private readonly options: CallerConnectionOptions,
  ) {
    this.output = CallerOutput.create(socket);
    this.loginTimer = options.services.clock.startTimer(LOGIN_TIMEOUT_MS, () =>
      this.socket.destroy(),
    );
  }

  static create(
    socket: Socket,
    options: CallerConnectionOptions,
  ): CallerConnection {
    const connection = new CallerConnection(socket, options);
    connection.attachListeners();
    return connection;
  }

  /** Whether the caller has no request running and no transaction open. */
  isIdle(): boolean {
    return !this.isProcessing && (this.session?.isIdle() ?? true);
  }

  /** Closes the connection as soon as it is idle. */
  stop(): void {
    this.lifecycle.send({type: 'stopRequested'});
    this.endIfStopping();
  }

  /** Closes the connection immediately. */
  destroy(): void {
    this.socket.destroy();
  }

  private attachListeners(): void {
    const {socket} = this;
    socket.on('data', (chunk: Buffer) => this.handleData(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.handleClosed(socket));
  }

  private handleData(chunk: Buffer): void {
    if (this.lifecycle.phase === 'awaitingStartup') {
      this.handleStartupBytes(chunk);
      return;
    }
    const split = this.splitter.push(chunk, this.handleFrame);
    if (!split.ok) {
      const reason = describeFrameError(split.error);
      this.endWithError({kind: 'protocolViolation', reason});
    }
  }

  private handleStartupBytes(chunk: Buffer): void {
    this.startupBytes =
      this.startupBytes.length === 0
        ? chunk
        : Buffer.concat([this.startupBytes, chunk]);
    const read = readStartupPacket(this.startupBytes);
    if (!read.ok) {
      const reason =
        read.error.kind === 'unsupportedVersion'
          ? `unsupported protocol version ${read.error.version}`
          : read.error.reason;
      this.endWithError({kind: 'protocolViolation', reason});
      return;
    }
    if (read.value === null) {
      return;
    }
    const rest = this.startupBytes.subarray(read.value.length);
    this.startupBytes = Buffer.alloc(0);
    this.handleStartupPacket(read.value.packet, rest);
  }

  private handleStartupPacket(packet: StartupPacket, rest: Buffer): void {
    switch (packet.kind) {
      case 'sslRequest':
        this.handleTlsRequest(rest);
        return;
      case 'gssEncryptionRequest':
        this.socket.write(TLS_REFUSED);
        this.handleRemainingBytes(rest);
        return;
      case 'cancelRequest':
        this.options.cancelRegistry.cancel(packet);
        this.endConnection();
        return;
      case 'startup':
        this.startLogin(packet.parameters);
        this.handleRemainingBytes(rest);
        return;
    }
  }

  private handleRemainingBytes(rest: Buffer): void {
    if (rest.length > 0) {
      this.handleData(rest);
    }
  }

  private handleTlsRequest(rest: Buffer): void {
    const {secureContext} = this.options;
    if (secureContext === null || this.socket instanceof TLSSocket) {
      this.socket.write(TLS_REFUSED);
      this.handleRemainingBytes(rest);
      return;
    }
    if (rest.length > 0) {
      // A man in the middle could have injected bytes before the handshake.
      const reason = 'unencrypted data after the request for TLS';
      this.endWithError({kind: 'protocolViolation', reason});
      return;
    }
    const plain = this.socket;
    plain.removeAllListeners('data');
    plain.write(TLS_ACCEPTED);
    this.socket = new TLSSocket(plain, {isServer: true, secureContext});
    this.output.replaceSocket(this.socket);
    this.lifecycle.send({type: 'encryptionRequested'});
    this.attachListeners();
  }

  private startLogin(parameters: ReadonlyMap<string, string>): void {
    this.lifecycle.send({type: 'startupReceived'});
    this.startupParameters = parameters;
    const user = parameters.get('user') ?? '';
    const isEncrypted = this.socket instanceof TLSSocket;
    this.login = this.options.authenticator.start(user, isEncrypted);
    this.output.write(this.login.getRequest());
  }

  private readonly handleFrame = (
    type: number,
    buffer: Buffer,
    start: number,
    end: number,
  ): void => {
    if (this.isEnding) {
      return;
    }
    const frame = buffer.subarray(start, end);
    if (this.session === null) {
      this.handleLoginMessage(type, frame);
      return;
    }
    this.enqueue(frame);
  };

  private handleLoginMessage(type: number, frame: Buffer): void {
    if (type !== FrontendMessage.password || this.login === null) {
      const reason = 'a message before the login';
      this.endWithError({kind: 'protocolViolation', reason});
      return;
    }
    const step = this.login.handleMessage(frame);
    if (!step.ok) {
      this.endWithError(step.error);
      return;
    }
    if (step.value.reply !== null) {
      this.output.write(step.value.reply);
    }
    if (step.value.kind === 'done') {
      this.startSession();
    }
  }

  private startSession(): void {
    const {services, cancelRegistry} = this.options;
    const started = createSession(this.startupParameters, {
      services,
      output: this.output,
      endConnection: () => this.endConnection(),
    });
    if (!started.ok) {
      this.endWithError(started.error);
      return;
    }
    this.loginTimer.cancel();
    this.login = null;
    this.startupParameters = new Map();
    const {session, reportedParameters} = started.value;
    this.session = session;
    this.cancelKey = cancelRegistry.register(session);
    this.lifecycle.send({type: 'authenticated'});
    const {processId, secretKey} = this.cancelKey;
    this.output.write(buildAuthenticationOk());
    for (const [name, value] of reportedParameters) {
      this.output.write(buildParameterStatus(name, value));
    }
    this.output.write(buildBackendKeyData(processId, secretKey));
    this.output.write(getReadyForQuery('idle'));
    this.endIfStopping();
  }

  private enqueue(frame: Buffer): void {
    this.pendingFrames.push(frame);
    this.pendingBytes += frame.length;
    if (this.pendingBytes > MAX_PENDING_BYTES && !this.isPaused) {
      this.isPaused = true;
      this.socket.pause();
    }
    if (!this.isProcessing) {
      void this.process();
    }
  }

  /** Handles the pending messages in order. */
  private async process(): Promise<void> {
    this.isProcessing = true;
    while (this.pendingFrames.length > 0 && !this.isEnding) {
      const frames = this.pendingFrames;
      this.pendingFrames = [];
      this.pendingBytes = 0;
      await this.processFrames(frames);
      this.resumeReading();
    }
    this.isProcessing = false;
    this.endIfStopping();
  }

  private async processFrames(frames: readonly Buffer[]): Promise<void> {
    for (const frame of frames) {
      if (this.isEnding || this.session === null) {
        return;
      }
      const pending = this.session.handleMessage(frame[0]!, frame);
      if (pending !== null) {
        await pending;
      }
    }
  }

  private resumeReading(): void {
    if (this.isPaused) {
      this.isPaused = false;
      this.socket.resume();
    }
  }

  /** Closes a stopping connection if it is idle. */
  private endIfStopping(): void {
    if (this.lifecycle.phase !== 'stopping' || this.isEnding) {
      return;
    }
    if (this.isProcessing || this.session?.isIdle() === false) {
      return;
    }
    this.endWithError({kind: 'shuttingDown', retryAfterMs: 0});
  }

  private endWithError(error: CallerError): void {
    if (this.isEnding) {
      return;
    }
    const report = describeCallerError(error);
    this.options.services.metrics.countError(report.sqlState);
    this.output.write(buildErrorResponse(report));
    this.endConnection();
  }

  private endConnection(): void {
    this.isEnding = true;
    this.pendingFrames = [];
    this.output.end();
  }

  private handleClosed(socket: Socket): void {
    if (socket !== this.socket || this.lifecycle.phase === 'closed') {
      return;
    }
    this.lifecycle.send({type: 'closed'});
    this.isEnding = true;
    this.loginTimer.cancel();
    this.output.handleClosed();
    if (this.cancelKey !== null) {
      this.options.cancelRegistry.unregister(this.cancelKey);
    }
    this.session?.dispose();
    this.options.handleClosed(this);
  }
}
