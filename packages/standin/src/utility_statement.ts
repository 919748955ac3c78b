import {SQL_STATE, SqlError} from './sql_error.js';

/**
 * Utility statements, which control a session or a transaction. They are parsed
 * here because the SQL parser library supports only some of their forms.
 */

/** A parsed utility statement. @internal */
export type UtilityStatement =
  | {readonly kind: 'begin'}
  | {readonly kind: 'commit'}
  | {readonly kind: 'rollback'}
  /** If the value is null, restores the default. */
  | {
      readonly kind: 'set';
      readonly parameter: string;
      readonly value: string | null;
      readonly isLocal: boolean;
    }
  | {readonly kind: 'setTransaction'}
  | {readonly kind: 'show'; readonly parameter: string}
  /** If the parameter is null, resets all parameters. */
  | {readonly kind: 'reset'; readonly parameter: string | null}
  | {readonly kind: 'discard'}
  | {readonly kind: 'listen'; readonly channel: string}
  /** If the channel is null, stops listening on all channels. */
  | {readonly kind: 'unlisten'; readonly channel: string | null}
  /** If the name is null, removes all prepared statements. */
  | {readonly kind: 'deallocate'; readonly name: string | null};

const NAME = String.raw`("?[A-Za-z_][\w$]*"?(?:\."?[A-Za-z_][\w$]*"?)*)`;

const BEGIN_PATTERN =
  /^(?:BEGIN|START\s+TRANSACTION)(?:\s+(?:WORK|TRANSACTION|ISOLATION|LEVEL|READ|ONLY|WRITE|COMMITTED|UNCOMMITTED|REPEATABLE|SERIALIZABLE|NOT|DEFERRABLE|,))*$/i;
const COMMIT_PATTERN = /^(?:COMMIT|END)(?:\s+(?:WORK|TRANSACTION))?$/i;
const ROLLBACK_PATTERN = /^(?:ROLLBACK|ABORT)(?:\s+(?:WORK|TRANSACTION))?$/i;
const SET_TRANSACTION_PATTERN =
  /^SET\s+(?:TRANSACTION|SESSION\s+CHARACTERISTICS)\b/i;
const SET_TIME_ZONE_PATTERN =
  /^SET\s+(?:SESSION\s+|(LOCAL)\s+)?TIME\s+ZONE\s+(.+)$/is;
const SET_PATTERN = new RegExp(
  String.raw`^SET\s+(?:SESSION\s+|(LOCAL)\s+)?${NAME}\s*(?:=|\bTO\b)\s*(.+)$`,
  'is',
);
const SHOW_PATTERN = new RegExp(`^SHOW\\s+${NAME}$`, 'i');
const RESET_PATTERN = new RegExp(`^RESET\\s+${NAME}$`, 'i');
const DISCARD_PATTERN = /^DISCARD\s+ALL$/i;
const LISTEN_PATTERN = new RegExp(`^LISTEN\\s+${NAME}$`, 'i');
const UNLISTEN_PATTERN = new RegExp(`^UNLISTEN\\s+(?:\\*|${NAME})$`, 'i');
const DEALLOCATE_PATTERN = new RegExp(
  `^DEALLOCATE\\s+(?:PREPARE\\s+)?${NAME}$`,
  'i',
);
const UTILITY_PATTERN =
  /^(?:BEGIN|START|COMMIT|END|ROLLBACK|ABORT|SET|SHOW|RESET|DISCARD|LISTEN|UNLISTEN|DEALLOCATE)\b/i;

/**
 * Parses a utility statement without its terminator and surrounding comments.
 * Returns null if it is another kind of statement; throws if it is malformed.
 *
 * @internal
 */
export function parseUtilityStatement(sql: string): UtilityStatement | null {
  if (!UTILITY_PATTERN.test(sql)) {
    return null;
  }
  const statement =
    parseTransactionStatement(sql) ??
    parseSet(sql) ??
    parseSessionStatement(sql);
  if (statement !== null) {
    return statement;
  }
  if (/^ROLLBACK\s+TO\b/i.test(sql)) {
    throw SqlError.create(
      SQL_STATE.featureNotSupported,
      'Savepoints are not supported',
    );
  }
  throw SqlError.create(
    SQL_STATE.syntaxError,
    `syntax error in "${sql.slice(0, 60)}"`,
  );
}

function parseTransactionStatement(sql: string): UtilityStatement | null {
  if (BEGIN_PATTERN.test(sql)) {
    return {kind: 'begin'};
  }
  if (COMMIT_PATTERN.test(sql)) {
    return {kind: 'commit'};
  }
  if (ROLLBACK_PATTERN.test(sql)) {
    return {kind: 'rollback'};
  }
  return SET_TRANSACTION_PATTERN.test(sql) ? {kind: 'setTransaction'} : null;
}

function parseSet(sql: string): UtilityStatement | null {
  const zone = SET_TIME_ZONE_PATTERN.exec(sql);
  if (zone !== null) {
    return createSet('timezone', zone[2] ?? '', zone[1] !== undefined);
  }
  const match = SET_PATTERN.exec(sql);
  if (match === null) {
    return null;
  }
  const [, local, parameter = '', value = ''] = match;
  return createSet(normalizeName(parameter), value, local !== undefined);
}

function createSet(
  parameter: string,
  text: string,
  isLocal: boolean,
): UtilityStatement {
  const trimmed = text.trim();
  const isDefault = /^(?:DEFAULT|LOCAL)$/i.test(trimmed);
  const value = isDefault ? null : unquoteValue(trimmed);
  return {kind: 'set', parameter, value, isLocal};
}

function parseSessionStatement(sql: string): UtilityStatement | null {
  const show = SHOW_PATTERN.exec(sql);
  if (show !== null) {
    return {kind: 'show', parameter: normalizeName(show[1] ?? '')};
  }
  const reset = RESET_PATTERN.exec(sql);
  if (reset !== null) {
    return {kind: 'reset', parameter: parseNameOrAll(reset[1])};
  }
  if (DISCARD_PATTERN.test(sql)) {
    return {kind: 'discard'};
  }
  const listen = LISTEN_PATTERN.exec(sql);
  if (listen !== null) {
    return {kind: 'listen', channel: normalizeName(listen[1] ?? '')};
  }
  const unlisten = UNLISTEN_PATTERN.exec(sql);
  if (unlisten !== null) {
    const [, channel] = unlisten;
    return {
      kind: 'unlisten',
      channel: channel === undefined ? null : normalizeName(channel),
    };
  }
  const deallocate = DEALLOCATE_PATTERN.exec(sql);
  if (deallocate !== null) {
    return {kind: 'deallocate', name: parseNameOrAll(deallocate[1])};
  }
  return null;
}

function parseNameOrAll(name = ''): string | null {
  return /^all$/i.test(name) ? null : normalizeName(name);
}

function normalizeName(name: string): string {
  return name
    .split('.')
    .map(part =>
      part.startsWith('"') ? part.slice(1, -1) : part.toLowerCase(),
    )
    .join('.');
}

function unquoteValue(text: string): string {
  if (/^'(?:[^']|'')*'$/s.test(text)) {
    return text.slice(1, -1).replaceAll("''", "'");
  }
  return text.replace(/^"(.*)"$/s, '$1');
}
