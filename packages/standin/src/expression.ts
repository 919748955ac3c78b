import type {DataTypeDef, Expr, ExprBinary, ExprUnary} from 'pgsql-ast-parser';
import {calculate, getArithmeticType, requireNumber} from './arithmetic.js';
import type {CompiledExpression, EvaluationContext, Scope} from './scope.js';
import {SQL_STATE, SqlError, createNotSupportedError} from './sql_error.js';
import {
  compareValues,
  convertValue,
  formatValue,
  getTypeByName,
  type Row,
  type SqlType,
  type SqlValue,
} from './sql_value.js';

/**
 * Compiles expressions of the SQL parser into functions of a row and an
 * evaluation context.
 */

/** Highest parameter number; the wire protocol has a 16-bit count. */
const MAX_PARAMETERS = 65_535;

const UNNAMED_COLUMN = '?column?';

/** Compiles an expression; `hint` is the expected type, if any. @internal */
export function compileExpression(
  expression: Expr,
  scope: Scope,
  hint: SqlType | null = null,
): CompiledExpression {
  switch (expression.type) {
    case 'integer':
      return createConstant(expression.value, getIntegerType(expression.value));
    case 'numeric':
      return createConstant(expression.value, 'float8');
    case 'boolean':
      return createConstant(expression.value, 'bool');
    case 'null':
      return createConstant(null, null);
    case 'string':
      return hint === null
        ? createConstant(expression.value, 'text')
        : createConstant(convertValue(expression.value, hint), hint);
    case 'parameter':
      return compileParameter(expression.name, scope, hint);
    case 'ref':
      return compileReference(
        expression.name,
        expression.table?.name ?? null,
        scope,
      );
    case 'cast':
      return compileCast(expression.operand, expression.to, scope);
    case 'unary':
      return compileUnary(expression, scope, hint);
    case 'binary':
      return compileBinary(expression, scope, hint);
    case 'call':
      return compileCall(expression.function.name);
    default:
      throw createNotSupportedError(`The expression "${expression.type}"`);
  }
}

/** Splits an expression into its operands joined by AND. @internal */
export function splitConjunction(expression: Expr): readonly Expr[] {
  if (expression.type === 'binary' && expression.op === 'AND') {
    return [
      ...splitConjunction(expression.left),
      ...splitConjunction(expression.right),
    ];
  }
  return [expression];
}

/**
 * Compiles both operands of an operator. A typed operand determines the type of
 * an untyped one, such as a parameter.
 *
 * @internal
 */
export function compileOperands(
  expression: ExprBinary,
  scope: Scope,
): readonly [CompiledExpression, CompiledExpression] {
  const isLeftTyped = isTyped(expression.left);
  const first = isLeftTyped ? expression.left : expression.right;
  const second = isLeftTyped ? expression.right : expression.left;
  const compiledFirst = compileExpression(first, scope);
  const compiledSecond = compileExpression(second, scope, compiledFirst.type);
  return isLeftTyped
    ? [compiledFirst, compiledSecond]
    : [compiledSecond, compiledFirst];
}

function isTyped(expression: Expr): boolean {
  return (
    expression.type !== 'parameter' &&
    expression.type !== 'string' &&
    expression.type !== 'null'
  );
}

function createConstant(
  value: SqlValue,
  type: SqlType | null,
): CompiledExpression {
  return {type, name: UNNAMED_COLUMN, evaluate: () => value};
}

function getIntegerType(value: number): SqlType {
  return Math.abs(value) < 2 ** 31 ? 'int4' : 'int8';
}

function compileParameter(
  name: string,
  scope: Scope,
  hint: SqlType | null,
): CompiledExpression {
  const index = Number(name.slice(1)) - 1;
  if (!(index >= 0 && index < MAX_PARAMETERS)) {
    throw SqlError.create(
      SQL_STATE.undefinedParameter,
      `there is no parameter ${name}`,
    );
  }
  scope.recordParameter(index, hint);
  return {
    type: hint,
    name: UNNAMED_COLUMN,
    evaluate: (_, context) => context.parameters[index] ?? null,
  };
}

function compileReference(
  name: string,
  relation: string | null,
  scope: Scope,
): CompiledExpression {
  const index = scope.getColumnIndex(name, relation);
  const type = scope.columns[index]?.type ?? null;
  return {type, name, evaluate: row => row[index] ?? null};
}

function compileCast(
  operand: Expr,
  target: DataTypeDef,
  scope: Scope,
): CompiledExpression {
  if (target.kind === 'array') {
    throw createNotSupportedError('An array type');
  }
  const type = getTypeByName(target.name);
  const hint = operand.type === 'parameter' ? type : null;
  const inner = compileExpression(operand, scope, hint);
  const name = inner.name === UNNAMED_COLUMN ? type : inner.name;
  return {
    type,
    name,
    evaluate: (row, context) =>
      convertValue(inner.evaluate(row, context), type),
  };
}

function compileUnary(
  expression: ExprUnary,
  scope: Scope,
  hint: SqlType | null,
): CompiledExpression {
  if (expression.op === '-' || expression.op === '+') {
    const inner = compileExpression(expression.operand, scope, hint);
    const sign = expression.op === '-' ? -1 : 1;
    return {
      type: inner.type,
      name: UNNAMED_COLUMN,
      evaluate: (row, context) => {
        const value = inner.evaluate(row, context);
        return value === null ? null : sign * requireNumber(value);
      },
    };
  }
  const operand = compileExpression(expression.operand, scope);
  const evaluateIsNull = (row: Row, context: EvaluationContext) =>
    operand.evaluate(row, context) === null;
  switch (expression.op) {
    case 'IS NULL':
      return {type: 'bool', name: UNNAMED_COLUMN, evaluate: evaluateIsNull};
    case 'IS NOT NULL':
      return {
        type: 'bool',
        name: UNNAMED_COLUMN,
        evaluate: (row, context) => !evaluateIsNull(row, context),
      };
    default:
      throw createNotSupportedError(`The operator ${expression.op}`);
  }
}

function compileBinary(
  expression: ExprBinary,
  scope: Scope,
  hint: SqlType | null,
): CompiledExpression {
  switch (expression.op) {
    case '=':
    case '!=':
    case '<':
    case '<=':
    case '>':
    case '>=':
      return compileComparison(expression, scope);
    case '+':
    case '-':
    case '*':
    case '/':
    case '%':
      return compileArithmetic(expression, scope, hint);
    case '||':
      return compileConcatenation(expression, scope);
    default:
      throw createNotSupportedError(`The operator ${expression.op}`);
  }
}

type Comparison = (order: number) => boolean;

const COMPARISONS: Readonly<Record<string, Comparison>> = {
  '=': order => order === 0,
  '!=': order => order !== 0,
  '<': order => order < 0,
  '<=': order => order <= 0,
  '>': order => order > 0,
  '>=': order => order >= 0,
};

/** Combines two operands; the result is null if either operand is null. */
function combineNonNull(
  left: CompiledExpression,
  right: CompiledExpression,
  combine: (
    left: NonNullable<SqlValue>,
    right: NonNullable<SqlValue>,
  ) => SqlValue,
): CompiledExpression['evaluate'] {
  return (row, context) => {
    const leftValue = left.evaluate(row, context);
    const rightValue = right.evaluate(row, context);
    return leftValue === null || rightValue === null
      ? null
      : combine(leftValue, rightValue);
  };
}

function compileComparison(
  expression: ExprBinary,
  scope: Scope,
): CompiledExpression {
  const [left, right] = compileOperands(expression, scope);
  const matches = COMPARISONS[expression.op] as Comparison;
  return {
    type: 'bool',
    name: UNNAMED_COLUMN,
    evaluate: combineNonNull(left, right, (leftValue, rightValue) =>
      matches(compareValues(leftValue, rightValue)),
    ),
  };
}

function compileArithmetic(
  expression: ExprBinary,
  scope: Scope,
  hint: SqlType | null,
): CompiledExpression {
  const isLeftTyped = isTyped(expression.left);
  const operandHint = isLeftTyped || isTyped(expression.right) ? null : hint;
  const [left, right] =
    operandHint === null
      ? compileOperands(expression, scope)
      : [
          compileExpression(expression.left, scope, operandHint),
          compileExpression(expression.right, scope, operandHint),
        ];
  const type = getArithmeticType(left.type, right.type);
  const {op} = expression;
  return {
    type,
    name: UNNAMED_COLUMN,
    evaluate: combineNonNull(left, right, (leftValue, rightValue) => {
      const result = calculate(
        op,
        requireNumber(leftValue),
        requireNumber(rightValue),
      );
      return type === 'float8'
        ? result
        : convertValue(Math.trunc(result), type);
    }),
  };
}

function compileConcatenation(
  expression: ExprBinary,
  scope: Scope,
): CompiledExpression {
  const left = compileExpression(expression.left, scope, 'text');
  const right = compileExpression(expression.right, scope, 'text');
  return {
    type: 'text',
    name: UNNAMED_COLUMN,
    evaluate: combineNonNull(
      left,
      right,
      (leftValue, rightValue) =>
        formatValue(leftValue) + formatValue(rightValue),
    ),
  };
}

function compileCall(name: string): CompiledExpression {
  if (name === 'pg_backend_pid') {
    return {type: 'int4', name, evaluate: (_, context) => context.processId};
  }
  throw createNotSupportedError(`The function ${name}`);
}
