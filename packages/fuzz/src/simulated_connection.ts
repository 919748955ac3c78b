import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {
  PlannedStatement,
  StatementResponse,
} from '@filbertrun/completion/completion_plan.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {
  InstanceConnection,
  InstanceConnector,
  InstanceEvent,
} from '@filbertrun/group/instance_connector.js';
import type {
  InstanceError,
  InstanceStatus,
  TermConfirmation,
} from '@filbertrun/group/instance_control.js';
import type {PartyClock} from './party_clock.js';
import type {InstanceCall, SimulatedInstance} from './simulated_instance.js';
import type {NetworkStream, SimulatedNetwork} from './simulated_network.js';

/** Dependencies that all connections of one proxy share. @public */
export interface ConnectionHost {
  readonly party: string;
  readonly clock: PartyClock;
  readonly network: SimulatedNetwork;
  readonly getInstance: (backendServer: string) => SimulatedInstance;
  readonly mustConfirmWithMajority: boolean;
  /** Whether to drop the response to this promotion; true only once. */
  readonly consumePromoteResponseDrop: (backendServer: string) => boolean;
  /** Adds a line to the transcript of the history. */
  readonly log: (line: string) => void;
}

/** Bookings that a read returned, and the position it covers. @public */
export interface ReadResponse {
  readonly bookings: ReadonlySet<string>;
  readonly position: LogPosition;
}

const CALL_TIMEOUT_MS = 300;
const CONFIRM_TIMEOUT_MS = 1200;
const STATEMENT_TIMEOUT_MS = 1500;

/** Opens control connections over the simulated network. @public */
export class SimulatedConnector implements InstanceConnector {
  private constructor(private readonly host: ConnectionHost) {}

  static create(host: ConnectionHost): SimulatedConnector {
    return new SimulatedConnector(host);
  }

  async connect(
    server: BackendServer,
    listener: (event: InstanceEvent) => void,
  ): Promise<Result<InstanceConnection, InstanceError>> {
    const connection = SimulatedConnection.create(
      this.host,
      server.backendServer,
      listener,
    );
    const opened = await connection.open();
    if (!opened.ok) {
      connection.close();
      return opened;
    }
    return success(connection);
  }
}

/** A connection of a proxy to an instance, for control or for statements. @public */
export class SimulatedConnection implements InstanceConnection {
  private readonly instance: SimulatedInstance;
  private readonly toInstance: NetworkStream;
  private readonly toProxy: NetworkStream;
  private readonly pending = new Set<() => void>();
  private isClosed = false;
  private readonly client = {
    handleEvent: (event: InstanceEvent): void => this.sendEvent(event),
  };

  private constructor(
    private readonly host: ConnectionHost,
    private readonly backendServer: string,
    private readonly listener: (event: InstanceEvent) => void,
  ) {
    this.instance = host.getInstance(backendServer);
    this.toInstance = host.network.createStream(host.party, backendServer);
    this.toProxy = host.network.createStream(backendServer, host.party);
  }

  static create(
    host: ConnectionHost,
    backendServer: string,
    listener: (event: InstanceEvent) => void,
  ): SimulatedConnection {
    return new SimulatedConnection(host, backendServer, listener);
  }

  open(): Promise<Result<void, InstanceError>> {
    return this.request<void>(CALL_TIMEOUT_MS, respond => {
      this.instance.addClient(this.client);
      respond(success(undefined));
    });
  }

  getStatus(): Promise<Result<InstanceStatus, InstanceError>> {
    return this.call({kind: 'status'});
  }

  raiseTerm(
    term: number,
    claimId: string,
  ): Promise<Result<InstanceStatus, InstanceError>> {
    return this.call({kind: 'raise', term, claimId});
  }

  promote(
    term: number,
    claimId: string,
  ): Promise<Result<InstanceStatus, InstanceError>> {
    return this.call({kind: 'promote', term, claimId});
  }

  follow(
    term: number,
    claimId: string,
    primary: string,
  ): Promise<Result<InstanceStatus, InstanceError>> {
    return this.call({kind: 'follow', term, claimId, primary});
  }

  confirmTerm(): Promise<Result<TermConfirmation, InstanceError>> {
    return this.request(CONFIRM_TIMEOUT_MS, respond => {
      this.instance.confirmTerm(
        this.host.mustConfirmWithMajority,
        confirmation =>
          respond(
            confirmation === null
              ? failure({kind: 'failed', sqlState: '57014', reason: ''})
              : success(confirmation),
          ),
      );
    });
  }

  /** Sends a batch of statements that runs in the connection's transaction. */
  async execute(
    statements: readonly PlannedStatement[],
    bookingId: string,
  ): Promise<readonly StatementResponse[]> {
    const result = await this.request<readonly StatementResponse[]>(
      STATEMENT_TIMEOUT_MS,
      respond => {
        const responses = statements.map(statement =>
          this.transaction.execute(statement, bookingId),
        );
        respond(success(responses));
      },
    );
    return result.ok ? result.value : statements.map(() => ({kind: 'lost'}));
  }

  read(): Promise<Result<ReadResponse, InstanceError>> {
    return this.request(STATEMENT_TIMEOUT_MS, respond =>
      respond(
        success({
          bookings: this.instance.getStore().getSnapshot(),
          position: this.instance.getEnd(),
        }),
      ),
    );
  }

  /** Closes the proxy's side; messages already sent to the instance arrive. */
  close(): void {
    this.isClosed = true;
    this.toProxy.close();
    this.toInstance.send(() => {
      this.instance.removeClient(this.client);
      if (this.openTransaction !== null) {
        this.instance.closeTransaction(this.openTransaction);
      }
    });
  }

  private openTransaction: ReturnType<
    SimulatedInstance['openTransaction']
  > | null = null;

  private get transaction() {
    this.openTransaction ??= this.instance.openTransaction();
    return this.openTransaction;
  }

  private async call(
    call: InstanceCall,
  ): Promise<Result<InstanceStatus, InstanceError>> {
    const result = await this.request<InstanceStatus>(
      CALL_TIMEOUT_MS,
      respond => {
        const {accepted, status} = this.instance.call(call);
        this.logCall(call, accepted);
        const isLost =
          call.kind === 'promote' &&
          accepted &&
          this.host.consumePromoteResponseDrop(this.backendServer);
        if (isLost) {
          return;
        }
        respond(
          accepted ? success(status) : failure({kind: 'rejected', status}),
        );
      },
    );
    return result;
  }

  private logCall(call: InstanceCall, accepted: boolean): void {
    if (call.kind === 'status') {
      return;
    }
    const target = call.kind === 'follow' ? ` ${call.primary}` : '';
    this.host.log(
      `${this.host.party} -> ${this.backendServer}: ` +
        `${call.kind}${target} in term ${call.term}: ` +
        (accepted ? 'accepted' : 'rejected'),
    );
  }

  /**
   * Sends a request and waits for its response, a timeout or the end of the
   * connection.
   */
  private request<T>(
    timeoutMs: number,
    handle: (respond: (result: Result<T, InstanceError>) => void) => void,
  ): Promise<Result<T, InstanceError>> {
    return new Promise(resolve => {
      const finish = (result: Result<T, InstanceError>): void => {
        timer.cancel();
        this.pending.delete(abort);
        resolve(result);
      };
      const abort = (): void =>
        finish(failure({kind: 'unreachable', reason: 'connection closed'}));
      const timer = this.host.clock.startTimer(timeoutMs, () =>
        finish(failure({kind: 'timedOut'})),
      );
      this.pending.add(abort);
      if (this.isClosed) {
        abort();
        return;
      }
      this.toInstance.send(() => {
        if (!this.instance.isAlive()) {
          this.toProxy.send(abort);
          return;
        }
        handle(result => this.toProxy.send(() => finish(result)));
      });
    });
  }

  private sendEvent(event: InstanceEvent): void {
    this.toProxy.send(() => {
      if (this.isClosed) {
        return;
      }
      if (event.kind === 'closed') {
        this.isClosed = true;
        for (const abort of [...this.pending]) {
          abort();
        }
      }
      this.listener(event);
    });
  }
}
