import {describe, expect, it} from 'vitest';
import {splitStatements} from './statement_splitter.js';

describe('splitStatements', () => {
  it.each([
    ['SELECT 1', ['SELECT 1']],
    [' SELECT 1 ; ; SELECT 2;', ['SELECT 1', 'SELECT 2']],
    ["SELECT 'a;b''c;'", ["SELECT 'a;b''c;'"]],
    ['SELECT "a;b"', ['SELECT "a;b"']],
    ['SELECT $x$ ; $x$; SELECT 2', ['SELECT $x$ ; $x$', 'SELECT 2']],
    ['SELECT $1; SELECT $2', ['SELECT $1', 'SELECT $2']],
    ['-- a;b\nSELECT 1', ['SELECT 1']],
    ['/* a /* b; */ c; */ SELECT 1 -- end', ['SELECT 1']],
    ['/* open', []],
    ['', []],
  ])('splits %j', (sql, statements) => {
    expect(splitStatements(sql)).toEqual(statements);
  });
});
