import {connect, type Socket, type TcpNetConnectOpts} from 'node:net';
import type {Clock} from '@filbertrun/base/clock.js';
import {failure, type Result} from '@filbertrun/base/result.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import {FrameSplitter} from '@filbertrun/wire/frame_splitter.js';
import type {BackendConnection} from './backend_connection.js';
import type {BackendConnectError} from './backend_error.js';
import {BackendLoginProcess} from './backend_login.js';

/** Largest frame, such as a row, that a backend server may send. */
const MAX_BACKEND_FRAME_BYTES = 64 * 1024 * 1024;

/** Options of a backend connector. @public */
export interface BackendConnectorOptions {
  readonly user: string;
  readonly password: string;
  readonly databaseGroup: string;
  /** Local address of the connections; null lets the system choose. */
  readonly sourceAddress: string | null;
  readonly connectTimeoutMs: number;
  readonly clock: Clock;
}

/** Opens connections to backend servers and logs in. @public */
export class BackendConnector {
  private constructor(private readonly options: BackendConnectorOptions) {}

  static create(options: BackendConnectorOptions): BackendConnector {
    return new BackendConnector(options);
  }

  /** Opens a connection and logs in. */
  connect(
    server: BackendServer,
  ): Promise<Result<BackendConnection, BackendConnectError>> {
    const {options} = this;
    return new Promise(resolve => {
      const socket = openSocket(server, options.sourceAddress);
      let isSettled = false;
      const settle = (
        result: Result<BackendConnection, BackendConnectError>,
      ): void => {
        if (isSettled) {
          return;
        }
        isSettled = true;
        timer.cancel();
        socket.off('error', handleError);
        socket.off('close', handleClose);
        if (!result.ok) {
          socket.on('error', () => {});
          socket.destroy();
        }
        resolve(result);
      };
      const handleError = (error: Error): void =>
        settle(failure({kind: 'unreachable', reason: error.message}));
      const handleClose = (): void =>
        settle(
          failure({
            kind: 'unreachable',
            reason: 'the connection was closed during login',
          }),
        );
      const timer = options.clock.startTimer(options.connectTimeoutMs, () =>
        settle(failure({kind: 'timedOut'})),
      );
      socket.on('error', handleError);
      socket.on('close', handleClose);
      const login = BackendLoginProcess.create({
        backendServer: server.backendServer,
        socket,
        splitter: FrameSplitter.create(MAX_BACKEND_FRAME_BYTES),
        user: options.user,
        password: options.password,
        databaseGroup: options.databaseGroup,
        clock: options.clock,
        settle,
      });
      socket.on('connect', () => login.start());
      socket.on('data', chunk => login.handleData(chunk));
    });
  }

  /**
   * Sends a cancel request over a separate connection. Resolves when that
   * connection has closed, whether or not the request arrived.
   */
  cancel(server: BackendServer, packet: Buffer): Promise<void> {
    return new Promise(resolve => {
      const socket = openSocket(server, this.options.sourceAddress);
      socket.setTimeout(this.options.connectTimeoutMs, () => socket.destroy());
      socket.on('error', () => {});
      socket.on('close', () => resolve());
      socket.on('connect', () => socket.end(packet));
      socket.resume();
    });
  }
}

function openSocket(
  server: BackendServer,
  sourceAddress: string | null,
): Socket {
  const target: TcpNetConnectOpts = {
    host: server.host,
    port: server.port,
    noDelay: true,
    keepAlive: true,
  };
  return connect(
    sourceAddress === null ? target : {...target, localAddress: sourceAddress},
  );
}
