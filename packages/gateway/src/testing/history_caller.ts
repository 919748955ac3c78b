import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {sleep} from '@filbertrun/base/sleep.js';
import {CallerSession} from '../session/caller_session.js';
import type {
  CallerStatement,
  PreparedStatement,
} from '../statement/caller_statement.js';
import type {StatementReply} from '../statement/statement_answer.js';
import type {HistoryAttempt, HistoryTransaction} from './history_oracle.js';
import type {HistoryProxy} from './history_proxy.js';

/** Options of a {@link HistoryCaller}. @internal */
export interface HistoryCallerOptions {
  readonly name: string;
  /** Null for a caller without a customer. */
  readonly customer: string | null;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Receives each statement that is sent. */
  readonly attempts: Map<string, HistoryAttempt>;
  chooseProxy(): HistoryProxy;
  createSessionId(): number;
  reportViolation(description: string): void;
}

const ROUTES = ['strict', 'session', 'age'];

/** Pauses of a caller between two statements. */
const MAX_PAUSE_MS = 60;

/** Pauses that exceed the idle timeout of a transaction. */
const MAX_LONG_PAUSE_MS = 700;

const LONG_PAUSE_SHARE = 0.05;

/** Connection of a caller to a proxy, with the session as the caller knows it. */
interface CallerState {
  readonly id: number;
  readonly session: CallerSession;
  readonly proxy: HistoryProxy;
  readonly route: string;
  readonly values: Map<string, string>;
  readonly prepared: Map<string, PreparedStatement>;
  /** Position of the last commit that was acknowledged. */
  floor: number;
  /** Resolves when the caller has left. */
  readonly left: Promise<null>;
  leave(): void;
  hasLeft: boolean;
}

/**
 * A caller that runs random statements, one after another, and begins a new
 * session when it has left the previous one.
 *
 * @internal
 */
export class HistoryCaller {
  private state: CallerState | null = null;
  private isStopping = false;
  private nextRequest = 0;
  private running: Promise<void> = Promise.resolve();

  private constructor(private readonly options: HistoryCallerOptions) {}

  static create(options: HistoryCallerOptions): HistoryCaller {
    return new HistoryCaller(options);
  }

  /** The proxy that serves the present session. */
  get proxy(): HistoryProxy | null {
    return this.state?.proxy ?? null;
  }

  start(): void {
    this.running = this.run().catch((error: unknown) => {
      this.options.reportViolation(`caller failed: ${String(error)}`);
    });
  }

  /** Leaves the present session, also in the middle of a statement. */
  leave(): void {
    this.state?.leave();
  }

  /** Ends after the present operation. */
  stop(): Promise<void> {
    this.isStopping = true;
    return this.running;
  }

  /** Runs one write in a session of its own. */
  async runWrite(): Promise<StatementReply | null> {
    const state = this.open();
    const requestId = this.peekRequestId();
    await this.send(state, {kind: 'write', text: 'WRITE a x'}, null);
    const {reply} = this.options.attempts.get(requestId) ?? {reply: null};
    state.leave();
    return reply;
  }

  private async run(): Promise<void> {
    while (!this.isStopping) {
      const state = this.open();
      this.state = state;
      while (!this.isStopping && !state.hasLeft) {
        await this.pause();
        await this.runOperation(state);
      }
      state.leave();
    }
  }

  private open(): CallerState {
    const {chooseProxy, customer, createSessionId} = this.options;
    const proxy = chooseProxy();
    const route = this.pick(ROUTES);
    const opened = CallerSession.open(proxy, {
      databaseName: route,
      apiKey: customer ?? '',
    });
    if (!opened.ok) {
      throw new Error(`The session was refused: ${opened.error.kind}.`);
    }
    const session = opened.value;
    let resolveLeft: (value: null) => void = () => {};
    const left = new Promise<null>(resolve => {
      resolveLeft = resolve;
    });
    const state: CallerState = {
      id: createSessionId(),
      session,
      proxy,
      route,
      values: new Map(),
      prepared: new Map(),
      floor: 0,
      left,
      hasLeft: false,
      leave: () => {
        if (!state.hasLeft) {
          state.hasLeft = true;
          session.close();
          resolveLeft(null);
        }
      },
    };
    return state;
  }

  private async runOperation(state: CallerState): Promise<void> {
    if (state.hasLeft) {
      return;
    }
    const choice = this.options.random.nextFloat();
    if (choice < 0.3) {
      await this.runTransaction(state);
    } else if (choice < 0.45) {
      await this.changeSession(state);
    } else {
      await this.runStatement(state, null);
    }
  }

  private async runTransaction(state: CallerState): Promise<void> {
    const {random} = this.options;
    const transaction: HistoryTransaction = {begin: this.peekRequestId()};
    const isReadOnly = random.nextFloat() < 0.2;
    await this.send(state, {kind: 'begin', isReadOnly}, transaction);
    const count = random.nextInteger(1, 4);
    for (let index = 0; index < count; index++) {
      if (state.hasLeft || state.session.transactionState !== 'open') {
        break;
      }
      await this.pause();
      if (random.nextFloat() < 0.1) {
        await this.changeSession(state);
      }
      await this.runStatement(state, transaction, isReadOnly);
    }
    await this.pause();
    // A caller that does not wait for the reply of `begin` has no transaction.
    if (state.hasLeft || state.session.transactionState === 'idle') {
      return;
    }
    const choice = random.nextFloat();
    if (choice < 0.1) {
      state.leave();
      return;
    }
    const kind = choice < 0.25 ? 'rollback' : 'commit';
    await this.send(state, {kind}, transaction);
  }

  private async runStatement(
    state: CallerState,
    transaction: HistoryTransaction | null,
    isReadOnly = false,
  ): Promise<void> {
    if (state.hasLeft) {
      return;
    }
    const names = [...state.prepared]
      .filter(([, {access}]) => !isReadOnly || access === 'read')
      .map(([name]) => name);
    const choice = this.options.random.nextFloat();
    if (names.length > 0 && choice < 0.3) {
      const name = this.pick(names);
      const statement = {kind: 'execute', name, argumentText: 'x'} as const;
      await this.send(state, statement, transaction);
    } else if (choice < 0.65 && !isReadOnly) {
      const statement = {kind: 'write', text: 'WRITE a x'} as const;
      await this.send(state, statement, transaction);
    } else {
      await this.send(state, {kind: 'read', text: 'READ a'}, transaction);
    }
  }

  /** Changes a session value or a prepared statement. */
  private async changeSession(state: CallerState): Promise<void> {
    const {random} = this.options;
    if (state.hasLeft || state.session.transactionState === 'failed') {
      return;
    }
    if (random.nextFloat() < 0.5) {
      const name = this.pick(['a', 'b']);
      const value = `${state.id}-${random.nextInteger(0, 3)}`;
      state.values.set(name, value);
      await this.handle(state, {kind: 'setValue', name, value}, 'local');
      return;
    }
    const name = this.pick(['s', 't']);
    const access = this.pick(['read', 'write'] as const);
    const definitionText = this.pick(['one', 'two']);
    const prepared: PreparedStatement = {access, definitionText};
    state.prepared.set(name, prepared);
    await this.handle(state, {kind: 'prepare', name, prepared}, 'local');
  }

  /** Sends a statement that needs an instance, and records it. */
  private async send(
    state: CallerState,
    statement: CallerStatement,
    transaction: HistoryTransaction | null,
  ): Promise<void> {
    const {attempts, customer} = this.options;
    const requestId = this.peekRequestId();
    this.nextRequest++;
    const prepared =
      statement.kind === 'execute'
        ? (state.prepared.get(statement.name) ?? null)
        : null;
    const attempt: HistoryAttempt = {
      requestId,
      sessionId: state.id,
      kind: statement.kind,
      isWrite: statement.kind === 'write' || prepared?.access === 'write',
      route: state.route,
      customer,
      values: new Map(state.values),
      prepared,
      floor: state.floor,
      transaction,
      reply: null,
    };
    attempts.set(requestId, attempt);
    attempt.reply = await this.handle(state, statement, requestId);
    const isCommit =
      statement.kind === 'commit'
        ? this.hasWritten(transaction)
        : attempt.isWrite && transaction === null;
    if (isCommit && attempt.reply?.result.kind === 'complete') {
      const {position} = attempt.reply;
      state.floor = Math.max(state.floor, position?.position ?? 0);
    }
  }

  private hasWritten(transaction: HistoryTransaction | null): boolean {
    for (const attempt of this.options.attempts.values()) {
      if (attempt.isWrite && attempt.transaction === transaction) {
        return true;
      }
    }
    return false;
  }

  /** Returns null if the caller leaves before the reply. */
  private handle(
    state: CallerState,
    statement: CallerStatement,
    requestId: string,
  ): Promise<StatementReply | null> {
    const receivedAtMs = this.options.clock.nowMs();
    const reply = state.session
      .handle({requestId, statement, receivedAtMs})
      .catch((error: unknown) => {
        this.options.reportViolation(`statement failed: ${String(error)}`);
        return null;
      });
    return Promise.race([reply, state.left]);
  }

  private pause(): Promise<void> {
    const {clock, random} = this.options;
    const maxMs =
      random.nextFloat() < LONG_PAUSE_SHARE ? MAX_LONG_PAUSE_MS : MAX_PAUSE_MS;
    return sleep(clock, random.nextInteger(0, maxMs));
  }

  private peekRequestId(): string {
    return `${this.options.name}-${this.nextRequest}`;
  }

  private pick<T>(items: readonly T[]): T {
    const {random} = this.options;
    const item = items[random.nextInteger(0, items.length - 1)];
    if (item === undefined) {
      throw new Error('There is nothing to choose from.');
    }
    return item;
  }
}
