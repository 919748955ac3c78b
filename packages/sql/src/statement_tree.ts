import {findReadTables} from './read_analysis.js';
import {findRefusedFeature} from './refused_features.js';
import type {StatementClass} from './statement_class.js';
import {
  isFields,
  readList,
  readNode,
  readText,
  type SyntaxFields,
  type SyntaxNode,
} from './syntax_tree.js';

/** Classifies one parsed statement. */

const WRITE: StatementClass = {kind: 'write'};

/**
 * Names of UTF-8. In other encodings proxy and backend server could parse
 * differently.
 */
const ACCEPTED_ENCODINGS: ReadonlySet<string> = new Set([
  'utf8',
  'utf-8',
  'unicode',
]);

/** Classifies the syntax tree of one statement. @internal */
export function classifyTree(tree: unknown): StatementClass {
  const node = readNode(tree);
  if (node === null) {
    return WRITE;
  }
  const feature = findRefusedFeature(tree);
  if (feature !== null) {
    return {kind: 'refused', feature};
  }
  return classifyNode(node);
}

function classifyNode(node: SyntaxNode): StatementClass {
  const {kind, fields} = node;
  switch (kind) {
    case 'SelectStmt':
      return classifySelect(fields);
    case 'TransactionStmt':
      return classifyTransaction(fields);
    case 'VariableSetStmt':
      return classifySet(fields);
    case 'VariableShowStmt':
      return {
        kind: 'show',
        parameter: readText(fields['name']) ?? '',
      };
    case 'DiscardStmt':
      return {kind: 'discard'};
    case 'PrepareStmt':
      return {kind: 'prepare', name: readText(fields['name']) ?? ''};
    case 'ExecuteStmt':
      return {kind: 'execute', name: readText(fields['name']) ?? ''};
    case 'DeallocateStmt':
      return {kind: 'deallocate', name: readText(fields['name'])};
    default:
      return hasNestedExecute(fields)
        ? {kind: 'refused', feature: 'EXECUTE within another statement'}
        : WRITE;
  }
}

function classifySelect(fields: SyntaxFields): StatementClass {
  const tables = findReadTables(fields);
  return tables === null ? WRITE : {kind: 'read', tables};
}

function classifyTransaction(fields: SyntaxFields): StatementClass {
  const isReadOnly = hasReadOnlyOption(fields);
  switch (fields['kind']) {
    case 'TRANS_STMT_BEGIN':
    case 'TRANS_STMT_START':
      return {kind: 'transaction', action: 'begin', isReadOnly};
    case 'TRANS_STMT_COMMIT':
      return {kind: 'transaction', action: 'commit', isReadOnly: false};
    case 'TRANS_STMT_ROLLBACK':
      return {kind: 'transaction', action: 'rollback', isReadOnly: false};
    case 'TRANS_STMT_SAVEPOINT':
    case 'TRANS_STMT_RELEASE':
    case 'TRANS_STMT_ROLLBACK_TO':
      return {kind: 'transaction', action: 'savepoint', isReadOnly: false};
    default:
      return WRITE;
  }
}

function hasReadOnlyOption(fields: SyntaxFields): boolean {
  let isReadOnly = false;
  for (const item of readList(fields['options'])) {
    const option = readNode(item)?.fields ?? {};
    if (option['defname'] === 'transaction_read_only') {
      // If the option is repeated, the last one applies.
      isReadOnly = readConstant(option['arg']) === '1';
    }
  }
  return isReadOnly;
}

function classifySet(fields: SyntaxFields): StatementClass {
  const parameter = readText(fields['name'])?.toLowerCase() ?? null;
  const isLocal = fields['is_local'] === true;
  switch (fields['kind']) {
    case 'VAR_SET_VALUE':
      return classifySetValue(parameter ?? '', fields, isLocal);
    case 'VAR_SET_MULTI':
      // SET TRANSACTION applies to the current transaction only.
      return {
        kind: 'set',
        parameter: parameter ?? '',
        value: null,
        isLocal: true,
      };
    case 'VAR_SET_DEFAULT':
      return isLocal
        ? {kind: 'set', parameter: parameter ?? '', value: null, isLocal}
        : {kind: 'reset', parameter};
    case 'VAR_RESET':
      return {kind: 'reset', parameter};
    case 'VAR_RESET_ALL':
      return {kind: 'reset', parameter: null};
    default:
      return WRITE;
  }
}

function classifySetValue(
  parameter: string,
  fields: SyntaxFields,
  isLocal: boolean,
): StatementClass {
  const parts: string[] = [];
  for (const argument of readList(fields['args'])) {
    const part = readConstant(argument);
    if (part === null) {
      return WRITE;
    }
    parts.push(part);
  }
  const value = parts.join(', ');
  if (
    parameter === 'client_encoding' &&
    !ACCEPTED_ENCODINGS.has(value.toLowerCase())
  ) {
    return {kind: 'refused', feature: 'a client_encoding other than UTF8'};
  }
  return {kind: 'set', parameter, value, isLocal};
}

/** Returns the text of a constant; null for any other node. */
function readConstant(value: unknown): string | null {
  const node = readNode(value);
  if (node === null || node.kind !== 'A_Const') {
    return null;
  }
  const {fields} = node;
  // The parser omits fields whose value is zero, empty or false.
  if (isFields(fields['ival'])) {
    return String(fields['ival']['ival'] ?? 0);
  }
  if (isFields(fields['sval'])) {
    return readText(fields['sval']['sval']) ?? '';
  }
  if (isFields(fields['fval'])) {
    return readText(fields['fval']['fval']);
  }
  if (isFields(fields['boolval'])) {
    return fields['boolval']['boolval'] === true ? 'on' : 'off';
  }
  return null;
}

function hasNestedExecute(value: unknown): boolean {
  if (Array.isArray(value)) {
    return value.some(hasNestedExecute);
  }
  if (!isFields(value)) {
    return false;
  }
  return 'ExecuteStmt' in value || Object.values(value).some(hasNestedExecute);
}
