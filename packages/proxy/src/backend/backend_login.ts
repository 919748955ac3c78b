import type {Socket} from 'node:net';
import type {Clock} from '@filbertrun/base/clock.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import {
  readAuthentication,
  readBackendKeyData,
  readErrorResponse,
  readParameterStatus,
} from '@filbertrun/wire/backend_message_reader.js';
import {
  describeFrameError,
  type FrameSplitter,
} from '@filbertrun/wire/frame_splitter.js';
import {BackendMessage} from '@filbertrun/wire/protocol_constants.js';
import {SCRAM_MECHANISM} from '@filbertrun/wire/scram.js';
import {serialize} from 'pg-protocol';
import {BackendConnection, type BackendKey} from './backend_connection.js';
import type {BackendConnectError} from './backend_error.js';
import {ScramClient} from './scram_client.js';

const AUTHENTICATION_OK = 0;
const AUTHENTICATION_CLEARTEXT_PASSWORD = 3;
const AUTHENTICATION_SASL = 10;
const AUTHENTICATION_SASL_CONTINUE = 11;
const AUTHENTICATION_SASL_FINAL = 12;

/** SQLSTATE that says that the connection limit is reached. */
const TOO_MANY_CONNECTIONS = '53300';

/** Value of `application_name` that the proxy sends to backend servers. */
const APPLICATION_NAME = 'filbertrun';

/** Dependencies of a login. @internal */
export interface BackendLoginOptions {
  readonly backendServer: BackendServerId;
  readonly socket: Socket;
  readonly splitter: FrameSplitter;
  readonly user: string;
  readonly password: string;
  readonly databaseGroup: string;
  readonly clock: Clock;
  readonly settle: (
    result: Result<BackendConnection, BackendConnectError>,
  ) => void;
}

/**
 * Performs the login on a new socket, up to the first ReadyForQuery.
 *
 * @internal
 */
export class BackendLoginProcess {
  private readonly parameters = new Map<string, string>();
  private readonly scram: ScramClient;
  private key: BackendKey | null = null;
  /** False from the start of a SCRAM exchange until its signature is valid. */
  private isServerVerified = true;

  private constructor(private readonly options: BackendLoginOptions) {
    this.scram = ScramClient.create(options.password);
  }

  static create(options: BackendLoginOptions): BackendLoginProcess {
    return new BackendLoginProcess(options);
  }

  start(): void {
    const {user, databaseGroup} = this.options;
    this.options.socket.write(
      serialize.startup({
        user,
        database: databaseGroup,
        application_name: APPLICATION_NAME,
        client_encoding: 'UTF8',
      }),
    );
  }

  handleData(chunk: Buffer): void {
    const split = this.options.splitter.push(
      chunk,
      (type, buffer, start, end) => this.handleFrame(type, buffer, start, end),
    );
    if (!split.ok) {
      this.fail(describeFrameError(split.error));
    }
  }

  private handleFrame(
    type: number,
    buffer: Buffer,
    start: number,
    end: number,
  ): void {
    switch (type) {
      case BackendMessage.authentication:
        this.handleAuthentication(buffer, start, end);
        return;
      case BackendMessage.parameterStatus: {
        const status = readParameterStatus(buffer, start, end);
        if (status !== null) {
          this.parameters.set(status.name, status.value);
        }
        return;
      }
      case BackendMessage.backendKeyData:
        this.key = readBackendKeyData(buffer, start, end);
        return;
      case BackendMessage.readyForQuery:
        this.succeed();
        return;
      case BackendMessage.errorResponse:
        this.handleError(buffer, start, end);
        return;
      case BackendMessage.noticeResponse:
        return;
      default:
        this.fail(`unexpected message type ${type} during login`);
    }
  }

  private handleAuthentication(
    buffer: Buffer,
    start: number,
    end: number,
  ): void {
    const {code, data} = readAuthentication(buffer, start, end);
    const {socket, password} = this.options;
    switch (code) {
      case AUTHENTICATION_OK:
        if (!this.isServerVerified) {
          this.fail(
            'the server completed the login without a valid SCRAM signature',
          );
        }
        return;
      case AUTHENTICATION_CLEARTEXT_PASSWORD:
        socket.write(serialize.password(password));
        return;
      case AUTHENTICATION_SASL:
        this.isServerVerified = false;
        socket.write(
          serialize.sendSASLInitialResponseMessage(
            SCRAM_MECHANISM,
            this.scram.getClientFirst(),
          ),
        );
        return;
      case AUTHENTICATION_SASL_CONTINUE:
        this.sendClientFinal(data.toString());
        return;
      case AUTHENTICATION_SASL_FINAL:
        this.isServerVerified = this.scram.isServerFinalValid(data.toString());
        return;
      default:
        this.fail(`unsupported authentication method ${code}`);
    }
  }

  private sendClientFinal(serverFirst: string): void {
    const message = this.scram.createClientFinal(serverFirst);
    if (message === null) {
      this.fail('malformed or unacceptable SCRAM server-first message');
      return;
    }
    this.options.socket.write(serialize.sendSCRAMClientFinalMessage(message));
  }

  private handleError(buffer: Buffer, start: number, end: number): void {
    const {sqlState, message} = readErrorResponse(buffer, start, end);
    this.options.settle(
      failure(
        sqlState === TOO_MANY_CONNECTIONS
          ? {kind: 'tooManyConnections'}
          : {kind: 'refused', sqlState, message},
      ),
    );
  }

  private succeed(): void {
    const {backendServer, socket, splitter, clock, settle} = this.options;
    const login = {key: this.key, parameters: this.parameters};
    settle(
      success(
        BackendConnection.create(backendServer, socket, splitter, login, clock),
      ),
    );
  }

  private fail(reason: string): void {
    this.options.settle(failure({kind: 'protocolViolation', reason}));
  }
}
