import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {Customer} from '../customer/customer.js';
import type {SessionContext} from '../backend/pooled_connection.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import type {OperationPermit} from '../quota/operation_permit.js';
import type {
  GatewayContext,
  StatementContext,
} from '../session/gateway_context.js';
import type {OperationExecutor} from '../session/operation_executor.js';
import type {OpenTransaction} from '../session/open_transaction.js';
import type {
  DeclineReason,
  ForwardedOperation,
  ForwardedStatement,
  ForwardReply,
} from './forward_message.js';
import type {ForwardRequestHandler} from './forward_server_stream.js';

/** Options of a {@link ForwardedOperationHost}. @public */
export interface ForwardedOperationHostOptions {
  readonly gateway: GatewayContext;
  /** Runs operations on this proxy's own connections. */
  readonly local: OperationExecutor;
  /** Returns why no operation of a group is accepted, or null if one is. */
  findDeclineReason(group: GroupRuntime): DeclineReason | null;
  /** Called for each accepted operation of a group. */
  handleAccepted(databaseGroup: string): void;
  /** Called once, when the stream has ended. */
  handleClosed(): void;
}

/**
 * Runs the operations of one follower, which arrive on one stream. When the
 * stream ends, the open transactions are rolled back.
 *
 * @public
 */
export class ForwardedOperationHost implements ForwardRequestHandler {
  private readonly transactions = new Map<number, OpenTransaction>();
  /** Operations whose statement is under way, by exchange id. */
  private readonly pending = new Map<number, AbortController>();
  private isClosed = false;

  private constructor(
    private readonly options: ForwardedOperationHostOptions,
  ) {}

  static create(
    options: ForwardedOperationHostOptions,
  ): ForwardedOperationHost {
    return new ForwardedOperationHost(options);
  }

  /** Number of transactions under way; a single statement counts as one. */
  get transactionCount(): number {
    return this.pending.size + this.transactions.size;
  }

  async handleOperation(
    exchangeId: number,
    operation: ForwardedOperation,
  ): Promise<Result<ForwardReply, DeclineReason>> {
    const {gateway, local, findDeclineReason, handleAccepted} = this.options;
    const {databaseGroup} = operation.route;
    const group = gateway.getGroup(databaseGroup);
    const reason = group === null ? 'notServing' : findDeclineReason(group);
    if (group === null || reason !== null) {
      return failure(reason ?? 'notServing');
    }
    handleAccepted(databaseGroup);
    const permit = SentTracker.create();
    const abort = new AbortController();
    this.pending.set(exchangeId, abort);
    const receivedAtMs = gateway.clock.nowMs();
    const context: StatementContext = {
      gateway,
      route: operation.route,
      group,
      customer: createCustomer(operation.customerName),
      identity: operation.identity ?? gateway.sharedIdentity,
      permit,
      configurationVersion: operation.configurationVersion,
      requestId: operation.requestId,
      receivedAtMs,
      deadlineMs: receivedAtMs + operation.remainingMs,
      signal: abort.signal,
    };
    const result = await local.execute(context, {
      statement: operation.statement,
      isWrite: operation.isWrite,
      session: createSession(operation),
      sessionFloor: operation.sessionFloor,
      idleTimeoutMs: operation.idleTimeoutMs,
    });
    this.pending.delete(exchangeId);
    if (result.transaction !== null) {
      this.keep(exchangeId, result.transaction, abort.signal);
    }
    const {reply, committedPosition} = result;
    return success({reply, committedPosition, wasSent: permit.wasSent});
  }

  async handleStatement(
    transactionId: number,
    forwarded: ForwardedStatement,
  ): Promise<Result<ForwardReply, DeclineReason>> {
    const transaction = this.transactions.get(transactionId);
    if (transaction === undefined) {
      return failure('unknownTransaction');
    }
    const receivedAtMs = this.options.gateway.clock.nowMs();
    const {requestId, statement, isWrite, remainingMs} = forwarded;
    const context: StatementContext = {
      ...transaction.createContext({requestId, statement, receivedAtMs}),
      deadlineMs: receivedAtMs + remainingMs,
    };
    const reply = await transaction.handle(
      context,
      statement,
      createSession(forwarded),
      isWrite,
    );
    if (transaction.transactionState === 'idle') {
      this.transactions.delete(transactionId);
    }
    const {committedPosition} = transaction;
    return success({reply, committedPosition, wasSent: true});
  }

  handleAbandon(transactionId: number): void {
    this.transactions.get(transactionId)?.abandon();
    this.transactions.delete(transactionId);
  }

  handleCancel(exchangeId: number): void {
    this.pending.get(exchangeId)?.abort();
    this.handleAbandon(exchangeId);
  }

  handleClosed(): void {
    this.isClosed = true;
    for (const abort of this.pending.values()) {
      abort.abort();
    }
    for (const transaction of this.transactions.values()) {
      transaction.abandon();
    }
    this.transactions.clear();
    this.options.handleClosed();
  }

  /** Keeps a transaction unless its follower has gone while it was opened. */
  private keep(
    transactionId: number,
    transaction: OpenTransaction,
    signal: AbortSignal,
  ): void {
    if (this.isClosed || signal.aborted) {
      transaction.abandon();
      return;
    }
    this.transactions.set(transactionId, transaction);
  }
}

/**
 * Remembers whether an operation was sent to a backend server. The follower has
 * applied the customer's limit.
 */
class SentTracker implements OperationPermit {
  wasSent = false;

  private constructor() {}

  static create(): SentTracker {
    return new SentTracker();
  }

  markSent(): void {
    this.wasSent = true;
  }

  end(): void {}
}

/** The customer as far as log events need it; its keys stay at the follower. */
function createCustomer(name: string | null): Customer | null {
  return name === null ? null : {name, keyDigests: [], limit: null};
}

function createSession({values, prepared}: ForwardedStatement): SessionContext {
  return {values: new Map(values), prepared};
}
