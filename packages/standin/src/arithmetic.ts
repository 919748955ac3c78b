import {SQL_STATE, SqlError} from './sql_error.js';
import type {SqlType} from './sql_value.js';

/** Returns the result type of an arithmetic operator. @internal */
export function getArithmeticType(
  left: SqlType | null,
  right: SqlType | null,
): SqlType {
  if (left === 'float8' || right === 'float8') {
    return 'float8';
  }
  return left === 'int8' || right === 'int8' ? 'int8' : 'int4';
}

/** Applies an arithmetic operator. @internal */
export function calculate(
  operator: string,
  left: number,
  right: number,
): number {
  switch (operator) {
    case '+':
      return left + right;
    case '-':
      return left - right;
    case '*':
      return left * right;
    default:
      break;
  }
  if (right === 0) {
    throw SqlError.create(SQL_STATE.divisionByZero, 'division by zero');
  }
  return operator === '/' ? left / right : left % right;
}

/** Returns a numeric operand; throws for any other type. @internal */
export function requireNumber(value: boolean | number | string): number {
  if (typeof value === 'number') {
    return value;
  }
  throw SqlError.create(
    SQL_STATE.datatypeMismatch,
    'The operand is not a number',
  );
}
