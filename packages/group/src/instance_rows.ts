import {z} from 'zod';
import {
  parsePosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import {parseBriefStatus} from './brief_status.js';
import type {InstanceStatus, TermConfirmation} from './instance_control.js';

/**
 * Parses the result rows of the replication functions; see
 * docs/design/instance_protocol.md.
 */

const int8Schema = z.coerce.number().int().nonnegative();

const positionTextSchema = z
  .string()
  .transform((text, context): LogPosition => {
    const position = parsePosition(text);
    if (position === null) {
      context.addIssue({code: 'custom', message: 'not a log position'});
      return z.NEVER;
    }
    return position;
  });

const replicaSchema = z.object({
  backendServer: z.string(),
  confirmed: positionTextSchema,
  silentForMs: z.number().nonnegative(),
});

const replicasTextSchema = z
  .string()
  .transform((text, context): unknown => {
    try {
      return JSON.parse(text);
    } catch {
      context.addIssue({code: 'custom', message: 'not JSON'});
      return z.NEVER;
    }
  })
  .pipe(z.array(replicaSchema).max(64));

const statusRowSchema = z.object({
  backend_server: z.string(),
  role: z.enum(['primary', 'replica']),
  term: int8Schema,
  claim_id: z.string(),
  log_position: positionTextSchema,
  primary_server: z.string().nullable(),
  primary_silent_ms: z.union([z.null(), int8Schema]),
  replicas: replicasTextSchema,
});

const briefRowSchema = z.object({s: z.string().max(16_384)});

const confirmationRowSchema = z.object({
  term: int8Schema,
  log_position: positionTextSchema,
  majority_position: positionTextSchema,
});

const acceptedSchema = z.union([
  z.boolean(),
  z.enum(['t', 'f', 'true', 'false']).transform(text => text.startsWith('t')),
]);

const commandRowSchema = z.object({accepted: acceptedSchema});

/** Parses a status row; null if it is malformed. @internal */
export function parseStatusRow(row: unknown): InstanceStatus | null {
  const parsed = statusRowSchema.safeParse(row);
  if (!parsed.success) {
    return null;
  }
  const data = parsed.data;
  return {
    backendServer: data.backend_server,
    role: data.role,
    term: data.term,
    claimId: data.claim_id,
    position: data.log_position,
    primary: data.primary_server,
    primarySilentForMs: data.primary_silent_ms,
    replicas: data.replicas,
  };
}

/** Parses the row of `group_brief()`; null if it is malformed. @internal */
export function parseBriefRow(row: unknown): InstanceStatus | null {
  const parsed = briefRowSchema.safeParse(row);
  return parsed.success ? parseBriefStatus(parsed.data.s) : null;
}

/**
 * Parses whether a command was accepted; null if the row is malformed.
 *
 * @internal
 */
export function parseAccepted(row: unknown): boolean | null {
  const parsed = commandRowSchema.safeParse(row);
  return parsed.success ? parsed.data.accepted : null;
}

/** Parses a confirmation row; null if it is malformed. @internal */
export function parseConfirmationRow(row: unknown): TermConfirmation | null {
  const parsed = confirmationRowSchema.safeParse(row);
  if (!parsed.success) {
    return null;
  }
  return {
    term: parsed.data.term,
    position: parsed.data.log_position,
    majorityPosition: parsed.data.majority_position,
  };
}
