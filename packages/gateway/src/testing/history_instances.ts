import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {ConnectionIdentity} from '@filbertrun/pool/pool_types.js';
import type {
  BackendCommand,
  BackendConnection,
  BackendConnectionError,
} from '../backend/backend_connection.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {PreparedStatement} from '../statement/caller_statement.js';
import type {
  BackendAnswer,
  TransactionState,
} from '../statement/statement_answer.js';
import {createCompleteAnswer, createRejectedAnswer} from './create_answer.js';

/**
 * Instances of a random history. Unlike {@link FakeBackend}, a connection has
 * two ends: a statement that was sent may be run after the proxy has closed its
 * end, as on a network.
 */

/** How an instance handles a caller statement. @internal */
export type HistoryBehavior =
  | 'answer'
  /** The statement is run late. */
  | 'slow'
  | 'overloaded'
  /** The statement is run and the connection is lost. */
  | 'runAndLose'
  /** The connection is lost before the statement is run. */
  | 'loseBeforeRun'
  /** The statement is run and its answer never arrives. */
  | 'runSilently';

/** A caller statement that an instance has run. @internal */
export interface HistoryRun {
  readonly serial: number;
  readonly connectionId: number;
  /** Number of the transaction on the connection; null outside of one. */
  readonly transaction: number | null;
  readonly proxy: string;
  readonly backendServer: string;
  readonly identity: ConnectionIdentity;
  readonly requestId: string;
  readonly kind: string;
  readonly values: ReadonlyMap<string, string>;
  readonly prepared: PreparedStatement | null;
  /** End of the instance's log before the run. */
  readonly position: number;
  /** Whether the proxy held a lease when it sent the statement. */
  readonly hadLease: boolean;
}

/** The proxy to which a connection belongs. @internal */
export interface ConnectionOwner {
  readonly entryVm: string;
  hasLease(): boolean;
}

/** One-way latency between a proxy and an instance. */
const DELAY_MS = 1;

const MAX_REPLICATION_LAG_MS = 150;

/** Service time of a statement. */
const SERVICE_MS = 2;

/** Longest service time of a slow statement, above the statement timeout. */
const MAX_SLOW_MS = 1_100;

/** The instances of one history, with all that they have run. @internal */
export class HistoryInstances {
  readonly runs: HistoryRun[] = [];
  /** Request ids of the writes that were committed, in order. */
  readonly commits: string[] = [];
  readonly connections: HistoryConnection[] = [];
  /** Returns how the next caller statement is handled. */
  chooseBehavior: () => HistoryBehavior = () => 'answer';
  private readonly positions = new Map<string, number>();

  private constructor(
    readonly clock: Clock,
    readonly random: RandomSource,
  ) {}

  static create(clock: Clock, random: RandomSource): HistoryInstances {
    return new HistoryInstances(clock, random);
  }

  connect(
    owner: ConnectionOwner,
    backendServer: BackendServerEntry,
    identity: ConnectionIdentity,
  ): HistoryConnection {
    const connection = new HistoryConnection(this, {
      id: this.connections.length,
      owner,
      backendServer,
      identity,
    });
    this.connections.push(connection);
    return connection;
  }

  /** Number of connections of a proxy to an instance that are open there. */
  countConnections(proxy: ConnectionOwner, backendServer: string): number {
    let count = 0;
    for (const connection of this.connections) {
      const {owner, isOpen} = connection;
      const isCounted =
        isOpen &&
        owner === proxy &&
        connection.backendServer.backendServer === backendServer;
      count += isCounted ? 1 : 0;
    }
    return count;
  }

  getPosition(backendServer: string): LogPosition {
    return {term: 1, position: this.positions.get(backendServer) ?? 0};
  }

  /** Commits writes on the primary; replicas receive them later. */
  commit(requestIds: readonly string[]): void {
    if (requestIds.length === 0) {
      return;
    }
    this.commits.push(...requestIds);
    const {clock, random} = this;
    const position = this.getPosition('p').position + 1;
    this.positions.set('p', position);
    for (const replica of ['r1', 'r2']) {
      clock.startTimer(random.nextInteger(0, MAX_REPLICATION_LAG_MS), () => {
        const reached = this.getPosition(replica).position;
        this.positions.set(replica, Math.max(reached, position));
      });
    }
  }
}

type CommandResult = Result<BackendAnswer, BackendConnectionError>;

interface PendingCommand {
  readonly timer: Timer;
  readonly settle: (result: CommandResult) => void;
}

interface HistoryConnectionOptions {
  readonly id: number;
  readonly owner: ConnectionOwner;
  readonly backendServer: BackendServerEntry;
  readonly identity: ConnectionIdentity;
}

/** A connection of a proxy to an instance. @internal */
export class HistoryConnection implements BackendConnection {
  isOpen = true;
  readonly connectTimeMs = null;
  /** State at the instance. */
  transactionState: TransactionState = 'idle';
  private isOpenAtInstance = true;
  private readonly pending = new Set<PendingCommand>();
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, PreparedStatement>();
  private uncommitted: string[] = [];
  private transactionCount = 0;
  /** Time until which the instance is busy with earlier commands. */
  private busyUntilMs = 0;

  constructor(
    private readonly instances: HistoryInstances,
    private readonly options: HistoryConnectionOptions,
  ) {}

  get id(): number {
    return this.options.id;
  }

  get owner(): ConnectionOwner {
    return this.options.owner;
  }

  get identity(): ConnectionIdentity {
    return this.options.identity;
  }

  get backendServer(): BackendServerEntry {
    return this.options.backendServer;
  }

  get pendingCount(): number {
    return this.pending.size;
  }

  /** Whether the instance keeps a transaction open on this connection. */
  get hasOpenTransaction(): boolean {
    return this.isOpenAtInstance && this.transactionState !== 'idle';
  }

  getUnresponsiveSinceMs(): number | null {
    return null;
  }

  /** Closes the proxy's end; the instance learns of it after what was sent. */
  close(): void {
    if (!this.isOpen) {
      return;
    }
    this.isOpen = false;
    const {clock} = this.instances;
    const delayMs = Math.max(DELAY_MS, this.busyUntilMs - clock.nowMs());
    clock.startTimer(delayMs, () => this.endAtInstance());
    for (const command of [...this.pending]) {
      this.settle(command, {kind: 'connectionLost', reason: 'closed'});
    }
  }

  execute(command: BackendCommand, timeoutMs: number): Promise<CommandResult> {
    if (!this.isOpen) {
      return Promise.resolve(failure({kind: 'notSent', reason: 'closed'}));
    }
    if (timeoutMs <= 0) {
      return Promise.resolve(failure({kind: 'notSent', reason: 'no time'}));
    }
    const {clock, random} = this.instances;
    const behavior =
      command.kind === 'callerStatement'
        ? this.instances.chooseBehavior()
        : 'answer';
    const workMs =
      behavior === 'slow' ? MAX_SLOW_MS * random.nextFloat() ** 2 : SERVICE_MS;
    const startMs = Math.max(this.busyUntilMs, clock.nowMs() + DELAY_MS);
    this.busyUntilMs = startMs + workMs;
    const hadLease = this.owner.hasLease();
    return new Promise(settle => {
      const timer = clock.startTimer(timeoutMs, () =>
        this.settle(pending, {kind: 'timedOut'}),
      );
      const pending: PendingCommand = {timer, settle};
      this.pending.add(pending);
      clock.startTimer(this.busyUntilMs - clock.nowMs(), () =>
        this.runAtInstance(command, behavior, hadLease, pending),
      );
    });
  }

  private settle(
    command: PendingCommand,
    error: BackendConnectionError | BackendAnswer,
  ): void {
    if (this.pending.delete(command)) {
      command.timer.cancel();
      command.settle('kind' in error ? failure(error) : success(error));
    }
  }

  /** The instance ends the connection and rolls back. */
  private endAtInstance(): void {
    this.isOpenAtInstance = false;
    this.uncommitted = [];
    this.transactionState = 'idle';
  }

  private lose(): void {
    this.endAtInstance();
    this.instances.clock.startTimer(DELAY_MS, () => this.close());
  }

  private runAtInstance(
    command: BackendCommand,
    behavior: HistoryBehavior,
    hadLease: boolean,
    pending: PendingCommand,
  ): void {
    if (!this.isOpenAtInstance) {
      return;
    }
    if (behavior === 'loseBeforeRun') {
      this.lose();
      return;
    }
    const isRejected =
      behavior === 'overloaded' && this.transactionState === 'idle';
    const answer = isRejected
      ? createRejectedAnswer('overloaded', this.getState())
      : this.run(command, hadLease);
    if (behavior === 'runAndLose') {
      this.lose();
      return;
    }
    if (behavior !== 'runSilently') {
      const {clock} = this.instances;
      clock.startTimer(DELAY_MS, () => this.settle(pending, answer));
    }
  }

  private run(command: BackendCommand, hadLease: boolean): BackendAnswer {
    switch (command.kind) {
      case 'reset':
        this.values.clear();
        this.prepared.clear();
        break;
      case 'setValue':
        this.values.set(command.name, command.value);
        break;
      case 'prepare':
        this.prepared.set(command.name, command.prepared);
        break;
      case 'rollback':
        this.endTransaction();
        break;
      case 'callerStatement':
        return this.runCallerStatement(command, hadLease);
    }
    return createCompleteAnswer('-', [], this.getState());
  }

  private runCallerStatement(
    {
      requestId,
      statement,
      requiredPosition,
    }: Extract<BackendCommand, {readonly kind: 'callerStatement'}>,
    hadLease: boolean,
  ): BackendAnswer {
    const {position} = this.getState().position;
    if (requiredPosition !== null && position < requiredPosition.position) {
      return createRejectedAnswer('positionNotReached', this.getState());
    }
    const prepared =
      statement.kind === 'execute'
        ? (this.prepared.get(statement.name) ?? null)
        : null;
    if (statement.kind === 'begin') {
      this.transactionState = 'open';
      this.transactionCount++;
    }
    const serial = this.instances.runs.length;
    this.instances.runs.push({
      serial,
      connectionId: this.id,
      transaction:
        this.transactionState === 'idle' ? null : this.transactionCount,
      proxy: this.owner.entryVm,
      backendServer: this.backendServer.backendServer,
      identity: this.identity,
      requestId,
      kind: statement.kind,
      values: new Map(this.values),
      prepared,
      position,
      hadLease,
    });
    if (statement.kind === 'write' || prepared?.access === 'write') {
      this.uncommitted.push(requestId);
    }
    if (statement.kind === 'rollback') {
      this.endTransaction();
    }
    if (statement.kind === 'commit' || this.transactionState === 'idle') {
      this.instances.commit(this.uncommitted);
      this.endTransaction();
    }
    return createCompleteAnswer(
      createSignature(requestId, serial),
      [],
      this.getState(),
    );
  }

  private endTransaction(): void {
    this.uncommitted = [];
    this.transactionState = 'idle';
  }

  private getState() {
    const {transactionState, instances, backendServer} = this;
    const position = instances.getPosition(backendServer.backendServer);
    return {transactionState, position};
  }
}

/** Signature of a run, which names it. @internal */
export function createSignature(requestId: string, serial: number): string {
  return `sig-${requestId}-${serial}`;
}
