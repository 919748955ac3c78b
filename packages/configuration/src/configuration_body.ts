import {failure, success, type Result} from '@filbertrun/base/result.js';
import {
  configurationSchema,
  type Configuration,
} from '@filbertrun/model/configuration.js';
import {createHash} from 'node:crypto';
import {z} from 'zod';

/**
 * The form of a configuration in the object store and between proxies: JSON
 * text whose SHA-256 is its name.
 *
 * @public
 */

/** A body that cannot be used. @public */
export type BodyError =
  | {readonly kind: 'hashMismatch'; readonly objectName: string}
  | {readonly kind: 'malformedBody'; readonly reason: string};

/** Writes a configuration; equal configurations yield equal text. @public */
export function encodeBody(configuration: Configuration): string {
  return JSON.stringify(configurationSchema.parse(configuration));
}

/** Name of a body: its SHA-256 in hexadecimal. @public */
export function computeObjectName(body: string): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Checks the hash of a body and reads it. @public */
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
