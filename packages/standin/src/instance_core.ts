import type {Clock, Timer} from '@filbertrun/base/clock.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import {ConfirmationCalls} from './confirmation_calls.js';
import {Database, type Commit} from './database.js';
import {
  DatabaseConnection,
  type ConnectionListener,
} from './database_connection.js';
import {createBriefRow, createStatusRow} from './group_functions.js';
import {ReplicationCore} from './replication_core.js';
import type {ReplicationMessage} from './replication_message.js';
import {SlotSemaphore} from './slot_semaphore.js';
import {SQL_STATE, SqlError} from './sql_error.js';
import type {Row, SqlValue} from './sql_value.js';
import {StatementCache} from './statement_cache.js';
import {LockTable, type Transaction} from './transaction.js';

/** Limits of an instance. @public */
export interface InstanceLimits {
  /** Maximum number of concurrent statements; others wait. */
  readonly slots: number;
  readonly maxConnections: number;
  /** Simulated time to establish a connection. */
  readonly connectTimeMs: number;
  /** Simulated time for which each statement occupies its slot. */
  readonly serviceTimeMs: number;
  /** Longest wait for a row locked by another transaction. */
  readonly lockTimeoutMs: number;
}

/** Options of an instance. @public */
export interface InstanceOptions {
  readonly backendServer: BackendServerId;
  readonly peers: readonly BackendServerId[];
  readonly clock: Clock;
  readonly limits: InstanceLimits;
  readonly getReplicationLagMs?: (replica: BackendServerId) => number;
  /** Sends a message to another instance of the group. */
  readonly sendReplicationMessage: (
    to: BackendServerId,
    message: ReplicationMessage<Commit>,
  ) => void;
  /** Schedules a callback after the current turn of the event loop. */
  readonly defer: (callback: () => void) => void;
}

/** Claim of the first term of a group. */
const INITIAL_CLAIM_ID = 'initial';

/** First term of a group. */
const INITIAL_TERM = 1;

const NOOP_LISTENER: ConnectionListener = {
  handleRoleChanged: () => {},
  handleMajority: () => {},
  handleCancelled: () => {},
  handleTerminated: () => {},
};

/**
 * One instance of a database group without sockets: storage, locks,
 * replication and connections. All times come from the clock of its options.
 *
 * @public
 */
export class InstanceCore {
  readonly database = Database.create();
  readonly locks = LockTable.create();
  readonly statements = StatementCache.create(this.database);
  readonly slots: SlotSemaphore;
  readonly replication: ReplicationCore<Commit>;
  private readonly connections = new Map<number, DatabaseConnection>();
  private readonly confirmations: ConfirmationCalls;
  private limits: InstanceLimits;
  private nextProcessId = 1;
  private executedStatements = 0;
  private tickTimer: Timer | null = null;
  private isTickDeferred = false;
  private isPaused = false;
  private isRunning = true;
  private wasPrimary = false;

  private constructor(private readonly options: InstanceOptions) {
    this.limits = options.limits;
    this.slots = SlotSemaphore.create(options.limits.slots);
    this.replication = ReplicationCore.create(options);
    this.confirmations = ConfirmationCalls.create(
      this.replication,
      options.clock,
    );
  }

  static create(options: InstanceOptions): InstanceCore {
    return new InstanceCore(options);
  }

  /**
   * Starts this instance as a member of a new group: all instances accept the
   * first term, and one of them is promoted.
   */
  bootstrap(isPrimary: boolean): void {
    this.replication.raiseTerm(INITIAL_TERM, INITIAL_CLAIM_ID);
    if (isPrimary) {
      this.replication.promote(INITIAL_TERM, INITIAL_CLAIM_ID);
    }
    this.runEffects();
    this.scheduleTick();
  }

  getLimits(): InstanceLimits {
    return this.limits;
  }

  setLimits(limits: InstanceLimits): void {
    this.limits = limits;
    this.slots.setSlots(limits.slots);
  }

  getConnectionCount(): number {
    return this.connections.size;
  }

  getPosition(): LogPosition {
    return this.replication.getEnd();
  }

  /** Opens a connection, or fails if the limit is reached. */
  openConnection(
    listener: ConnectionListener,
    secretKey: number,
    startupParameters: ReadonlyMap<string, string>,
  ): Result<DatabaseConnection, SqlError> {
    if (this.connections.size >= this.limits.maxConnections) {
      return failure(
        SqlError.createFatal(
          SQL_STATE.tooManyConnections,
          'sorry, too many clients already',
        ),
      );
    }
    const connection = DatabaseConnection.create(
      this,
      listener,
      this.nextProcessId++,
      secretKey,
      startupParameters,
    );
    this.connections.set(connection.processId, connection);
    return success(connection);
  }

  removeConnection(connection: DatabaseConnection): void {
    this.connections.delete(connection.processId);
  }

  /**
   * Cancels the running statement of a connection if the secret key is that of
   * the connection.
   */
  cancelStatement(processId: number, secretKey: number): void {
    const connection = this.connections.get(processId);
    if (connection?.secretKey === secretKey) {
      connection.cancel();
    }
  }

  /** Runs a statement without a connection and commits it. */
  runStatement(sql: string): void {
    const connection = DatabaseConnection.create(
      this,
      NOOP_LISTENER,
      0,
      0,
      new Map(),
    );
    const result = connection.execute(this.statements.getPlan(sql), []);
    if (result instanceof Promise) {
      throw new Error('The statement cannot run without waiting');
    }
    connection.commitImplicit();
  }

  /** Number of statements that acquired a slot since the start. */
  getExecutedStatements(): number {
    return this.executedStatements;
  }

  countStatement(): void {
    this.executedStatements++;
  }

  requirePrimary(): void {
    if (this.replication.getRole() !== 'primary') {
      throw SqlError.create(
        SQL_STATE.readOnlyTransaction,
        'cannot write on a replica',
      );
    }
  }

  /**
   * Commits a transaction and returns the position of its record; null if it
   * changed nothing.
   */
  commit(transaction: Transaction): LogPosition | null {
    const commit = transaction.createCommit(this.database);
    const position = commit.length === 0 ? null : this.appendCommit(commit);
    this.endTransaction(transaction);
    return position;
  }

  rollback(transaction: Transaction): void {
    this.endTransaction(transaction);
  }

  /** Applies a commit on the primary and appends it to the log. */
  appendCommit(commit: Commit): LogPosition {
    this.database.apply(commit);
    const position = this.replication.appendChange(commit);
    this.scheduleTick();
    return position;
  }

  /** Executes a function of the replication interface. */
  callGroupFunction(
    name: string,
    values: readonly SqlValue[],
  ): Row | Promise<Row> {
    const term = Number(values[0]);
    const claimId = String(values[1]);
    switch (name) {
      case 'group_status':
        return createStatusRow(this.replication.getStatus());
      case 'group_brief':
        return createBriefRow(this.replication.getStatus());
      case 'group_raise_term':
        return this.changeTerm(this.replication.raiseTerm(term, claimId));
      case 'group_promote':
        return this.changeTerm(this.replication.promote(term, claimId));
      case 'group_follow':
        return this.changeTerm(
          this.replication.follow(term, claimId, String(values[2])),
        );
      case 'group_confirm_term':
        return this.confirmTerm();
      default:
        throw SqlError.create(
          SQL_STATE.undefinedObject,
          `function ${name} does not exist`,
        );
    }
  }

  handleReplicationMessage(message: ReplicationMessage<Commit>): void {
    if (!this.isRunning) {
      return;
    }
    this.replication.handleMessage(message);
    this.runEffects();
    this.startTickTimer();
  }

  /** Pauses or resumes sending to the other instances. */
  setPaused(isPaused: boolean): void {
    this.isPaused = isPaused;
    this.scheduleTick();
  }

  /** Starts a timer; returns a function that cancels it. */
  startTimer(delayMs: number, callback: () => void): () => void {
    const timer = this.options.clock.startTimer(delayMs, callback);
    return () => timer.cancel();
  }

  /** Simulates a crash: connections and open transactions are lost. */
  crash(): void {
    this.isRunning = false;
    this.tickTimer?.cancel();
    this.tickTimer = null;
    const error = SqlError.createFatal(
      SQL_STATE.crashShutdown,
      'the instance crashed',
    );
    for (const connection of [...this.connections.values()]) {
      connection.listener.handleTerminated(error);
      connection.close();
    }
    this.confirmations.rejectAll(error);
  }

  /** Restarts after a crash with the previous log, term and role. */
  restart(): void {
    this.isRunning = true;
    this.replication.restart();
    this.scheduleTick();
  }

  dispose(): void {
    this.crash();
  }

  private endTransaction(transaction: Transaction): void {
    this.locks.release(transaction);
    transaction.notifyEnd();
  }

  private changeTerm(isAccepted: boolean): Row {
    this.runEffects();
    this.scheduleTick();
    return [isAccepted, ...createStatusRow(this.replication.getStatus())];
  }

  private confirmTerm(): Promise<Row> {
    this.requirePrimary();
    const confirmed = this.confirmations.start();
    this.runEffects();
    this.scheduleTick();
    return confirmed;
  }

  private scheduleTick(): void {
    if (this.isTickDeferred) {
      return;
    }
    this.isTickDeferred = true;
    this.options.defer(() => {
      this.isTickDeferred = false;
      this.runTick();
    });
  }

  private runTick(): void {
    if (!this.isRunning || this.isPaused) {
      return;
    }
    this.replication.handleTick();
    this.runEffects();
    this.startTickTimer();
  }

  private startTickTimer(): void {
    this.tickTimer?.cancel();
    this.tickTimer = null;
    const delayMs = this.replication.getDelayToNextTickMs();
    if (delayMs === null) {
      return;
    }
    this.tickTimer = this.options.clock.startTimer(delayMs, () => {
      this.tickTimer = null;
      this.runTick();
    });
  }

  private runEffects(): void {
    for (const effect of this.replication.takeEffects()) {
      switch (effect.kind) {
        case 'send':
          this.options.sendReplicationMessage(effect.to, effect.message);
          break;
        case 'applyRecord':
          if (effect.record.body.kind === 'change') {
            this.database.apply(effect.record.body.change);
          }
          break;
        case 'undoRecord':
          if (effect.record.body.kind === 'change') {
            this.database.undo(effect.record.body.change);
          }
          break;
        case 'roleChanged':
          this.handleRoleChanged();
          break;
        case 'majorityAdvanced':
          this.notifyMajority(effect.majority);
          break;
        case 'termConfirmed':
          this.confirmations.complete(effect.ticket);
          break;
      }
    }
  }

  private handleRoleChanged(): void {
    const isPrimary = this.replication.getRole() === 'primary';
    if (isPrimary === this.wasPrimary) {
      return;
    }
    this.wasPrimary = isPrimary;
    if (!isPrimary) {
      this.confirmations.rejectAll(
        SqlError.create(
          SQL_STATE.readOnlyTransaction,
          'the primary was replaced',
        ),
      );
    }
    for (const connection of [...this.connections.values()]) {
      connection.listener.handleRoleChanged();
      if (!isPrimary) {
        connection.handleDemoted();
      }
    }
  }

  private notifyMajority(majority: LogPosition): void {
    for (const connection of this.connections.values()) {
      connection.listener.handleMajority(majority);
    }
  }
}
