import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {
  BIND_COMPLETE,
  buildAuthenticationOk,
  buildBackendKeyData,
  buildCommandComplete,
  buildErrorResponse,
  buildParameterStatus,
  buildTextDataRow,
  buildTextRowDescription,
  CLOSE_COMPLETE,
  getReadyForQuery,
  PARSE_COMPLETE,
} from '@filbertrun/wire/backend_message_builder.js';
import {FrameSplitter} from '@filbertrun/wire/frame_splitter.js';
import {
  readBind,
  readNamedTarget,
  readParse,
  readQuery,
} from '@filbertrun/wire/frontend_message_reader.js';
import {
  FrontendMessage,
  type TransactionStatus,
} from '@filbertrun/wire/protocol_constants.js';
import {readStartupPacket} from '@filbertrun/wire/startup_packet.js';

/**
 * A fake backend server for tests. A handler of the test chooses the response
 * to each statement, and the server records the statements that it receives.
 */

/** Response to one statement. @internal */
export type FakeResponse =
  | {
      readonly kind: 'rows';
      readonly values: readonly string[];
      readonly tag?: string;
      /** Log position that is reported before the rows; null reports none. */
      readonly position?: string | null;
    }
  | {readonly kind: 'error'; readonly sqlState: string}
  /** Closes the connection without a response. */
  | {readonly kind: 'close'}
  /** Sends these bytes unchanged. */
  | {readonly kind: 'raw'; readonly bytes: Buffer};

/** Returns the response to a statement. @internal */
export type FakeStatementHandler = (
  sql: string,
  connection: FakeConnection,
) => FakeResponse | Promise<FakeResponse>;

const MAX_FRAME_BYTES = 1024 * 1024;

/** A fake backend server on a free local port. @internal */
export class FakeBackendServer {
  readonly statements: string[] = [];
  readonly connections = new Set<FakeConnection>();
  cancelRequests = 0;

  private constructor(
    private readonly server: Server,
    readonly handler: FakeStatementHandler,
  ) {}

  static async create(
    handler: FakeStatementHandler,
  ): Promise<FakeBackendServer> {
    const server = createServer({noDelay: true});
    const fake = new FakeBackendServer(server, handler);
    server.on('connection', socket => FakeConnection.create(socket, fake));
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return fake;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  dispose(): void {
    this.server.close();
    for (const connection of this.connections) {
      connection.socket.destroy();
    }
  }
}

/** One connection from the proxy. @internal */
export class FakeConnection {
  status: TransactionStatus = 'idle';
  /** SQL of prepared statements by name. */
  readonly prepared = new Map<string, string>();
  private readonly splitter = FrameSplitter.create(MAX_FRAME_BYTES);
  private readonly queue: {readonly type: number; readonly frame: Buffer}[] =
    [];
  private isStarted = false;
  private isBusy = false;
  private isSkipping = false;
  private boundText = '';

  private constructor(
    readonly socket: Socket,
    private readonly server: FakeBackendServer,
  ) {}

  static create(socket: Socket, server: FakeBackendServer): FakeConnection {
    const connection = new FakeConnection(socket, server);
    server.connections.add(connection);
    socket.on('data', (chunk: Buffer) => connection.handleData(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => server.connections.delete(connection));
    return connection;
  }

  private handleData(chunk: Buffer): void {
    if (!this.isStarted) {
      this.handleStartup(chunk);
      return;
    }
    this.splitter.push(chunk, (type, buffer, start, end) => {
      this.queue.push({type, frame: buffer.subarray(start, end)});
    });
    if (!this.isBusy) {
      void this.processQueue();
    }
  }

  private handleStartup(chunk: Buffer): void {
    const read = readStartupPacket(chunk);
    if (!read.ok || read.value === null) {
      this.socket.destroy();
      return;
    }
    if (read.value.packet.kind === 'cancelRequest') {
      this.server.cancelRequests++;
      this.socket.end();
      return;
    }
    this.isStarted = true;
    this.socket.write(
      Buffer.concat([
        buildAuthenticationOk(),
        buildParameterStatus('server_version', '16.0'),
        buildBackendKeyData(1, 2),
        getReadyForQuery('idle'),
      ]),
    );
  }

  private async processQueue(): Promise<void> {
    this.isBusy = true;
    for (;;) {
      const message = this.queue.shift();
      if (message === undefined) {
        break;
      }
      await this.handleMessage(message.type, message.frame);
    }
    this.isBusy = false;
  }

  private async handleMessage(type: number, frame: Buffer): Promise<void> {
    if (this.isSkipping && type !== FrontendMessage.sync) {
      return;
    }
    switch (type) {
      case FrontendMessage.query: {
        await this.runStatement(readQuery(frame) ?? '', true);
        this.socket.write(getReadyForQuery(this.status));
        return;
      }
      case FrontendMessage.parse: {
        const message = readParse(frame)!;
        this.prepared.set(message.statement, message.text);
        this.server.statements.push(`PARSE ${message.text}`);
        this.socket.write(PARSE_COMPLETE);
        return;
      }
      case FrontendMessage.bind:
        this.handleBind(frame);
        return;
      case FrontendMessage.describe:
        if (readNamedTarget(frame)?.target === 'portal') {
          this.socket.write(buildTextRowDescription(['value']));
        }
        return;
      case FrontendMessage.execute:
        await this.runStatement(this.boundText, false);
        return;
      case FrontendMessage.close:
        this.socket.write(CLOSE_COMPLETE);
        return;
      case FrontendMessage.sync:
        this.isSkipping = false;
        this.socket.write(getReadyForQuery(this.status));
        return;
      default:
        return;
    }
  }

  private handleBind(frame: Buffer): void {
    const text = this.prepared.get(readBind(frame)!.statement);
    if (text === undefined) {
      this.writeError('26000');
      return;
    }
    this.boundText = text;
    this.socket.write(BIND_COMPLETE);
  }

  private async runStatement(
    sql: string,
    describesRows: boolean,
  ): Promise<void> {
    this.server.statements.push(sql);
    const response = await this.server.handler(sql, this);
    switch (response.kind) {
      case 'rows':
        this.writeRows(response, describesRows);
        return;
      case 'error':
        this.writeError(response.sqlState);
        return;
      case 'close':
        this.socket.destroy();
        return;
      case 'raw':
        this.socket.write(response.bytes);
        return;
    }
  }

  private writeRows(
    response: FakeResponse & {readonly kind: 'rows'},
    describesRows: boolean,
  ): void {
    const frames: Buffer[] = [];
    const position = response.position ?? null;
    if (position !== null) {
      frames.push(buildParameterStatus('group_position', position));
    }
    if (describesRows && response.values.length > 0) {
      frames.push(buildTextRowDescription(['value']));
    }
    for (const value of response.values) {
      frames.push(buildTextDataRow([value]));
    }
    frames.push(buildCommandComplete(response.tag ?? 'SELECT 1'));
    this.socket.write(Buffer.concat(frames));
  }

  private writeError(sqlState: string): void {
    this.isSkipping = true;
    if (this.status === 'inTransaction') {
      this.status = 'failed';
    }
    this.socket.write(
      buildErrorResponse({severity: 'ERROR', sqlState, message: 'refused'}),
    );
  }
}
