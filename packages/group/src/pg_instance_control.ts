import {Socket, type TcpNetConnectOpts} from 'node:net';
import type {EventEmitter} from 'node:events';
import pg from 'pg';
import type {Clock} from '@filbertrun/base/clock.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import {parsePosition} from '@filbertrun/model/log_position.js';
import type {
  InstanceConnection,
  InstanceConnector,
  InstanceEvent,
} from './instance_connector.js';
import type {
  InstanceError,
  InstanceStatus,
  TermConfirmation,
} from './instance_control.js';
import {
  parseAccepted,
  parseBriefRow,
  parseConfirmationRow,
  parseStatusRow,
} from './instance_rows.js';

/** Options of control connections. @public */
export interface PgConnectorOptions {
  readonly databaseGroup: string;
  readonly user: string;
  readonly password: string;
  /** Source address of the connections; null to let the system choose. */
  readonly localAddress: string | null;
  readonly connectTimeoutMs: number;
  readonly callTimeoutMs: number;
  /** Timeout of `confirmTerm`, which waits for a response of a replica. */
  readonly confirmTimeoutMs: number;
}

/** Format of an SQLSTATE, which distinguishes it from socket error codes. */
const SQL_STATE_PATTERN = /^[0-9A-Z]{5}$/;

/** Opens control connections over the PostgreSQL protocol. @public */
export class PgInstanceConnector implements InstanceConnector {
  private constructor(
    private readonly options: PgConnectorOptions,
    private readonly clock: Clock,
  ) {}

  static create(
    options: PgConnectorOptions,
    clock: Clock,
  ): PgInstanceConnector {
    return new PgInstanceConnector(options, clock);
  }

  async connect(
    server: BackendServer,
    listener: (event: InstanceEvent) => void,
  ): Promise<Result<InstanceConnection, InstanceError>> {
    const client = createClient(server, this.options);
    const control = PgInstanceControl.create(
      client,
      this.options,
      this.clock,
      listener,
    );
    const opened = await control.open();
    if (!opened.ok) {
      control.close();
      return opened;
    }
    return success(control);
  }
}

/**
 * Implements the replication interface over one PostgreSQL connection.
 *
 * @public
 */
export class PgInstanceControl implements InstanceConnection {
  private isClosed = false;

  private constructor(
    private readonly client: pg.Client,
    private readonly options: PgConnectorOptions,
    private readonly clock: Clock,
    private readonly listener: (event: InstanceEvent) => void,
  ) {}

  static create(
    client: pg.Client,
    options: PgConnectorOptions,
    clock: Clock,
    listener: (event: InstanceEvent) => void,
  ): PgInstanceControl {
    const control = new PgInstanceControl(client, options, clock, listener);
    control.attach();
    return control;
  }

  /** Connects and subscribes to the majority position. */
  async open(): Promise<Result<void, InstanceError>> {
    const connected = await this.runWithin(
      this.client.connect(),
      this.options.connectTimeoutMs,
    );
    if (!connected.ok) {
      return connected;
    }
    const listening = await this.runWithin(
      this.client.query('LISTEN group_majority'),
      this.options.callTimeoutMs,
    );
    return listening.ok ? success(undefined) : listening;
  }

  async getStatus(): Promise<Result<InstanceStatus, InstanceError>> {
    const row = await this.queryRow(
      'SELECT * FROM group_brief()',
      this.options.callTimeoutMs,
    );
    return row.ok ? readRow(parseBriefRow(row.value)) : row;
  }

  raiseTerm(
    term: number,
    claimId: string,
  ): Promise<Result<InstanceStatus, InstanceError>> {
    const claim = quoteLiteral(claimId);
    return this.runCommand(`SELECT * FROM group_raise_term(${term}, ${claim})`);
  }

  promote(
    term: number,
    claimId: string,
  ): Promise<Result<InstanceStatus, InstanceError>> {
    const claim = quoteLiteral(claimId);
    return this.runCommand(`SELECT * FROM group_promote(${term}, ${claim})`);
  }

  follow(
    term: number,
    claimId: string,
    primary: BackendServerId,
  ): Promise<Result<InstanceStatus, InstanceError>> {
    const claim = quoteLiteral(claimId);
    const server = quoteLiteral(primary);
    return this.runCommand(
      `SELECT * FROM group_follow(${term}, ${claim}, ${server})`,
    );
  }

  async confirmTerm(): Promise<Result<TermConfirmation, InstanceError>> {
    const row = await this.queryRow(
      'SELECT * FROM group_confirm_term()',
      this.options.confirmTimeoutMs,
    );
    return row.ok ? readRow(parseConfirmationRow(row.value)) : row;
  }

  close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    // An unresponsive instance does not react to Terminate, so the socket is
    // destroyed at once.
    getRawConnection(this.client).stream.destroy();
  }

  private attach(): void {
    this.client.on('error', error => this.handleClose(error.message));
    this.client.on('end', () => this.handleClose('connection ended'));
    this.client.on('notification', message => {
      this.handleNotification(message.payload ?? '');
    });
    getRawConnection(this.client).on('parameterStatus', message => {
      this.handleParameter(message as ParameterStatusMessage);
    });
  }

  private handleClose(reason: string): void {
    if (this.isClosed) {
      return;
    }
    this.close();
    this.listener({kind: 'closed', reason});
  }

  private handleNotification(payload: string): void {
    const position = parsePosition(payload);
    if (position !== null && !this.isClosed) {
      this.listener({kind: 'majorityAdvanced', position});
    }
  }

  private handleParameter(message: ParameterStatusMessage): void {
    if (this.isClosed) {
      return;
    }
    if (message.parameterName === 'group_position') {
      const position = parsePosition(message.parameterValue);
      if (position !== null) {
        this.listener({kind: 'positionReported', position});
      }
      return;
    }
    if (message.parameterName === 'group_role') {
      const role = message.parameterValue === 'primary' ? 'primary' : 'replica';
      this.listener({kind: 'roleReported', role});
    }
  }

  private async runCommand(
    text: string,
  ): Promise<Result<InstanceStatus, InstanceError>> {
    const row = await this.queryRow(text, this.options.callTimeoutMs);
    if (!row.ok) {
      return row;
    }
    const status = readRow(parseStatusRow(row.value));
    if (!status.ok) {
      return status;
    }
    if (parseAccepted(row.value) !== true) {
      return failure({kind: 'rejected', status: status.value});
    }
    return status;
  }

  private async queryRow(
    text: string,
    timeoutMs: number,
  ): Promise<Result<unknown, InstanceError>> {
    const response = await this.runWithin(this.client.query(text), timeoutMs);
    return response.ok ? success(response.value.rows[0]) : response;
  }

  /** Waits for the result up to `timeoutMs`; a later result is ignored. */
  private runWithin<T>(
    work: Promise<T>,
    timeoutMs: number,
  ): Promise<Result<T, InstanceError>> {
    return new Promise(resolve => {
      const timer = this.clock.startTimer(timeoutMs, () =>
        resolve(failure({kind: 'timedOut'})),
      );
      work.then(
        value => {
          timer.cancel();
          resolve(success(value));
        },
        (error: unknown) => {
          timer.cancel();
          resolve(failure(describeFailure(error)));
        },
      );
    });
  }
}

interface ParameterStatusMessage {
  readonly parameterName: string;
  readonly parameterValue: string;
}

/** Members of pg's connection that its type declarations omit. */
interface RawConnection extends EventEmitter {
  readonly stream: Socket;
}

function getRawConnection(client: pg.Client): RawConnection {
  return (client as unknown as {readonly connection: RawConnection}).connection;
}

/** Socket that connects from a given source address. */
class SourceAddressSocket extends Socket {
  private constructor(private readonly localAddress_: string) {
    super();
  }

  static create(localAddress: string): SourceAddressSocket {
    return new SourceAddressSocket(localAddress);
  }

  override connect(...parameters: unknown[]): this {
    const [port, host] = parameters;
    if (typeof port !== 'number' || typeof host !== 'string') {
      return super.connect(parameters[0] as TcpNetConnectOpts);
    }
    return super.connect({port, host, localAddress: this.localAddress_});
  }
}

function createClient(
  server: BackendServer,
  options: PgConnectorOptions,
): pg.Client {
  const localAddress = options.localAddress;
  return new pg.Client({
    host: server.host,
    port: server.port,
    user: options.user,
    password: options.password,
    database: options.databaseGroup,
    application_name: 'filbertrun-control',
    stream: () =>
      localAddress === null
        ? new Socket()
        : SourceAddressSocket.create(localAddress),
  });
}

function readRow<T>(row: T | null): Result<T, InstanceError> {
  return row === null
    ? failure({kind: 'unreachable', reason: 'malformed answer'})
    : success(row);
}

function describeFailure(error: unknown): InstanceError {
  const code = (error as {readonly code?: unknown} | null)?.code;
  const reason = error instanceof Error ? error.message : String(error);
  if (code === 'ETIMEDOUT') {
    return {kind: 'timedOut'};
  }
  if (error instanceof pg.DatabaseError && SQL_STATE_PATTERN.test(`${code}`)) {
    return {kind: 'failed', sqlState: `${code}`, reason};
  }
  return {kind: 'unreachable', reason};
}

function quoteLiteral(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}
