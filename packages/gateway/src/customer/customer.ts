import * as z from 'zod';
import {isApiKeyDigest, type ApiKeyDigest} from './api_key_digest.js';

/** Validates the limit on a customer's operations. @public */
export const customerLimitSchema = z
  .object({
    operationsPerSecond: z.number().nonnegative(),
    /** Operations beyond the rate that may run at once. */
    burstOperations: z.number().nonnegative(),
  })
  .readonly();

/**
 * Limit on the operations of a customer at all proxies together. An operation
 * is a single statement or a transaction.
 *
 * @public
 */
export type CustomerLimit = z.infer<typeof customerLimitSchema>;

/** Validates a customer. @public */
export const customerSchema = z
  .object({
    name: z.string().min(1),
    keyDigests: z.array(z.custom<ApiKeyDigest>(isDigest)).readonly(),
    /** Null if the customer's operations are not limited. */
    limit: customerLimitSchema.nullable(),
  })
  .readonly();

/** A customer of the deployment and the digests of its API keys. @public */
export type Customer = z.infer<typeof customerSchema>;

function isDigest(value: unknown): boolean {
  return typeof value === 'string' && isApiKeyDigest(value);
}
