import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import type {Clock} from '@filbertrun/base/clock.js';
import {pause} from '@filbertrun/base/pause.js';
import {describeCallerError} from '@filbertrun/model/outcome.js';
import {buildErrorResponse} from '@filbertrun/wire/backend_message_builder.js';
import {
  CallerConnection,
  type CallerConnectionOptions,
} from './caller_connection.js';

/** Hint for a caller when the proxy has no room for its connection. */
const FULL_RETRY_AFTER_MS = 1000;

/** Interval at which a graceful stop looks for connections that became idle. */
const STOP_CHECK_INTERVAL_MS = 20;

/** Where callers are accepted. @public */
export interface CallerListenerOptions {
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
  readonly maxConnections: number;
  readonly clock: Clock;
  readonly connection: Omit<CallerConnectionOptions, 'handleClosed'>;
  readonly handleCount: (count: number) => void;
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
        options.handleCount(this.connections.size);
      },
    };
  }

  /** Starts to listen. */
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
   * Accepts no more connections and ends each one between requests; those
   * that are not idle after `timeoutMs` are ended then.
   */
  async stop(timeoutMs: number): Promise<void> {
    this.server.close();
    const {clock} = this.options;
    const deadlineMs = clock.nowMs() + timeoutMs;
    for (const connection of [...this.connections]) {
      connection.stop();
    }
    while (this.connections.size > 0 && clock.nowMs() < deadlineMs) {
      await pause(clock, STOP_CHECK_INTERVAL_MS);
    }
    for (const connection of [...this.connections]) {
      connection.destroy();
    }
  }

  private handleConnection(socket: Socket): void {
    if (this.connections.size >= this.options.maxConnections) {
      refuse(socket);
      return;
    }
    this.connections.add(
      CallerConnection.create(socket, this.connectionOptions),
    );
    this.options.handleCount(this.connections.size);
  }
}

function refuse(socket: Socket): void {
  const report = describeCallerError({
    kind: 'overloaded',
    retryAfterMs: FULL_RETRY_AFTER_MS,
  });
  socket.on('error', () => socket.destroy());
  socket.end(buildErrorResponse({...report, severity: 'FATAL'}));
}
