import {SESSION_STATE_FUNCTIONS} from './function_lists.js';
import {
  getBuiltInName,
  isFields,
  readList,
  readNameParts,
  readNode,
  readText,
  type SyntaxFields,
} from './syntax_tree.js';

/**
 * Finds features that transaction pooling does not support, mostly because they
 * need state of one particular connection beyond the transaction.
 */

const TEMPORARY_PERSISTENCE = 't';
const TEMPORARY_SCHEMA = 'pg_temp';

/** Bit of the cursor options for WITH HOLD (CURSOR_OPT_HOLD). */
const CURSOR_OPTION_HOLD = 0x20;

/** Node kinds that are refused anywhere in a statement, with their features. */
const REFUSED_NODE_KINDS: ReadonlyMap<string, string> = new Map([
  ['ListenStmt', 'LISTEN'],
  ['UnlistenStmt', 'UNLISTEN'],
  ['NotifyStmt', 'NOTIFY'],
  ['CopyStmt', 'COPY'],
]);

const TWO_PHASE_KINDS: ReadonlySet<string> = new Set([
  'TRANS_STMT_PREPARE',
  'TRANS_STMT_COMMIT_PREPARED',
  'TRANS_STMT_ROLLBACK_PREPARED',
]);

/** Returns the first refused feature in a syntax tree, or null. @internal */
export function findRefusedFeature(value: unknown): string | null {
  if (Array.isArray(value)) {
    for (const item of value) {
      const feature = findRefusedFeature(item);
      if (feature !== null) {
        return feature;
      }
    }
    return null;
  }
  if (!isFields(value)) {
    return null;
  }
  for (const [name, child] of Object.entries(value)) {
    const feature =
      (isFields(child) ? getRefusedFeature(name, child) : null) ??
      findRefusedFeature(child);
    if (feature !== null) {
      return feature;
    }
  }
  return null;
}

function getRefusedFeature(name: string, fields: SyntaxFields): string | null {
  if (isTemporaryRelation(fields)) {
    return 'temporary tables';
  }
  switch (name) {
    case 'FuncCall':
      return getRefusedFunction(fields);
    case 'DeclareCursorStmt':
      return isHoldCursor(fields) ? 'DECLARE ... WITH HOLD' : null;
    case 'TransactionStmt':
      return getRefusedTransaction(fields);
    case 'VariableSetStmt':
      return getRefusedSetting(fields);
    default:
      return REFUSED_NODE_KINDS.get(name) ?? null;
  }
}

function isTemporaryRelation(fields: SyntaxFields): boolean {
  return (
    fields['relpersistence'] === TEMPORARY_PERSISTENCE ||
    fields['schemaname'] === TEMPORARY_SCHEMA
  );
}

function getRefusedFunction(fields: SyntaxFields): string | null {
  const name = getBuiltInName(readNameParts(fields['funcname']));
  const feature = name === null ? undefined : SESSION_STATE_FUNCTIONS.get(name);
  if (feature === undefined) {
    return null;
  }
  return name === 'set_config' && isLocalSetConfig(fields) ? null : feature;
}

/** Whether the third argument, `is_local`, is the literal true. */
function isLocalSetConfig(fields: SyntaxFields): boolean {
  const isLocal = readNode(readList(fields['args'])[2]);
  const value = isLocal?.fields['boolval'];
  return isFields(value) && value['boolval'] === true;
}

function isHoldCursor(fields: SyntaxFields): boolean {
  const options = fields['options'];
  return typeof options === 'number' && (options & CURSOR_OPTION_HOLD) !== 0;
}

function getRefusedTransaction(fields: SyntaxFields): string | null {
  const kind = readText(fields['kind']) ?? '';
  if (TWO_PHASE_KINDS.has(kind)) {
    return 'two-phase commit';
  }
  return fields['chain'] === true ? 'AND CHAIN' : null;
}

/**
 * Refuses settings that change how SQL is parsed, which would break
 * classification.
 */
function getRefusedSetting(fields: SyntaxFields): string | null {
  const name = (readText(fields['name']) ?? '').toLowerCase();
  if (name === 'standard_conforming_strings' || name === 'backslash_quote') {
    return `changing ${name}`;
  }
  if (name === 'session characteristics') {
    return 'SET SESSION CHARACTERISTICS';
  }
  return null;
}
