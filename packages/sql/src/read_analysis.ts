import {
  READ_ONLY_FUNCTIONS,
  READ_ONLY_OPERATORS,
  READ_ONLY_TYPES,
} from './function_lists.js';
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
 * Determines whether a SELECT is provably read-only, and which tables it reads.
 * Only node kinds that are known to have no side effects are allowed.
 */

/**
 * Node kinds without side effects of their own; child nodes are checked too.
 */
const READ_ONLY_NODE_KINDS: ReadonlySet<string> = new Set([
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

/**
 * Returns the tables of a read-only SELECT; null if it may have side effects.
 *
 * @internal
 */
export function findReadTables(
  selectFields: SyntaxFields,
): readonly string[] | null {
  const analysis = ReadAnalysis.create();
  if (!analysis.isReadOnlySelect(selectFields)) {
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

  isReadOnlySelect(fields: SyntaxFields): boolean {
    return this.areFieldsReadOnly(fields, EMPTY_SCOPE);
  }

  private areFieldsReadOnly(fields: SyntaxFields, outer: Scope): boolean {
    if ('intoClause' in fields || 'lockingClause' in fields) {
      return false;
    }
    const scope = this.analyzeWithClause(fields['withClause'], outer);
    if (scope === null) {
      return false;
    }
    for (const [name, value] of Object.entries(fields)) {
      if (name !== 'withClause' && !this.isReadOnly(name, value, scope)) {
        return false;
      }
    }
    return true;
  }

  private isReadOnly(name: string, value: unknown, scope: Scope): boolean {
    if (Array.isArray(value)) {
      return this.areAllReadOnly(value, scope);
    }
    if (!isFields(value)) {
      return true;
    }
    if (name === 'typeName') {
      return isReadOnlyType(value);
    }
    if (/^[A-Z]/.test(name)) {
      return this.isReadOnlyNode(name, value, scope);
    }
    return this.areFieldsReadOnly(value, scope);
  }

  private areAllReadOnly(values: readonly unknown[], scope: Scope): boolean {
    for (const value of values) {
      if (!this.isReadOnly('', value, scope)) {
        return false;
      }
    }
    return true;
  }

  private isReadOnlyNode(
    kind: string,
    fields: SyntaxFields,
    scope: Scope,
  ): boolean {
    switch (kind) {
      case 'RangeVar':
        return this.addTable(fields, scope);
      case 'FuncCall':
        return isReadOnlyFunc(fields) && this.areFieldsReadOnly(fields, scope);
      case 'A_Expr':
        return isReadOnlyOp(fields) && this.areFieldsReadOnly(fields, scope);
      case 'TypeCast':
      case 'RangeFunction':
        return this.areFieldsReadOnly(fields, scope);
      default:
        return (
          READ_ONLY_NODE_KINDS.has(kind) &&
          hasReadOnlyOperatorFields(fields) &&
          this.areFieldsReadOnly(fields, scope)
        );
    }
  }

  /** Adds the table of a FROM item unless it is a common table expression. */
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
   * Checks the queries of a WITH clause. Returns the scope of the enclosing
   * statement, or null if a query is not read-only.
   */
  private analyzeWithClause(clause: unknown, outer: Scope): Scope | null {
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
      if (!this.isReadOnlyNode(expression.kind, expression.fields, scope)) {
        return null;
      }
      scope.add(name);
    }
    return scope;
  }
}

function isReadOnlyFunc(fields: SyntaxFields): boolean {
  const name = getBuiltInName(readNameParts(fields['funcname']));
  return name !== null && READ_ONLY_FUNCTIONS.has(name);
}

function isReadOnlyOp(fields: SyntaxFields): boolean {
  return isReadOnlyOperatorName(fields['name']);
}

/** Whether the operators of a sublink or of ORDER BY ... USING are allowed. */
function hasReadOnlyOperatorFields(fields: SyntaxFields): boolean {
  for (const name of ['operName', 'useOp']) {
    if (name in fields && !isReadOnlyOperatorName(fields[name])) {
      return false;
    }
  }
  return true;
}

function isReadOnlyOperatorName(value: unknown): boolean {
  const name = getBuiltInName(readNameParts(value));
  if (name === null) {
    return false;
  }
  // The parser reports BETWEEN and its variants by their keywords.
  return READ_ONLY_OPERATORS.has(name) || / ?BETWEEN( SYMMETRIC)?$/.test(name);
}

function isReadOnlyType(fields: SyntaxFields): boolean {
  const name = getBuiltInName(readNameParts(fields['names']));
  return name !== null && READ_ONLY_TYPES.has(name);
}
