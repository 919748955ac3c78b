import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import type {Clock} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import {describeCallerError} from '@filbertrun/model/outcome.js';
import {buildErrorResponse} from '@filbertrun/wire/backend_message_builder.js';
import {
  CallerConnection,
  type CallerConnectionOptions,
} from './caller_connection.js';

/** Retry hint for a caller that is refused at the connection limit. */
const LIMIT_REACHED_RETRY_AFTER_MS = 1000;

/** Interval at which a graceful stop checks whether connections are left. */
const STOP_CHECK_INTERVAL_MS = 20;

/** Options of a caller listener. @public */
export interface CallerListenerOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
  readonly maxConnections: number;
  readonly clock: Clock;
  readonly connection: Omit<CallerConnectionOptions, 'handleClosed'>;
  /** Called with the number of open connections when it changes. */
  readonly handleConnectionCount: (count: number) => void;
}

/** Accepts the connections of callers. @public */
export class CallerListener {
  private readonly connections = new Set<CallerConnection>();
  private readonly connectionOptions: CallerConnectionOptions;

  private constructor(
    private readonly server: Server,
    private readonly options: CallerListenerOptions,
  ) {
    this.connectionOptions = {
      ...options.connection,
      handleClosed: connection => {
        this.connections.delete(connection);
        options.handleConnectionCount(this.connections.size);
      },
    };
  }

  /** Starts listening. */
  static async create(options: CallerListenerOptions): Promise<CallerListener> {
    const server = createServer({noDelay: true, keepAlive: true});
    const listener = new CallerListener(server, options);
    server.on('connection', socket => listener.handleConnection(socket));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.port, options.host, resolve);
    });
    return listener;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /**
   * Stops accepting connections and closes each open one when it becomes
   * idle. Connections that are left after `timeoutMs` are closed immediately.
   */
  async stop(timeoutMs: number): Promise<void> {
    this.server.close();
    const {clock} = this.options;
    const deadlineMs = clock.nowMs() + timeoutMs;
    for (const connection of [...this.connections]) {
      connection.stop();
    }
    while (this.connections.size > 0 && clock.nowMs() < deadlineMs) {
      await sleep(clock, STOP_CHECK_INTERVAL_MS);
    }
    for (const connection of [...this.connections]) {
      connection.destroy();
    }
  }

  private handleConnection(socket: Socket): void {
    if (this.connections.size >= this.options.maxConnections) {
      refuseConnection(socket);
      return;
    }
    this.connections.add(
      CallerConnection.create(socket, this.connectionOptions),
    );
    this.options.handleConnectionCount(this.connections.size);
  }
}

function refuseConnection(socket: Socket): void {
  const report = describeCallerError({
    kind: 'overloaded',
    retryAfterMs: LIMIT_REACHED_RETRY_AFTER_MS,
  });
  socket.on('error', () => socket.destroy());
  socket.end(buildErrorResponse({...report, severity: 'FATAL'}));
}
