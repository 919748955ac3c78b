import {
  logPositionSchema,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {ConnectionIdentity} from '@filbertrun/pool/pool_types.js';
import * as z from 'zod';
import {databaseRouteSchema} from '../configuration/service_configuration.js';
import type {
  CallerStatement,
  PreparedStatement,
} from '../statement/caller_statement.js';
import type {
  BackendRejection,
  StatementReply,
} from '../statement/statement_answer.js';

/**
 * Messages between a follower, the proxy that serves a caller, and a holder,
 * the proxy of the same availability zone that holds the connections to a
 * database group.
 */

const countSchema = z.number().int().nonnegative();

const idSchema = z.number().int().positive();

const durationSchema = z.number().nonnegative();

const preparedSchema = z
  .object({
    access: z.enum(['read', 'write']),
    definitionText: z.string(),
  })
  .readonly() satisfies z.ZodType<PreparedStatement>;

/** Only statements that need a backend server are forwarded. */
const statementSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('begin'), isReadOnly: z.boolean()}),
  z.object({kind: z.literal('commit')}),
  z.object({kind: z.literal('rollback')}),
  z.object({kind: z.literal('read'), text: z.string()}),
  z.object({kind: z.literal('write'), text: z.string()}),
  z.object({
    kind: z.literal('execute'),
    name: z.string(),
    argumentText: z.string(),
  }),
]) satisfies z.ZodType<CallerStatement>;

/** A statement that can be forwarded. @public */
export type ForwardableStatement = z.infer<typeof statementSchema>;

/**
 * Returns a statement that needs a backend server as it is; null for one that a
 * session handles itself.
 *
 * @public
 */
export function toForwardable(
  statement: CallerStatement,
): ForwardableStatement | null {
  switch (statement.kind) {
    case 'begin':
    case 'commit':
    case 'rollback':
    case 'read':
    case 'write':
    case 'execute':
      return statement;
    case 'setValue':
    case 'prepare':
    case 'closePrepared':
    case 'malformed':
      return null;
  }
}

const valuesSchema = z
  .array(z.tuple([z.string(), z.string()]).readonly())
  .readonly();

const forwardedStatementSchema = z
  .object({
    requestId: z.string().min(1),
    statement: statementSchema,
    /** Whether the statement writes, also by a prepared statement. */
    isWrite: z.boolean(),
    /** Session values as pairs of name and value. */
    values: valuesSchema,
    prepared: preparedSchema.nullable(),
    /** Time left until the deadline of the statement. */
    remainingMs: durationSchema,
  })
  .readonly();

/** A statement of a caller, within an open transaction. @public */
export type ForwardedStatement = z.infer<typeof forwardedStatementSchema>;

const forwardedOperationSchema = forwardedStatementSchema
  .unwrap()
  .extend({
    route: databaseRouteSchema,
    /**
     * Identity of the connections that may run the operation; null for the shared
     * identity of the holder, so that callers without a customer share connections
     * whichever proxy they use.
     */
    identity: (
      z.string().min(1) satisfies z.ZodType<ConnectionIdentity>
    ).nullable(),
    /** Name of the caller's customer; null for none. */
    customerName: z.string().nullable(),
    configurationVersion: z.number(),
    /** Lowest position at which the session sees its own commits, or null. */
    sessionFloor: logPositionSchema.nullable(),
    /** Idle timeout of a transaction that the statement begins. */
    idleTimeoutMs: durationSchema,
  })
  .readonly();

/** The first statement of an operation, with its route. @public */
export type ForwardedOperation = z.infer<typeof forwardedOperationSchema>;

/** Validates a message of a follower to a holder. @public */
export const forwardRequestSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('operation'),
    exchangeId: idSchema,
    operation: forwardedOperationSchema,
  }),
  z.object({
    kind: z.literal('statement'),
    exchangeId: idSchema,
    /** Exchange id of the BEGIN that opened the transaction. */
    transactionId: idSchema,
    statement: forwardedStatementSchema,
  }),
  z.object({kind: z.literal('abandon'), transactionId: idSchema}),
  z.object({kind: z.literal('cancel'), exchangeId: idSchema}),
  z.object({kind: z.literal('ping'), pingId: countSchema}),
]);

/** Message of a follower to a holder. @public */
export type ForwardRequest = z.infer<typeof forwardRequestSchema>;

const rejectionSchema = z.enum([
  'overloaded',
  'unknownPreparedName',
  'positionNotReached',
  'notPrimary',
  'wrongBackendServer',
  'tooManyConnections',
  'transactionAborted',
  'executionFailed',
  'executionTimedOut',
  'invalidStatement',
  'other',
]) satisfies z.ZodType<BackendRejection>;

const retryAfterSchema = durationSchema;

/** The errors that a holder can report to a caller. */
const callerErrorSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('overloaded'), retryAfterMs: retryAfterSchema}),
  z.object({kind: z.literal('unavailable'), retryAfterMs: retryAfterSchema}),
  z.object({kind: z.literal('shuttingDown'), retryAfterMs: retryAfterSchema}),
  z.object({kind: z.literal('outcomeUnknown')}),
  z.object({
    kind: z.literal('transactionLost'),
    retryAfterMs: retryAfterSchema,
  }),
  z.object({kind: z.literal('transactionFailed')}),
  z.object({kind: z.literal('cancelled')}),
]);

const replySchema = z
  .object({
    rows: z.array(z.string()).readonly(),
    result: z.discriminatedUnion('kind', [
      z.object({kind: z.literal('complete'), signature: z.string()}),
      z.object({
        kind: z.literal('rejected'),
        rejection: rejectionSchema,
        code: z.string(),
        text: z.string(),
      }),
      z.object({kind: z.literal('local')}),
      z.object({kind: z.literal('error'), error: callerErrorSchema}),
    ]),
    transactionState: z.enum(['idle', 'open', 'failed']),
    position: logPositionSchema.nullable(),
  })
  .readonly() satisfies z.ZodType<StatementReply>;

/** Why a holder did not take an exchange. Nothing was run. @public */
export type DeclineReason = 'stopping' | 'notServing' | 'unknownTransaction';

const declineReasonSchema = z.enum([
  'stopping',
  'notServing',
  'unknownTransaction',
]) satisfies z.ZodType<DeclineReason>;

/** Result of a forwarded statement. @public */
export interface ForwardReply {
  readonly reply: StatementReply;
  /** Position of a commit that was acknowledged, or null. */
  readonly committedPosition: LogPosition | null;
  /** Whether anything was sent to a backend server. */
  readonly wasSent: boolean;
}

/** Validates a message of a holder to a follower. @public */
export const forwardResponseSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('reply'),
    exchangeId: idSchema,
    reply: replySchema,
    committedPosition: logPositionSchema.nullable(),
    wasSent: z.boolean(),
  }),
  z.object({
    kind: z.literal('declined'),
    exchangeId: idSchema,
    reason: declineReasonSchema,
  }),
  z.object({kind: z.literal('pong'), pingId: countSchema}),
]);

/** Message of a holder to a follower. @public */
export type ForwardResponse = z.infer<typeof forwardResponseSchema>;
