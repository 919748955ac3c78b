/**
 * Parses the idempotency key of a statement from a leading comment of the form
 * `request_key='…'`.
 */

/** Maximum length of an idempotency key, in characters. @public */
export const MAX_REQUEST_KEY_LENGTH = 128;

const COMMENT_START_PATTERN = /^\s*\/\*\s*request_key\b/i;

/**
 * Excludes quotes, slashes and asterisks, so that no key can end the comment.
 */
const COMMENT_PATTERN = new RegExp(
  `^\\s*/\\*\\s*request_key\\s*=\\s*'([^'*/\\\\\\x00-\\x1f]{1,${MAX_REQUEST_KEY_LENGTH}})'\\s*\\*/`,
  'i',
);

/** Result of parsing the leading request key comment of a text. @internal */
export type RequestKeyComment =
  | {readonly kind: 'absent'}
  | {readonly kind: 'malformed'}
  | {
      readonly kind: 'present';
      readonly requestKey: string;
      /** The text after the comment. */
      readonly statementText: string;
    };

/** Parses the leading request key comment of a text. @internal */
export function readRequestKeyComment(sql: string): RequestKeyComment {
  if (!COMMENT_START_PATTERN.test(sql)) {
    return {kind: 'absent'};
  }
  const match = COMMENT_PATTERN.exec(sql);
  const requestKey = match?.[1];
  if (match === null || requestKey === undefined) {
    return {kind: 'malformed'};
  }
  const statementText = sql.slice(match[0].length);
  return {kind: 'present', requestKey, statementText};
}
