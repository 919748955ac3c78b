import type net from 'node:net';
import type {DeployedProxy} from '@filbertrun/standin/deployment.js';
import pg from 'pg';
import {z} from 'zod';

/** A caller that uses an unmodified driver and tracks its session token. */

/** Options of `CallerSession`. @public */
export interface CallerSessionOptions {
  readonly proxy: Pick<DeployedProxy, 'host' | 'port'>;
  readonly user: string;
  readonly password: string;
  readonly databaseGroup: string;
  readonly applicationName?: string;
}

/** Result of a statement. @public */
export interface QueryResult {
  readonly rows: readonly Readonly<Record<string, unknown>>[];
  readonly rowCount: number;
}

const TOKEN_PARAMETER = 'filbertrun.session_token';
const CONNECT_TIMEOUT_MS = 5_000;

const parameterStatusSchema = z.object({
  parameterName: z.string(),
  parameterValue: z.string(),
});

/** A connection of a caller. @public */
export class CallerSession {
  private token: string | null = null;
  private ended = false;
  private detachedSocket: net.Socket | null = null;

  private constructor(private readonly client: pg.Client) {}

  static async connect(options: CallerSessionOptions): Promise<CallerSession> {
    const client = new pg.Client({
      host: options.proxy.host,
      port: options.proxy.port,
      user: options.user,
      password: options.password,
      database: options.databaseGroup,
      application_name: options.applicationName ?? 'filbertrun-bench',
      connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
    });
    const session = new CallerSession(client);
    client.on('error', () => {
      session.ended = true;
    });
    client.on('end', () => {
      session.ended = true;
    });
    getConnection(client).on('parameterStatus', message => {
      const status = parameterStatusSchema.safeParse(message);
      if (status.success && status.data.parameterName === TOKEN_PARAMETER) {
        session.token = status.data.parameterValue;
      }
    });
    await client.connect();
    return session;
  }

  /** The session token that the proxy reported last, or null. */
  get sessionToken(): string | null {
    return this.token;
  }

  get hasEnded(): boolean {
    return this.ended;
  }

  async query(
    text: string,
    values: readonly unknown[] = [],
  ): Promise<QueryResult> {
    try {
      const result =
        values.length === 0
          ? await this.client.query<Record<string, unknown>>(text)
          : await this.client.query<Record<string, unknown>>(text, [...values]);
      return {rows: result.rows, rowCount: result.rowCount ?? 0};
    } catch (error) {
      // After a FATAL error the server closes the connection. The driver would
      // still queue the next statement and then report it as interrupted,
      // although it was never sent.
      if (error instanceof pg.DatabaseError && error.severity === 'FATAL') {
        this.ended = true;
      }
      throw error;
    }
  }

  async useToken(token: string): Promise<void> {
    await this.query(`SET ${TOKEN_PARAMETER} = '${token}'`);
  }

  /**
   * Detaches the logged-in socket from the driver. After that, the session can
   * only be ended.
   */
  detachSocket(): net.Socket {
    const {stream} = getConnection(this.client);
    stream.removeAllListeners('data');
    this.detachedSocket = stream;
    return stream;
  }

  async end(): Promise<void> {
    this.ended = true;
    if (this.detachedSocket !== null) {
      this.detachedSocket.destroy();
      return;
    }
    await this.client.end().catch(() => undefined);
  }
}

interface DriverConnection {
  readonly stream: net.Socket;
  on(event: string, listener: (message: unknown) => void): unknown;
}

/** Returns the driver's connection, which its type declarations omit. */
function getConnection(client: pg.Client): DriverConnection {
  return (client as unknown as {readonly connection: DriverConnection})
    .connection;
}
