import {failure, success, type Result} from '@filbertrun/base/result.js';
import {
  configurationSchema,
  type Configuration,
} from '@filbertrun/model/configuration.js';
import {createHash} from 'node:crypto';
import {z} from 'zod';

/**
 * Serialization of a configuration for the object store and for transfers
 * between proxies: JSON text that is named by its SHA-256 hash.
 *
 * @public
 */

/** Why a body was rejected. @public */
export type BodyError =
  | {readonly kind: 'hashMismatch'; readonly objectName: string}
  | {readonly kind: 'malformedBody'; readonly reason: string};

/**
 * Serializes a configuration; equal configurations have equal bodies.
 *
 * @public
 */
export function encodeBody(configuration: Configuration): string {
  return JSON.stringify(configurationSchema.parse(configuration));
}

/**
 * Returns the object name of a body: its SHA-256 hash in hexadecimal.
 *
 * @public
 */
export function computeObjectName(body: string): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Verifies the hash of a body and parses it. @public */
export function parseBody(
  body: string,
  objectName: string,
): Result<Configuration, BodyError> {
  if (computeObjectName(body) !== objectName) {
    return failure({kind: 'hashMismatch', objectName});
  }
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    return failure({kind: 'malformedBody', reason: 'not JSON'});
  }
  const parsed = configurationSchema.safeParse(value);
  if (!parsed.success) {
    return failure({
      kind: 'malformedBody',
      reason: z.prettifyError(parsed.error),
    });
  }
  return success(parsed.data);
}
