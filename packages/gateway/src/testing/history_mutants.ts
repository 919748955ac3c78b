import {failure} from '@filbertrun/base/result.js';
import {ForwardServerStream} from '../forwarding/forward_server_stream.js';
import type {ForwardRequestHandler} from '../forwarding/forward_server_stream.js';
import type {ByteChannel} from '../forwarding/byte_channel.js';
import {ForwardedOperationHost} from '../forwarding/forwarded_operation_host.js';
import type {StatementContext} from '../session/gateway_context.js';
import {
  LocalOperationExecutor,
  type Operation,
  type OperationExecutor,
  type OperationResult,
} from '../session/operation_executor.js';
import {
  endsTransaction,
  type OpenTransaction,
} from '../session/open_transaction.js';
import {createErrorReply, TRANSACTION_LOST} from '../session/refusal.js';
import type {StatementReply} from '../statement/statement_answer.js';
import type {HistoryMutant} from './forwarding_history.js';
import type {HistoryProxy, MutantStream} from './history_proxy.js';

/**
 * Serves streams as the mutants do, without a fault.
 *
 * @internal
 */
export const HISTORY_CONTROL: HistoryMutant = {
  name: 'control',
  rule: '',
  wrapExecutor: inner => ({
    execute: (context, operation) => inner.execute(context, operation),
  }),
  accept: (proxy, channel) => serve(proxy, channel, delegate),
};

/**
 * Faults of the forwarding, each as a wrapper around the code of the product.
 * The histories must detect them all.
 *
 * @internal
 */
export const HISTORY_MUTANTS: readonly HistoryMutant[] = [
  {
    name: 'a write is repeated at the next holder after a lost stream',
    rule: 'write run twice',
    wrapExecutor: createRepeatingExecutor,
  },
  {
    name: 'a transaction stays open when the stream of its follower ends',
    rule: 'transaction left open',
    wrapExecutor: createLongIdleExecutor,
    accept: (proxy, channel) =>
      serve(proxy, channel, host => ({...delegate(host), handleClosed() {}})),
  },
  {
    name: 'an operation runs on a connection of another identity',
    rule: 'connection of two customers',
    wrapExecutor: createIdentityExecutor,
  },
  {
    name: 'a commit of unknown outcome is reported as a lost transaction',
    rule: 'committed, reported as not run',
    wrapExecutor: createLostCommitExecutor,
  },
  {
    name: 'an operation has the session values of another session',
    rule: 'session values',
    wrapExecutor: createValuesExecutor,
  },
  {
    name: 'a strict read runs where no lease is held',
    rule: 'strict read without lease',
    wrapExecutor: createWeakReadExecutor,
  },
  {
    name: 'a read misses the commits of its session',
    rule: 'session floor',
    wrapExecutor: inner => ({
      execute: (context, operation) =>
        inner.execute(context, {...operation, sessionFloor: null}),
    }),
  },
  {
    name: 'a write of unknown outcome is reported as complete',
    rule: 'acknowledged, not committed',
    wrapExecutor: createAcknowledgingExecutor,
  },
  {
    name: 'a statement of a lost transaction runs on its own',
    rule: 'statement outside its transaction',
    wrapExecutor: createContinuingExecutor,
  },
  {
    name: 'a proxy opens more connections than its limit',
    rule: 'connection limit',
    excessConnections: 1,
  },
  {
    name: 'a declined operation was run',
    rule: 'write run twice',
    accept: (proxy, channel) =>
      serve(
        proxy,
        channel,
        host => createDecliningHandler(proxy, host),
        () => null,
      ),
  },
];

function isOutcomeUnknown({result}: StatementReply): boolean {
  return result.kind === 'error' && result.error.kind === 'outcomeUnknown';
}

function createRepeatingExecutor(inner: OperationExecutor): OperationExecutor {
  return {
    async execute(
      context: StatementContext,
      operation: Operation,
    ): Promise<OperationResult> {
      const result = await inner.execute(context, operation);
      return operation.isWrite && isOutcomeUnknown(result.reply)
        ? inner.execute(context, operation)
        : result;
    },
  };
}

/** Keeps the idle timeout of the holder from hiding an open transaction. */
function createLongIdleExecutor(inner: OperationExecutor): OperationExecutor {
  const idleTimeoutMs = 1_000_000;
  return {
    execute: (context, operation) =>
      inner.execute(context, {...operation, idleTimeoutMs}),
  };
}

/** Runs an operation under the identity of the one before it. */
function createIdentityExecutor(inner: OperationExecutor): OperationExecutor {
  let previous: string | null = null;
  return {
    execute(context, operation) {
      const identity = previous ?? context.identity;
      previous = context.identity;
      return inner.execute({...context, identity}, operation);
    },
  };
}

/** Runs an operation with the session of the one before it. */
function createValuesExecutor(inner: OperationExecutor): OperationExecutor {
  let previous: Operation['session']['values'] | null = null;
  return {
    execute(context, operation) {
      const {session} = operation;
      const values = previous ?? session.values;
      previous = new Map(session.values);
      return inner.execute(context, {
        ...operation,
        session: {...session, values},
      });
    },
  };
}

/** Treats strict reads as reads that any server may answer. */
function createWeakReadExecutor(inner: OperationExecutor): OperationExecutor {
  return {
    execute(context, operation) {
      const route = {
        ...context.route,
        consistency: 'age',
        maxAgeMs: 1_500,
      } as const;
      return inner.execute({...context, route}, operation);
    },
  };
}

function createAcknowledgingExecutor(
  inner: OperationExecutor,
): OperationExecutor {
  return {
    async execute(context, operation) {
      const result = await inner.execute(context, operation);
      if (!operation.isWrite || !isOutcomeUnknown(result.reply)) {
        return result;
      }
      const signature = `sig-${context.requestId}`;
      const reply: StatementReply = {
        ...result.reply,
        result: {kind: 'complete', signature},
      };
      return {...result, reply};
    },
  };
}

function createLostCommitExecutor(inner: OperationExecutor): OperationExecutor {
  return wrapTransactions(inner, transaction => ({
    async handle(context, statement, session, isWrite) {
      const reply = await transaction.handle(
        context,
        statement,
        session,
        isWrite,
      );
      return isOutcomeUnknown(reply)
        ? createErrorReply(TRANSACTION_LOST, 'idle')
        : reply;
    },
  }));
}

/** Runs a statement as an operation if its transaction was lost. */
function createContinuingExecutor(inner: OperationExecutor): OperationExecutor {
  return wrapTransactions(inner, (transaction, {sessionFloor}) => ({
    async handle(context, statement, session, isWrite) {
      const reply = await transaction.handle(
        context,
        statement,
        session,
        isWrite,
      );
      if (!isTransactionLost(reply) || endsTransaction(statement)) {
        return reply;
      }
      const operation = {statement, isWrite, session, sessionFloor};
      const result = await inner.execute(context, {
        ...operation,
        idleTimeoutMs: 0,
      });
      return result.reply;
    },
  }));
}

function isTransactionLost({result}: StatementReply): boolean {
  return result.kind === 'error' && result.error.kind === 'transactionLost';
}

/** Replaces how the statements of a transaction are handled. */
function wrapTransactions(
  inner: OperationExecutor,
  wrap: (
    transaction: OpenTransaction,
    operation: Operation,
  ) => Pick<OpenTransaction, 'handle'>,
): OperationExecutor {
  return {
    async execute(context, operation) {
      const result = await inner.execute(context, operation);
      const {transaction} = result;
      return transaction === null
        ? result
        : {
            ...result,
            transaction: replaceHandle(
              transaction,
              wrap(transaction, operation),
            ),
          };
    },
  };
}

function replaceHandle(
  inner: OpenTransaction,
  {handle}: Pick<OpenTransaction, 'handle'>,
): OpenTransaction {
  return {
    get transactionState() {
      return inner.transactionState;
    },
    get identity() {
      return inner.identity;
    },
    get committedPosition() {
      return inner.committedPosition;
    },
    createContext: request => inner.createContext(request),
    handle,
    refuse: (statement, error) => inner.refuse(statement, error),
    abandon: () => inner.abandon(),
  };
}

/** Runs an operation first and then declines it if it should not be accepted. */
function createDecliningHandler(
  proxy: HistoryProxy,
  host: ForwardedOperationHost,
): ForwardRequestHandler {
  return {
    ...delegate(host),
    async handleOperation(exchangeId, operation) {
      const result = await host.handleOperation(exchangeId, operation);
      return proxy.declineReason === null
        ? result
        : failure(proxy.declineReason);
    },
  };
}

function delegate(host: ForwardedOperationHost): ForwardRequestHandler {
  return {
    handleOperation: (id, operation) => host.handleOperation(id, operation),
    handleStatement: (id, statement) => host.handleStatement(id, statement),
    handleAbandon: id => host.handleAbandon(id),
    handleCancel: id => host.handleCancel(id),
    handleClosed: () => host.handleClosed(),
  };
}

/** Serves a stream as {@link Forwarding} does, with another handler. */
function serve(
  proxy: HistoryProxy,
  channel: ByteChannel,
  createHandler: (host: ForwardedOperationHost) => ForwardRequestHandler,
  findDeclineReason = () => proxy.declineReason,
): MutantStream {
  const host = ForwardedOperationHost.create({
    gateway: proxy,
    local: LocalOperationExecutor.create(),
    findDeclineReason,
    handleAccepted: () => {},
    handleClosed: () => {},
  });
  const stream = ForwardServerStream.create(channel, {
    handler: createHandler(host),
    handleInvalid: () => {},
  });
  return {
    get transactionCount() {
      return host.transactionCount;
    },
    close: reason => stream.close(reason),
  };
}
