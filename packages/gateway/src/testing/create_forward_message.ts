import type {
  ForwardedOperation,
  ForwardedStatement,
  ForwardReply,
  ForwardResponse,
} from '../forwarding/forward_message.js';

/** Contents of forwarded messages. */

/** Creates a statement within a transaction. @internal */
export function createForwardedStatement(
  requestId: string,
  changes: Partial<ForwardedStatement> = {},
): ForwardedStatement {
  return {
    requestId,
    statement: {kind: 'read', text: 'SELECT stock WHERE sku = 7'},
    isWrite: false,
    values: [['timeZone', 'UTC']],
    prepared: null,
    remainingMs: 900,
    ...changes,
  };
}

/** Creates an operation. @internal */
export function createForwardedOperation(
  requestId: string,
  changes: Partial<ForwardedOperation> = {},
): ForwardedOperation {
  return {
    ...createForwardedStatement(requestId),
    route: {
      databaseName: 'orders-checkout',
      databaseGroup: 'orders',
      consistency: 'session',
      maxAgeMs: 2_500,
      statementTimeoutMs: 3_000,
      targetLatencyMs: 250,
      priority: 'normal',
      isPublic: true,
    },
    identity: 'customer-12',
    customerName: 'customer-12',
    configurationVersion: 3,
    sessionFloor: {term: 2, position: 1_000},
    idleTimeoutMs: 5_000,
    ...changes,
  };
}

type ReplyMessage = Extract<ForwardResponse, {readonly kind: 'reply'}>;

/** A reply whose result can be sent in a message. @internal */
export type SendableReply = ForwardReply &
  Omit<ReplyMessage, 'kind' | 'exchangeId'>;

/** Creates the reply to a read that returned one row. @internal */
export function createForwardReply(
  row: string,
  changes: Partial<SendableReply> = {},
): SendableReply {
  return {
    reply: {
      rows: [row],
      result: {kind: 'complete', signature: 'READ 1'},
      transactionState: 'idle',
      position: {term: 2, position: 1_010},
    },
    committedPosition: null,
    wasSent: true,
    ...changes,
  };
}
