import {
  PLAIN_FUNCTIONS,
  PLAIN_OPERATORS,
  PLAIN_TYPES,
} from './plain_functions.js';
import {
  getCatalogueName,
  isFields,
  readList,
  readNameParts,
  readNode,
  readText,
  type SyntaxFields,
} from './syntax_tree.js';

/**
 * Decides whether a SELECT is provably a plain read, and names its tables.
 * Only node kinds that are known to have no effect are let through.
 */

/** Node kinds without an effect of their own; their parts are examined too. */
const PLAIN_NODE_KINDS: ReadonlySet<string> = new Set([
  'A_ArrayExpr',
  'A_Const',
  'A_Indices',
  'A_Indirection',
  'A_Star',
  'Alias',
  'BitString',
  'Boolean',
  'BooleanTest',
  'BoolExpr',
  'CaseExpr',
  'CaseWhen',
  'CoalesceExpr',
  'CollateClause',
  'ColumnRef',
  'CommonTableExpr',
  'Float',
  'GroupingFunc',
  'GroupingSet',
  'Integer',
  'JoinExpr',
  'List',
  'MinMaxExpr',
  'NamedArgExpr',
  'NullTest',
  'ParamRef',
  'RangeSubselect',
  'ResTarget',
  'RowExpr',
  'SelectStmt',
  'SortBy',
  'SQLValueFunction',
  'String',
  'SubLink',
  'WindowDef',
]);

const PUBLIC_SCHEMA = 'public';

/** Names of the common table expressions in scope. */
type Scope = ReadonlySet<string>;

const EMPTY_SCOPE: Scope = new Set();

/** Tables that a plain read names, or null when it may be more than that. @internal */
export function findReadTables(
  selectFields: SyntaxFields,
): readonly string[] | null {
  const analysis = ReadAnalysis.create();
  if (!analysis.isPlainSelect(selectFields)) {
    return null;
  }
  return analysis.getTables();
}

class ReadAnalysis {
  private readonly tables = new Set<string>();

  private constructor() {}

  static create(): ReadAnalysis {
    return new ReadAnalysis();
  }

  getTables(): readonly string[] {
    return [...this.tables].sort();
  }

  isPlainSelect(fields: SyntaxFields): boolean {
    return this.areFieldsPlain(fields, EMPTY_SCOPE);
  }

  private areFieldsPlain(fields: SyntaxFields, outer: Scope): boolean {
    if ('intoClause' in fields || 'lockingClause' in fields) {
      return false;
    }
    const scope = this.readWithClause(fields['withClause'], outer);
    if (scope === null) {
      return false;
    }
    for (const [name, value] of Object.entries(fields)) {
      if (name !== 'withClause' && !this.isPlain(name, value, scope)) {
        return false;
      }
    }
    return true;
  }

  private isPlain(name: string, value: unknown, scope: Scope): boolean {
    if (Array.isArray(value)) {
      return this.areAllPlain(value, scope);
    }
    if (!isFields(value)) {
      return true;
    }
    if (name === 'typeName') {
      return isPlainType(value);
    }
    if (/^[A-Z]/.test(name)) {
      return this.isPlainNode(name, value, scope);
    }
    return this.areFieldsPlain(value, scope);
  }

  private areAllPlain(values: readonly unknown[], scope: Scope): boolean {
    for (const value of values) {
      if (!this.isPlain('', value, scope)) {
        return false;
      }
    }
    return true;
  }

  private isPlainNode(
    kind: string,
    fields: SyntaxFields,
    scope: Scope,
  ): boolean {
    switch (kind) {
      case 'RangeVar':
        return this.addTable(fields, scope);
      case 'FuncCall':
        return isPlainFunction(fields) && this.areFieldsPlain(fields, scope);
      case 'A_Expr':
        return isPlainOperator(fields) && this.areFieldsPlain(fields, scope);
      case 'TypeCast':
      case 'RangeFunction':
        return this.areFieldsPlain(fields, scope);
      default:
        return (
          PLAIN_NODE_KINDS.has(kind) &&
          hasPlainOperatorFields(fields) &&
          this.areFieldsPlain(fields, scope)
        );
    }
  }

  /** Adds the table of a FROM item unless it names a common table expression. */
  private addTable(fields: SyntaxFields, scope: Scope): boolean {
    const table = readText(fields['relname']);
    const schema = readText(fields['schemaname']);
    if (table === null || 'catalogname' in fields) {
      return false;
    }
    if (schema === null && scope.has(table)) {
      return true;
    }
    const isPublic = schema === null || schema === PUBLIC_SCHEMA;
    this.tables.add(isPublic ? table : `${schema}.${table}`);
    return true;
  }

  /**
   * Examines the queries of a WITH clause. Returns the scope of the statement
   * that it belongs to, or null when a query is not plain.
   */
  private readWithClause(clause: unknown, outer: Scope): Scope | null {
    if (!isFields(clause)) {
      return outer;
    }
    const isRecursive = clause['recursive'] === true;
    const scope = new Set(outer);
    const expressions = readList(clause['ctes']).map(readNode);
    for (const expression of expressions) {
      const name = readText(expression?.fields['ctename']);
      if (isRecursive && name !== null) {
        scope.add(name);
      }
    }
    for (const expression of expressions) {
      const name = readText(expression?.fields['ctename']);
      if (expression?.kind !== 'CommonTableExpr' || name === null) {
        return null;
      }
      if (!this.isPlainNode(expression.kind, expression.fields, scope)) {
        return null;
      }
      scope.add(name);
    }
    return scope;
  }
}

function isPlainFunction(fields: SyntaxFields): boolean {
  const name = getCatalogueName(readNameParts(fields['funcname']));
  return name !== null && PLAIN_FUNCTIONS.has(name);
}

function isPlainOperator(fields: SyntaxFields): boolean {
  return isPlainOperatorName(fields['name']);
}

/** Whether the operators of a sublink or of ORDER BY ... USING are plain. */
function hasPlainOperatorFields(fields: SyntaxFields): boolean {
  for (const name of ['operName', 'useOp']) {
    if (name in fields && !isPlainOperatorName(fields[name])) {
      return false;
    }
  }
  return true;
}

function isPlainOperatorName(value: unknown): boolean {
  const name = getCatalogueName(readNameParts(value));
  if (name === null) {
    return false;
  }
  // BETWEEN and its variants appear under their keywords.
  return PLAIN_OPERATORS.has(name) || / ?BETWEEN( SYMMETRIC)?$/.test(name);
}

function isPlainType(fields: SyntaxFields): boolean {
  const name = getCatalogueName(readNameParts(fields['names']));
  return name !== null && PLAIN_TYPES.has(name);
}
