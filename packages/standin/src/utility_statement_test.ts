import {describe, expect, it} from 'vitest';
import {parseUtilityStatement} from './utility_statement.js';

describe('parseUtilityStatement', () => {
  it.each([
    ['START TRANSACTION ISOLATION LEVEL SERIALIZABLE', {kind: 'begin'}],
    ['begin read only', {kind: 'begin'}],
    ['END', {kind: 'commit'}],
    ['ABORT WORK', {kind: 'rollback'}],
    ['RESET ALL', {kind: 'reset', parameter: null}],
    ['SHOW "A".b', {kind: 'show', parameter: 'A.b'}],
    ['UNLISTEN *', {kind: 'unlisten', channel: null}],
    ['DEALLOCATE ALL', {kind: 'deallocate', name: null}],
    [
      'SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY',
      {kind: 'setTransaction'},
    ],
  ])('parses %s', (sql, statement) => {
    expect(parseUtilityStatement(sql)).toEqual(statement);
  });

  it.each([
    ["SET Filbertrun.Key = 'it''s'", 'filbertrun.key', "it's", false],
    ['SET LOCAL a TO 1', 'a', '1', true],
    ['SET a TO DEFAULT', 'a', null, false],
    ["SET TIME ZONE 'UTC'", 'timezone', 'UTC', false],
  ])('parses %s', (sql, parameter, value, isLocal) => {
    const expected = {kind: 'set', parameter, value, isLocal};
    expect(parseUtilityStatement(sql)).toEqual(expected);
  });

  it('returns null for other statements', () => {
    expect(parseUtilityStatement('SELECT 1')).toBeNull();
  });

  it.each(['SET', 'SHOW', 'BEGIN now', 'ROLLBACK TO a'])(
    'rejects the malformed statement %s',
    sql => {
      expect(() => parseUtilityStatement(sql)).toThrow();
    },
  );
});
