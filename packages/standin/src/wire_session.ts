import {
  formatPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import {
  FrameSplitter,
  describeFrameError,
} from '@filbertrun/wire/frame_splitter.js';
import type {StartupPacket} from '@filbertrun/wire/startup_packet.js';
import type {
  ConnectionListener,
  DatabaseConnection,
} from './database_connection.js';
import {MAJORITY_CHANNEL} from './database_connection.js';
import {createProtocolError, parseFrontendMessage} from './frontend_message.js';
import type {InstanceCore} from './instance_core.js';
import {MessageWriter} from './message_writer.js';
import {QueryProcessor} from './query_processor.js';
import {SCRAM_MECHANISM} from './scram_verifier.js';
import {
  Login,
  StartupReader,
  readRunTimeParameters,
  type LoginRules,
} from './session_startup.js';
import {SQL_STATE, SqlError} from './sql_error.js';

/** Output side of a session's connection. @internal */
export interface SessionTransport {
  /**
   * Sends bytes; returns false if the session should wait for `handleDrained`
   * before it sends more. `hasCommit` says that the bytes acknowledge a commit.
   */
  write(bytes: Buffer, hasCommit: boolean): boolean;
  /** Closes the connection after the written bytes were sent. */
  end(): void;
}

/** Options of a session. @internal */
export interface WireSessionOptions {
  readonly core: InstanceCore;
  readonly rules: LoginRules;
  readonly transport: SessionTransport;
  /** Calls back after the current turn of the event loop. */
  readonly defer: (callback: () => void) => void;
  readonly createSecretKey: () => number;
}

/** Maximum size of a message in bytes. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Response to an encryption request: encryption is not supported. */
const ENCRYPTION_REFUSED = Buffer.from('N');

interface Frame {
  readonly type: number;
  readonly bytes: Buffer;
}

/**
 * The PostgreSQL protocol of one client connection, independent of the socket:
 * first the login, then one message after the other.
 *
 * @internal
 */
export class WireSession implements ConnectionListener {
  private readonly startup = StartupReader.create();
  private readonly splitter = FrameSplitter.create(MAX_MESSAGE_BYTES);
  private readonly writer = MessageWriter.create();
  private readonly frames: Frame[] = [];
  private hasStarted = false;
  private isClosed = false;
  private isProcessing = false;
  private login: Login | null = null;
  private connection: DatabaseConnection | null = null;
  private processor: QueryProcessor | null = null;
  private stopConnectTimer: (() => void) | null = null;

  private constructor(private readonly options: WireSessionOptions) {}

  static create(options: WireSessionOptions): WireSession {
    return new WireSession(options);
  }

  handleData(chunk: Buffer): void {
    if (this.isClosed) {
      return;
    }
    try {
      this.receive(chunk);
    } catch (error) {
      this.fail(error);
    }
    this.flush();
  }

  handleDrained(): void {
    this.processor?.handleDrained();
  }

  /** Rolls back and releases resources after the client disconnected. */
  handleClosed(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.stopConnectTimer?.();
    this.processor?.dispose();
    this.connection?.close();
  }

  handleRoleChanged(): void {
    if (this.processor === null) {
      return;
    }
    const role = this.options.core.replication.getRole();
    this.writer.writeParameterStatus('group_role', role);
    this.flushUnlessProcessing();
  }

  handleMajority(majority: LogPosition): void {
    const {connection} = this;
    if (connection?.isListening(MAJORITY_CHANNEL) !== true) {
      return;
    }
    this.writer.writeNotification(
      connection.processId,
      MAJORITY_CHANNEL,
      formatPosition(majority),
    );
    this.flushUnlessProcessing();
  }

  handleCancelled(): void {
    this.processor?.handleCancelled();
  }

  handleTerminated(error: SqlError): void {
    this.fail(error);
  }

  private receive(chunk: Buffer): void {
    if (this.hasStarted) {
      this.splitFrames(chunk);
      return;
    }
    this.startup.push(chunk);
    while (!this.hasStarted && !this.isClosed) {
      const packet = this.startup.takePacket();
      if (packet === null) {
        return;
      }
      this.handleStartupPacket(packet);
    }
    if (!this.isClosed) {
      this.splitFrames(this.startup.takeRemainder());
    }
  }

  private handleStartupPacket(packet: StartupPacket): void {
    switch (packet.kind) {
      case 'sslRequest':
      case 'gssEncryptionRequest':
        this.options.transport.write(ENCRYPTION_REFUSED, false);
        return;
      case 'cancelRequest':
        this.options.core.cancelStatement(packet.processId, packet.secretKey);
        this.isClosed = true;
        this.options.transport.end();
        return;
      case 'startup':
        this.hasStarted = true;
        this.openConnection(packet.parameters);
        return;
    }
  }

  private openConnection(parameters: ReadonlyMap<string, string>): void {
    const {core, rules, createSecretKey} = this.options;
    const runTimeParameters = readRunTimeParameters(parameters, rules);
    const opened = core.openConnection(
      this,
      createSecretKey(),
      runTimeParameters,
    );
    if (!opened.ok) {
      throw opened.error;
    }
    this.connection = opened.value;
    const login = Login.create(parameters.get('user') ?? '', rules);
    const startLogin = () => {
      this.login = login;
      this.writer.writeSaslMechanisms([SCRAM_MECHANISM]);
    };
    const {connectTimeMs} = core.getLimits();
    if (connectTimeMs === 0) {
      startLogin();
      return;
    }
    this.stopConnectTimer = core.startTimer(connectTimeMs, () => {
      this.stopConnectTimer = null;
      startLogin();
      this.processFrames();
    });
  }

  private splitFrames(chunk: Buffer): void {
    const result = this.splitter.push(chunk, (type, buffer, start, end) => {
      this.frames.push({type, bytes: buffer.subarray(start, end)});
    });
    if (!result.ok) {
      throw createProtocolError(describeFrameError(result.error));
    }
    this.processFrames();
  }

  private processFrames(): void {
    this.isProcessing = true;
    try {
      while (!this.isClosed && this.isReadyForFrame()) {
        const frame = this.frames.shift();
        if (frame === undefined) {
          break;
        }
        this.processFrame(frame);
      }
    } catch (error) {
      this.fail(error);
    }
    this.isProcessing = false;
    this.flush();
  }

  private isReadyForFrame(): boolean {
    if (this.processor !== null) {
      return !this.processor.isBusy();
    }
    return this.login !== null;
  }

  private processFrame(frame: Frame): void {
    const message = parseFrontendMessage(frame.type, frame.bytes);
    if (message.kind === 'terminate') {
      this.handleClosed();
      this.options.transport.end();
      return;
    }
    if (this.processor !== null) {
      this.processor.handleMessage(message);
      return;
    }
    if (message.kind !== 'authentication' || this.login === null) {
      throw createProtocolError('a message came before the login');
    }
    const {text, isFinal} = this.login.respond(message.body);
    if (!isFinal) {
      this.writer.writeSaslContinue(text);
      return;
    }
    this.writer.writeSaslFinal(text);
    this.finishLogin();
  }

  private finishLogin(): void {
    const {connection, writer} = this;
    if (connection === null) {
      return;
    }
    const {core, defer} = this.options;
    writer.writeAuthenticationOk();
    for (const [name, value] of connection.parameters.getReported()) {
      writer.writeParameterStatus(name, value);
    }
    const position = formatPosition(core.getPosition());
    writer.writeParameterStatus('group_position', position);
    writer.writeParameterStatus('group_role', core.replication.getRole());
    writer.writeBackendKeyData(connection.processId, connection.secretKey);
    writer.writeReadyForQuery('I');
    this.processor = QueryProcessor.create({
      core,
      connection,
      writer,
      defer,
      flush: () => this.flush(),
      resume: () => this.processFrames(),
      fail: error => this.fail(error),
    });
  }

  private flushUnlessProcessing(): void {
    if (!this.isProcessing) {
      this.flush();
    }
  }

  /** Sends the written bytes; false if the transport must drain first. */
  private flush(): boolean {
    if (this.writer.getSize() === 0) {
      return true;
    }
    const hasCommit = this.processor?.consumeHasCommit() ?? false;
    return this.options.transport.write(this.writer.take(), hasCommit);
  }

  private fail(error: unknown): void {
    if (this.isClosed) {
      return;
    }
    const reported =
      error instanceof SqlError
        ? error
        : SqlError.createFatal(SQL_STATE.internalError, String(error));
    this.writer.writeError(reported);
    this.flush();
    this.handleClosed();
    this.options.transport.end();
  }
}
