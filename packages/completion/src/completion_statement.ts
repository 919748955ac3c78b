/**
 * The statements on the completion table. A record says that the request with
 * this key was run; it is written in the transaction of the request itself.
 */

/** Name of the completion table in each database group. @public */
export const COMPLETION_TABLE = 'filbertrun_completion';

/** Time for which a record is kept, and so a key is known. @public */
export const COMPLETION_RETENTION_MS = 24 * 60 * 60 * 1000;

/** Longest answer that a record keeps, in characters of its stored form. @public */
export const MAX_STORED_ANSWER_LENGTH = 65_536;

/** Longest idempotency key, in characters. @public */
export const MAX_REQUEST_KEY_LENGTH = 128;

/** A completion record. @public */
export interface CompletionRecord {
  readonly requestKey: string;
  /** Hash of the statement that the key was used with. */
  readonly statementHash: string;
  /** The answer in the form in which the caller's side stored it. */
  readonly answer: string;
  /** Wall-clock time of the proxy in milliseconds since 1970; only retention uses it. */
  readonly completedAtMs: number;
}

/** Creates the completion table. @public */
export function createTableSql(): string {
  return (
    `CREATE TABLE ${COMPLETION_TABLE} (request_key text PRIMARY KEY, ` +
    'statement_hash text, answer text, completed_at bigint)'
  );
}

/** Inserts a record; a key that exists is a unique violation, which ends the transaction. @public */
export function createInsertSql(record: CompletionRecord): string {
  const values = [
    quoteLiteral(record.requestKey),
    quoteLiteral(record.statementHash),
    quoteLiteral(record.answer),
    `${Math.floor(record.completedAtMs)}`,
  ];
  return (
    `INSERT INTO ${COMPLETION_TABLE} ` +
    '(request_key, statement_hash, answer, completed_at) ' +
    `VALUES (${values.join(', ')})`
  );
}

/** Reads the record of a key. @public */
export function createLookupSql(requestKey: string): string {
  return (
    `SELECT statement_hash, answer FROM ${COMPLETION_TABLE} ` +
    `WHERE request_key = ${quoteLiteral(requestKey)}`
  );
}

/** Deletes the records whose retention is over. @public */
export function createRetentionSql(nowMs: number): string {
  const oldestMs = Math.floor(nowMs - COMPLETION_RETENTION_MS);
  return `DELETE FROM ${COMPLETION_TABLE} WHERE completed_at < ${oldestMs}`;
}

function quoteLiteral(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}
