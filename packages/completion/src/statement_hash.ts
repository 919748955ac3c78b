import {createHash} from 'node:crypto';

/**
 * Hashes a statement with its parameters, so that a key that is used again
 * with another statement is noticed. Lengths separate the parts.
 *
 * @public
 */
export function hashStatement(
  sql: string,
  parameters: readonly (string | null)[] = [],
): string {
  const hash = createHash('sha256');
  for (const part of [sql, ...parameters]) {
    hash.update(part === null ? 'null;' : `${part.length}:${part};`);
  }
  return hash.digest('base64url');
}
