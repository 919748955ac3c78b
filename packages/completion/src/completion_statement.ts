/**
 * SQL statements on the completion table. A record states that the request with
 * its key was executed. It is written in the transaction of the request.
 */

/** Name of the completion table in each database group. @public */
export const COMPLETION_TABLE = 'filbertrun_completion';

/** Time for which records are kept and keys are recognized. @public */
export const COMPLETION_RETENTION_MS = 24 * 60 * 60 * 1000;

/** Maximum length of a response in its stored form, in characters. @public */
export const MAX_STORED_ANSWER_LENGTH = 65_536;

/** Row of the completion table. @public */
export interface CompletionRecord {
  readonly requestKey: string;
  /** Hash of the statement and its parameters. */
  readonly statementHash: string;
  /** Response in its stored form, which is opaque to this package. */
  readonly answer: string;
  /**
   * Wall-clock time of the proxy in milliseconds since the Unix epoch. Used
   * only for retention.
   */
  readonly completedAtMs: number;
}

/** Returns the statement that creates the completion table. @public */
export function createTableSql(): string {
  return (
    `CREATE TABLE ${COMPLETION_TABLE} (request_key text PRIMARY KEY, ` +
    'statement_hash text, answer text, completed_at bigint)'
  );
}

/**
 * Returns the statement that inserts a record. It fails with a unique violation
 * if the key exists, which aborts the transaction.
 *
 * @public
 */
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

/** Returns the query for the record of a key. @public */
export function createLookupSql(requestKey: string): string {
  return (
    `SELECT statement_hash, answer FROM ${COMPLETION_TABLE} ` +
    `WHERE request_key = ${quoteLiteral(requestKey)}`
  );
}

/** Returns the statement that deletes expired records. @public */
export function createRetentionSql(nowMs: number): string {
  const oldestMs = Math.floor(nowMs - COMPLETION_RETENTION_MS);
  return `DELETE FROM ${COMPLETION_TABLE} WHERE completed_at < ${oldestMs}`;
}

function quoteLiteral(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}
