import {createHash} from 'node:crypto';

/**
 * Hashes a statement and its parameters, to detect an idempotency key that is
 * reused with another statement. Each part is prefixed with its length, so that
 * different parts never hash as the same text.
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
