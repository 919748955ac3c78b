import type {Clock} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {
  ConnectError,
  ConnectionIdentity,
} from '@filbertrun/pool/pool_types.js';
import type {
  BackendCommand,
  BackendConnection,
  BackendConnector,
  BackendConnectionError,
  ReachabilityResult,
} from '../backend/backend_connection.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {PreparedStatement} from '../statement/caller_statement.js';
import type {
  BackendAnswer,
  BackendRejection,
  TransactionState,
} from '../statement/statement_answer.js';
import {
  createCompleteAnswer,
  createRejectedAnswer,
  type AnswerState,
} from './create_answer.js';

/** How a fake server handles the next caller statement. @internal */
export type StatementBehavior =
  | {readonly kind: 'answer'}
  | {
      readonly kind: 'reject';
      readonly rejection: BackendRejection;
      /** Whether the open transaction accepts only its end from then on. */
      readonly failsTransaction?: boolean;
    }
  /** The server runs the statement and closes the connection. */
  | {readonly kind: 'runAndLose'}
  /** The server closes the connection before it runs the statement. */
  | {readonly kind: 'loseBeforeRun'}
  /** The server sends no response and keeps the connection open. */
  | {readonly kind: 'silence'};

/** A statement that a fake server has run. @internal */
export interface ExecutedStatement {
  readonly backendServer: string;
  /** Identity of the connection on which it was run. */
  readonly identity: ConnectionIdentity;
  readonly requestId: string;
  readonly text: string;
  readonly values: ReadonlyMap<string, string>;
  readonly preparedStatement: PreparedStatement | null;
  readonly isInTransaction: boolean;
  readonly requiredPosition: LogPosition | null;
}

/** Response time of a fake server. */
const ANSWER_MS = 2;

/** In-memory backend servers. @internal */
export class FakeBackend implements BackendConnector {
  readonly runs: ExecutedStatement[] = [];
  readonly behaviors = new Map<string, StatementBehavior[]>();
  readonly positions = new Map<string, LogPosition>();
  readonly unreachable = new Set<string>();
  /** Servers whose connection limit is reached. */
  readonly atConnectionLimit = new Set<string>();
  readonly openConnections = new Set<FakeConnection>();
  /** Duration of the TCP connect to a server; not measured if absent. */
  readonly connectTimesMs = new Map<string, number>();
  /** Response times of servers that differ from the usual one. */
  readonly answerTimesMs = new Map<string, number>();
  committedWrites: string[] = [];

  private constructor(readonly clock: Clock) {}

  static create(clock: Clock): FakeBackend {
    return new FakeBackend(clock);
  }

  /** Sets how a server handles its next caller statements. */
  plan(backendServer: string, ...behaviors: StatementBehavior[]): void {
    this.behaviors.set(backendServer, behaviors);
  }

  getPosition(backendServer: string): LogPosition {
    return this.positions.get(backendServer) ?? {term: 1, position: 0};
  }

  async connect(
    backendServer: BackendServerEntry,
    identity: ConnectionIdentity,
  ): Promise<Result<BackendConnection, ConnectError>> {
    await Promise.resolve();
    if (this.unreachable.has(backendServer.backendServer)) {
      return failure({kind: 'unreachable', reason: 'test'});
    }
    if (this.atConnectionLimit.has(backendServer.backendServer)) {
      return failure({kind: 'refused'});
    }
    const connection = new FakeConnection(backendServer, identity, this);
    this.openConnections.add(connection);
    return success(connection);
  }

  async checkReachable(
    backendServer: BackendServerEntry,
  ): Promise<ReachabilityResult> {
    await Promise.resolve();
    return this.unreachable.has(backendServer.backendServer)
      ? 'silent'
      : 'accepted';
  }
}

/** A connection to a fake server. @internal */
export class FakeConnection implements BackendConnection {
  isOpen = true;
  pendingCount = 0;
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, PreparedStatement>();
  private transactionState: TransactionState = 'idle';
  private uncommitted: string[] = [];

  constructor(
    readonly backendServer: BackendServerEntry,
    private readonly identity: ConnectionIdentity,
    private readonly backend: FakeBackend,
  ) {}

  get connectTimeMs(): number | null {
    const {backendServer} = this.backendServer;
    return this.backend.connectTimesMs.get(backendServer) ?? null;
  }

  getUnresponsiveSinceMs(): number | null {
    return null;
  }

  close(): void {
    this.isOpen = false;
    this.uncommitted = [];
    this.backend.openConnections.delete(this);
  }

  async execute(
    command: BackendCommand,
    timeoutMs: number,
  ): Promise<Result<BackendAnswer, BackendConnectionError>> {
    if (!this.isOpen) {
      return failure({kind: 'notSent', reason: 'closed'});
    }
    const {backendServer} = this.backendServer;
    const answerMs = this.backend.answerTimesMs.get(backendServer) ?? ANSWER_MS;
    await sleep(this.backend.clock, answerMs);
    switch (command.kind) {
      case 'reset':
        this.values.clear();
        this.prepared.clear();
        return this.complete('-');
      case 'setValue':
        this.values.set(command.name, command.value);
        return this.complete('-');
      case 'prepare':
        this.prepared.set(command.name, command.prepared);
        return this.complete('-');
      case 'rollback':
        this.endTransaction();
        return this.complete('-');
      case 'callerStatement':
        return this.runCallerStatement(command, timeoutMs);
    }
  }

  private async runCallerStatement(
    command: Extract<BackendCommand, {readonly kind: 'callerStatement'}>,
    timeoutMs: number,
  ): Promise<Result<BackendAnswer, BackendConnectionError>> {
    const {backendServer} = this.backendServer;
    const behavior = this.backend.behaviors.get(backendServer)?.shift() ?? {
      kind: 'answer',
    };
    switch (behavior.kind) {
      case 'reject':
        if (behavior.failsTransaction === true) {
          this.transactionState = 'failed';
        }
        return success(
          createRejectedAnswer(behavior.rejection, this.getAnswerState()),
        );
      case 'loseBeforeRun':
        this.close();
        return failure({kind: 'connectionLost', reason: 'test'});
      case 'silence':
        await sleep(this.backend.clock, timeoutMs);
        return failure({kind: 'timedOut'});
      case 'runAndLose':
        this.run(command);
        this.close();
        return failure({kind: 'connectionLost', reason: 'test'});
      case 'answer':
        this.run(command);
        return this.complete(`sig-${command.requestId}`);
    }
  }

  private run(
    command: Extract<BackendCommand, {readonly kind: 'callerStatement'}>,
  ): void {
    const {statement, requestId, requiredPosition} = command;
    const {backendServer} = this.backendServer;
    const preparedStatement =
      statement.kind === 'execute'
        ? (this.prepared.get(statement.name) ?? null)
        : null;
    const text = 'text' in statement ? statement.text : statement.kind;
    this.backend.runs.push({
      backendServer,
      identity: this.identity,
      requestId,
      text,
      values: new Map(this.values),
      preparedStatement,
      isInTransaction: this.transactionState !== 'idle',
      requiredPosition,
    });
    switch (statement.kind) {
      case 'begin':
        this.transactionState = 'open';
        return;
      case 'commit':
        this.commit();
        return;
      case 'rollback':
        this.endTransaction();
        return;
      case 'write':
        this.write(requestId);
        return;
      case 'execute':
        if (preparedStatement?.access === 'write') {
          this.write(requestId);
        }
        return;
      default:
        return;
    }
  }

  private write(requestId: string): void {
    this.uncommitted.push(requestId);
    if (this.transactionState === 'idle') {
      this.commit();
    }
  }

  private commit(): void {
    const {backendServer} = this.backendServer;
    if (this.uncommitted.length > 0) {
      const {term, position} = this.backend.getPosition(backendServer);
      this.backend.positions.set(backendServer, {term, position: position + 1});
      this.backend.committedWrites.push(...this.uncommitted);
    }
    this.endTransaction();
  }

  private endTransaction(): void {
    this.uncommitted = [];
    this.transactionState = 'idle';
  }

  private complete(
    signature: string,
  ): Result<BackendAnswer, BackendConnectionError> {
    const rows = [`row of ${signature}`];
    return success(
      createCompleteAnswer(signature, rows, this.getAnswerState()),
    );
  }

  private getAnswerState(): AnswerState {
    const {transactionState} = this;
    const {backendServer} = this.backendServer;
    return {
      transactionState,
      position: this.backend.getPosition(backendServer),
    };
  }
}
