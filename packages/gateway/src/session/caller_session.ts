import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import type {DenialInputs} from '../observability/gateway_event.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {SessionContext} from '../backend/pooled_connection.js';
import {digestApiKey, type ApiKeyDigest} from '../customer/api_key_digest.js';
import {
  resolveCaller,
  type CallerResolution,
} from '../customer/resolve_caller.js';
import type {DatabaseRoute} from '../configuration/service_configuration.js';
import type {
  CallerStatement,
  StatementRequest,
} from '../statement/caller_statement.js';
import type {LimitError} from '../quota/operation_limiter.js';
import {UNLIMITED_PERMIT} from '../quota/operation_permit.js';
import type {
  StatementReply,
  TransactionState,
} from '../statement/statement_answer.js';
import type {GatewayContext, StatementContext} from './gateway_context.js';
import type {OpenTransaction} from './open_transaction.js';
import {
  CONFIGURATION_UNAVAILABLE,
  createErrorReply,
  createLocalReply,
  TRANSACTION_LOST,
} from './refusal.js';
import {recordRefused} from './statement_events.js';
import {SessionState} from './session_state.js';

/** Idle timeout of a transaction that begins without a configuration. */
const DEFAULT_IDLE_TIMEOUT_MS = 100;

/** What a caller gives when it opens a session. @public */
export interface SessionRequest {
  readonly databaseName: string;
  /** API key; not checked if the deployment has no customers. */
  readonly apiKey: string;
}

/** A caller's session. It handles one statement at a time, in order. @public */
export class CallerSession {
  private readonly state = SessionState.create();
  private transaction: OpenTransaction | null = null;
  /** Aborted when the caller has left. */
  private readonly closing = new AbortController();

  private constructor(
    private readonly gateway: GatewayContext,
    readonly databaseName: string,
    private readonly keyDigest: ApiKeyDigest,
  ) {}

  /** Opens a session if its database has a route that admits the caller. */
  static open(
    gateway: GatewayContext,
    {databaseName, apiKey}: SessionRequest,
  ): Result<CallerSession, CallerError> {
    const session = new CallerSession(
      gateway,
      databaseName,
      digestApiKey(apiKey),
    );
    const denial = session.findDenial();
    if (denial === null) {
      return success(session);
    }
    gateway.events.record({
      kind: 'sessionDenied',
      ...session.describeDenial(denial),
    });
    return failure(denial);
  }

  /** Returns why the session may not be opened, or null. */
  private findDenial(): CallerError | null {
    const configuration = this.gateway.getConfiguration();
    const route = configuration?.routes.get(this.databaseName);
    if (route === undefined) {
      return this.createUnknownDatabaseError();
    }
    return this.resolveCaller(route)?.kind === 'denied'
      ? this.denyUnknown({kind: 'accessDenied'})
      : null;
  }

  /**
   * Refuses a caller because of something that the configuration lacks. What an
   * old configuration lacks may exist, and another proxy may know it.
   */
  private denyUnknown(error: CallerError): CallerError {
    return this.gateway.isConfigurationCurrent()
      ? error
      : CONFIGURATION_UNAVAILABLE;
  }

  /** The inputs of a decision to deny a caller, for logs. */
  private describeDenial(error: CallerError): DenialInputs {
    return {
      databaseName: this.databaseName,
      configurationVersion: this.gateway.getConfiguration()?.version ?? null,
      configurationAgeMs: this.gateway.getConfigurationAgeMs(),
      reason: describeRefusal(error),
    };
  }

  get transactionState(): TransactionState {
    return this.transaction?.transactionState ?? 'idle';
  }

  /** Handles the next statement. The previous one must have been answered. */
  async handle(request: StatementRequest): Promise<StatementReply> {
    const local = this.handleLocally(request.statement);
    if (local !== null) {
      return local;
    }
    const {transaction} = this;
    const context =
      transaction === null
        ? this.createContext(request)
        : transaction.createContext(request);
    if ('kind' in context) {
      return this.refuseOnArrival(request, context);
    }
    const refusal =
      transaction === null
        ? null
        : this.findTransactionRefusal(transaction, context, request.statement);
    if (transaction !== null && refusal !== null) {
      return this.endRefused(transaction, context, request.statement, refusal);
    }
    const reply =
      transaction === null
        ? await this.handleOutsideTransaction(context, request.statement)
        : await this.handleInTransaction(
            transaction,
            context,
            request.statement,
          );
    this.recordAnswered(context, reply);
    return reply;
  }

  /** Closes the session and rolls back an open transaction. */
  close(): void {
    this.closing.abort();
    this.transaction?.abandon();
    this.transaction = null;
  }

  /** Handles statements that need no backend server; null for all others. */
  private handleLocally(statement: CallerStatement): StatementReply | null {
    const state = this.transactionState;
    switch (statement.kind) {
      case 'malformed':
        return createErrorReply(
          {kind: 'protocolViolation', reason: statement.reason},
          state,
        );
      case 'setValue':
      case 'prepare':
      case 'closePrepared':
        return state === 'failed'
          ? createErrorReply({kind: 'transactionFailed'}, state)
          : this.changeState(statement, state);
      case 'execute':
        return this.state.getPrepared(statement.name) === null
          ? createErrorReply(
              {kind: 'unknownStatement', name: statement.name},
              state,
            )
          : null;
      case 'begin':
        return this.transaction === null
          ? null
          : createErrorReply(
              {kind: 'protocolViolation', reason: 'a transaction is open'},
              state,
            );
      case 'commit':
      case 'rollback':
        return this.transaction === null ? createLocalReply('idle') : null;
      case 'read':
      case 'write':
        return null;
      default:
        return exhaustiveSwitchError(statement);
    }
  }

  private changeState(
    statement: Extract<
      CallerStatement,
      {kind: 'setValue' | 'prepare' | 'closePrepared'}
    >,
    state: TransactionState,
  ): StatementReply {
    switch (statement.kind) {
      case 'setValue':
        return this.state.setValue(statement.name, statement.value)
          ? createLocalReply(state)
          : createErrorReply(
              {kind: 'invalidParameter', reason: 'too many values'},
              state,
            );
      case 'prepare':
        return this.state.prepare(statement.name, statement.prepared)
          ? createLocalReply(state)
          : createErrorReply(
              {
                kind: 'invalidParameter',
                reason: 'too many prepared statements',
              },
              state,
            );
      case 'closePrepared':
        this.state.closePrepared(statement.name);
        return createLocalReply(state);
      default:
        return exhaustiveSwitchError(statement);
    }
  }

  /** Creates the context of a statement that no transaction contains. */
  private createContext(
    request: StatementRequest,
  ): StatementContext | CallerError {
    const configuration = this.gateway.getConfiguration();
    const route = configuration?.routes.get(this.databaseName);
    const group =
      route === undefined ? null : this.gateway.getGroup(route.databaseGroup);
    if (configuration === null || route === undefined || group === null) {
      return this.createUnknownDatabaseError();
    }
    const caller = this.resolveCaller(route);
    if (caller === null || caller.kind === 'denied') {
      return this.denyUnknown({kind: 'accessDenied'});
    }
    return {
      customer: caller.customer,
      identity: caller.identity,
      permit: UNLIMITED_PERMIT,
      gateway: this.gateway,
      route,
      group,
      configurationVersion: configuration.version,
      requestId: request.requestId,
      receivedAtMs: request.receivedAtMs,
      deadlineMs: request.receivedAtMs + route.statementTimeoutMs,
      // With direct access, a statement keeps its place after its caller has left.
      signal: group.hasSharedAccess ? this.closing.signal : undefined,
    };
  }

  /** Resolves the caller's key with the newest configuration, if any. */
  private resolveCaller(route: DatabaseRoute): CallerResolution | null {
    const configuration = this.gateway.getConfiguration();
    if (configuration === null) {
      return null;
    }
    const {keyDigest} = this;
    const {sharedIdentity} = this.gateway;
    return resolveCaller({configuration, route, keyDigest, sharedIdentity});
  }

  /**
   * Returns why a transaction must not go on: the caller's key was withdrawn, or
   * it was moved to another customer, whose statements must not run on the
   * connection of the transaction. A rollback is always allowed.
   */
  private findTransactionRefusal(
    transaction: OpenTransaction,
    context: StatementContext,
    statement: CallerStatement,
  ): CallerError | null {
    if (statement.kind === 'rollback') {
      return null;
    }
    const caller = this.resolveCaller(context.route);
    if (caller?.kind === 'denied') {
      return {kind: 'accessDenied'};
    }
    return caller !== null && caller.identity !== transaction.identity
      ? TRANSACTION_LOST
      : null;
  }

  /** Rolls back a transaction that must not go on. */
  private endRefused(
    transaction: OpenTransaction,
    context: StatementContext,
    statement: CallerStatement,
    error: CallerError,
  ): StatementReply {
    recordRefused(context, error, describeRefusal(error));
    const reply = transaction.refuse(statement, error);
    if (transaction.transactionState === 'idle') {
      this.transaction = null;
    }
    return reply;
  }

  /** Refuses a statement that has no route or whose caller is denied. */
  private refuseOnArrival(
    request: StatementRequest,
    error: CallerError,
  ): StatementReply {
    this.gateway.events.record({
      kind: 'statementDenied',
      requestId: request.requestId,
      ...this.describeDenial(error),
    });
    return createErrorReply(error, 'idle');
  }

  /** The group is unknown, so the error holds the name of the database. */
  private createUnknownDatabaseError(): CallerError {
    return this.denyUnknown({
      kind: 'unknownDatabase',
      databaseGroup: this.databaseName,
    });
  }

  private async handleInTransaction(
    transaction: OpenTransaction,
    context: StatementContext,
    statement: CallerStatement,
  ): Promise<StatementReply> {
    const reply = await transaction.handle(
      context,
      statement,
      this.createSessionContext(statement),
      this.isWrite(statement),
    );
    if (transaction.transactionState === 'idle') {
      this.transaction = null;
    }
    if (transaction.committedPosition !== null) {
      // Later reads of the session must see this commit.
      this.state.raiseFloor(
        context.group.databaseGroup,
        transaction.committedPosition,
      );
    }
    return reply;
  }

  /** Runs the first statement of an operation if the limit admits it. */
  private async handleOutsideTransaction(
    context: StatementContext,
    statement: CallerStatement,
  ): Promise<StatementReply> {
    const admitted = await this.gateway.limiter.admit(context.customer);
    if (!admitted.ok) {
      return this.refuseByLimit(context, admitted.error);
    }
    const permit = admitted.value;
    const reply = await this.execute({...context, permit}, statement);
    permit.end();
    return reply;
  }

  private refuseByLimit(
    context: StatementContext,
    {kind, retryAfterMs}: LimitError,
  ): StatementReply {
    const error: CallerError =
      kind === 'exhausted'
        ? {kind: 'limitExceeded', retryAfterMs}
        : {kind: 'unavailable', retryAfterMs};
    recordRefused(context, error, `limit: ${kind}`);
    return createErrorReply(error, 'idle');
  }

  private async execute(
    context: StatementContext,
    statement: CallerStatement,
  ): Promise<StatementReply> {
    const {databaseGroup} = context.group;
    const result = await this.gateway.operations.execute(context, {
      statement,
      isWrite: this.isWrite(statement),
      session: this.createSessionContext(statement),
      sessionFloor: this.state.getFloor(databaseGroup),
      idleTimeoutMs:
        this.gateway.getConfiguration()?.transactionIdleTimeoutMs ??
        DEFAULT_IDLE_TIMEOUT_MS,
    });
    if (this.closing.signal.aborted) {
      result.transaction?.abandon();
      return result.reply;
    }
    this.transaction = result.transaction;
    if (result.committedPosition !== null) {
      this.state.raiseFloor(databaseGroup, result.committedPosition);
    }
    return result.reply;
  }

  private recordAnswered(
    context: StatementContext,
    reply: StatementReply,
  ): void {
    const {gateway, group, route, requestId, receivedAtMs} = context;
    const {result, position} = reply;
    if (result.kind === 'rejected') {
      gateway.events.record({
        kind: 'statementRejected',
        requestId,
        databaseGroup: group.databaseGroup,
        code: result.code,
        isInTransaction: this.transaction !== null,
      });
    }
    gateway.events.record({
      kind: 'statementAnswered',
      requestId,
      databaseGroup: group.databaseGroup,
      consistency: route.consistency,
      outcome: result.kind === 'error' ? result.error.kind : result.kind,
      durationMs: gateway.clock.nowMs() - receivedAtMs,
      position,
    });
  }

  private createSessionContext(statement: CallerStatement): SessionContext {
    const prepared =
      statement.kind === 'execute'
        ? this.state.getPrepared(statement.name)
        : null;
    return {values: this.state.values, prepared};
  }

  private isWrite(statement: CallerStatement): boolean {
    if (statement.kind === 'execute') {
      return this.state.getPrepared(statement.name)?.access === 'write';
    }
    return statement.kind === 'write';
  }
}

function describeRefusal(error: CallerError): string {
  switch (error.kind) {
    case 'unknownDatabase':
      return 'no route for the database';
    case 'accessDenied':
      return 'no customer holds the key';
    case 'unavailable':
      return 'not in a configuration that may be out of date';
    default:
      return 'the key was moved to another customer';
  }
}
