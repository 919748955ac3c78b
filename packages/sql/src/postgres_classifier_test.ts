import fc from 'fast-check';
import {beforeAll, describe, expect, it} from 'vitest';
import {PostgresStatementClassifier} from './postgres_classifier.js';
import type {StatementClass} from './statement_class.js';

let classifier: PostgresStatementClassifier;

beforeAll(async () => {
  classifier = await PostgresStatementClassifier.create();
});

function classify(sql: string): StatementClass {
  return classifier.classify(sql).statementClass;
}

describe('read-only statements', () => {
  it.each([
    ['SELECT * FROM Boards WHERE id = $1', ['boards']],
    ['SELECT count(*), max(day) FROM boards GROUP BY stage', ['boards']],
    ['select 1', []],
    ['SELECT pg_sleep(0.1)', []],
    ['SELECT * FROM generate_series(1, 10)', []],
    ['TABLE boards', ['boards']],
    ['SELECT a::text FROM public.b JOIN audit.c USING (id)', ['audit.c', 'b']],
    ['SELECT 1 UNION SELECT id FROM a', ['a']],
    ['SELECT id FROM a WHERE x BETWEEN 1 AND 2 AND y IN (3, 4)', ['a']],
    ['SELECT id FROM a WHERE EXISTS (SELECT 1 FROM b)', ['a', 'b']],
    ['WITH x AS (SELECT * FROM a) SELECT * FROM x', ['a']],
    ['WITH a AS (SELECT * FROM a) SELECT * FROM a', ['a']],
    ['SELECT current_timestamp, now(), extract(year from d) FROM a', ['a']],
    ['SELECT rank() OVER (PARTITION BY x ORDER BY y) FROM a', ['a']],
    ['SELECT CASE WHEN x IS NULL THEN 1 ELSE 2 END FROM a', ['a']],
  ])('classifies %s as a read', (sql, tables) => {
    expect(classify(sql)).toEqual({kind: 'read', tables});
  });
});

describe('writes', () => {
  it.each([
    'INSERT INTO a VALUES (1)',
    'UPDATE a SET x = 1',
    'DELETE FROM a',
    'MERGE INTO a USING b ON a.id = b.id WHEN MATCHED THEN DELETE',
    'TRUNCATE a',
    'CREATE TABLE a (id int)',
    'CREATE TABLE a AS SELECT 1',
    'SELECT * INTO b FROM a',
    'SELECT * FROM a FOR UPDATE',
    'SELECT * FROM a FOR KEY SHARE',
    'SELECT * FROM (SELECT * FROM a FOR SHARE) s',
    'WITH d AS (DELETE FROM a RETURNING *) SELECT * FROM d',
    'WITH x AS (SELECT nextval($1)) SELECT * FROM x',
    "SELECT nextval('s')",
    "SELECT setval('s', 1)",
    'SELECT random()',
    'SELECT clock_timestamp()',
    'SELECT my_function()',
    'SELECT audit.count(1)',
    'SELECT * FROM a WHERE my_function(x)',
    'SELECT * FROM a ORDER BY my_function(x)',
    'SELECT * FROM my_function()',
    'SELECT count(*) FILTER (WHERE my_function(x)) FROM a',
    'SELECT sum(x) OVER (ORDER BY my_function(x)) FROM a',
    'SELECT 1 UNION SELECT my_function()',
    'SELECT * FROM a LIMIT my_function()',
    'VALUES (my_function())',
    'SELECT a OPERATOR(audit.+) b FROM c',
    'SELECT a ### b FROM c',
    'SELECT x::my_type FROM a',
    'SELECT x FROM a ORDER BY x USING ###',
    'SELECT x ### ANY (SELECT y FROM b) FROM a',
    'SELECT * FROM a TABLESAMPLE my_method(1)',
    'SELECT pg_advisory_xact_lock(1)',
    "SELECT set_config('a.b', 'c', true)",
    'CALL my_procedure()',
    'DO $$ BEGIN END $$',
    'LOCK TABLE a',
    'EXPLAIN ANALYZE DELETE FROM a',
    'this is not SQL',
    'SELECT 1\0; DELETE FROM a',
  ])('counts %j as a write', sql => {
    expect(classify(sql)).toEqual({kind: 'write'});
  });
});

describe('features that transaction pooling does not support', () => {
  it.each([
    ['LISTEN a', 'LISTEN'],
    ['UNLISTEN *', 'UNLISTEN'],
    ['NOTIFY a', 'NOTIFY'],
    ["SELECT pg_notify('a', 'b')", 'NOTIFY'],
    ['SELECT pg_advisory_lock(1)', 'session advisory locks'],
    ['SELECT pg_catalog.pg_try_advisory_lock(1)', 'session advisory locks'],
    ['INSERT INTO a SELECT pg_advisory_unlock(1)', 'session advisory locks'],
    ['CREATE TEMP TABLE a (id int)', 'temporary tables'],
    ['CREATE TEMPORARY TABLE a AS SELECT 1', 'temporary tables'],
    ['SELECT 1 INTO TEMP a', 'temporary tables'],
    ['CREATE TEMP VIEW a AS SELECT 1', 'temporary tables'],
    ['CREATE TABLE pg_temp.a (id int)', 'temporary tables'],
    ['DECLARE c CURSOR WITH HOLD FOR SELECT 1', 'DECLARE ... WITH HOLD'],
    ['COPY a FROM STDIN', 'COPY'],
    ["PREPARE TRANSACTION 'x'", 'two-phase commit'],
    ["COMMIT PREPARED 'x'", 'two-phase commit'],
    ['COMMIT AND CHAIN', 'AND CHAIN'],
    ['PREPARE p AS SELECT pg_advisory_lock(1)', 'session advisory locks'],
    ['EXPLAIN EXECUTE p', 'EXECUTE within another statement'],
    ["SELECT set_config('a.b', 'c', false)", 'set_config()'],
    ["SELECT currval('s')", 'currval() and lastval()'],
    [
      'SET standard_conforming_strings = off',
      'changing standard_conforming_strings',
    ],
    ["SET client_encoding = 'SJIS'", 'a client_encoding other than UTF8'],
    [
      'SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY',
      'SET SESSION CHARACTERISTICS',
    ],
  ])('refuses %s', (sql, feature) => {
    expect(classify(sql)).toEqual({kind: 'refused', feature});
  });

  it('classifies a cursor without hold as a write', () => {
    expect(classify('DECLARE c CURSOR FOR SELECT 1')).toEqual({kind: 'write'});
  });
});

describe('session statements', () => {
  it.each<[string, StatementClass]>([
    [
      "SET filbertrun.session_token = 'abc'",
      {
        kind: 'set',
        parameter: 'filbertrun.session_token',
        value: 'abc',
        isLocal: false,
      },
    ],
    [
      'SET LOCAL Work_Mem TO 64',
      {kind: 'set', parameter: 'work_mem', value: '64', isLocal: true},
    ],
    [
      'SET search_path TO a, b',
      {kind: 'set', parameter: 'search_path', value: 'a, b', isLocal: false},
    ],
    [
      'SET enable_seqscan = off',
      {kind: 'set', parameter: 'enable_seqscan', value: 'off', isLocal: false},
    ],
    [
      'SET x.y = 0',
      {kind: 'set', parameter: 'x.y', value: '0', isLocal: false},
    ],
    ['SET a TO DEFAULT', {kind: 'reset', parameter: 'a'}],
    ['RESET a', {kind: 'reset', parameter: 'a'}],
    ['RESET ALL', {kind: 'reset', parameter: null}],
    ['SHOW a', {kind: 'show', parameter: 'a'}],
    ['DISCARD ALL', {kind: 'discard'}],
    ['PREPARE p AS SELECT 1', {kind: 'prepare', name: 'p'}],
    ['EXECUTE p', {kind: 'execute', name: 'p'}],
    ['DEALLOCATE p', {kind: 'deallocate', name: 'p'}],
    ['DEALLOCATE ALL', {kind: 'deallocate', name: null}],
    ['BEGIN', {kind: 'transaction', action: 'begin', isReadOnly: false}],
    [
      'START TRANSACTION READ ONLY',
      {kind: 'transaction', action: 'begin', isReadOnly: true},
    ],
    [
      'BEGIN READ WRITE',
      {kind: 'transaction', action: 'begin', isReadOnly: false},
    ],
    ['END', {kind: 'transaction', action: 'commit', isReadOnly: false}],
    ['ABORT', {kind: 'transaction', action: 'rollback', isReadOnly: false}],
    [
      'ROLLBACK TO a',
      {kind: 'transaction', action: 'savepoint', isReadOnly: false},
    ],
    ['', {kind: 'empty'}],
    [' ; -- nothing', {kind: 'empty'}],
  ])('classifies %j', (sql, expected) => {
    expect(classify(sql)).toEqual(expected);
  });

  it('classifies each statement of a text with several', () => {
    expect(classify('SELECT 1; DELETE FROM a')).toEqual({
      kind: 'multiple',
      statements: [{kind: 'read', tables: []}, {kind: 'write'}],
    });
  });
});

describe('the request key comment', () => {
  it('is parsed and excluded from the cached text', async () => {
    const newClassifier = await PostgresStatementClassifier.create();
    const first = newClassifier.classify("/*request_key='k-1'*/ SELECT 1");
    newClassifier.classify(" /* request_key = 'k-2' */ SELECT 1");
    expect(first).toEqual({
      statementClass: {kind: 'read', tables: []},
      requestKey: 'k-1',
    });
    expect(newClassifier.cachedTexts).toBe(1);
  });

  it.each(["/*request_key=''*/", '/*request_key=a*/', "/*request_key='a/*'*/"])(
    'is refused when malformed: %s',
    comment => {
      expect(classify(`${comment} DELETE FROM a`).kind).toBe('refused');
    },
  );

  it('is ignored if it is not at the start of the text', () => {
    expect(classifier.classify("SELECT 1 /*request_key='a'*/")).toMatchObject({
      requestKey: null,
    });
  });
});

describe('the cache', () => {
  it('has a maximum number of entries and excludes long texts', async () => {
    const newClassifier = await PostgresStatementClassifier.create({
      maxEntries: 3,
      maxCachedTextCharacters: 20,
    });
    for (let index = 0; index < 10; index++) {
      newClassifier.classify(`SELECT ${index}`);
    }
    expect(newClassifier.cachedTexts).toBe(3);
    newClassifier.classify(`SELECT '${'x'.repeat(30)}'`);
    expect(newClassifier.cachedTexts).toBe(3);
  });
});

describe('comments, whitespace and letter case', () => {
  const separators = fc.constantFrom(
    ' ',
    '\n',
    '\t ',
    ' /* SELECT */ ',
    ' /* a /* b */ c */ ',
    ' -- comment\n',
  );
  const writes = fc.constantFrom(
    ['DELETE', 'FROM', 'a'],
    ['SELECT', '*', 'FROM', 'a', 'FOR', 'UPDATE'],
    ['SELECT', '*', 'INTO', 'b', 'FROM', 'a'],
    ['SELECT', 'nextval', '(', "'s'", ')'],
    ['WITH', 'd', 'AS', '(', 'DELETE', 'FROM', 'a', ')', 'SELECT', '1'],
    ['SELECT', '1', ';', 'DELETE', 'FROM', 'a'],
  );

  function isOnlyReads(statementClass: StatementClass): boolean {
    return statementClass.kind === 'multiple'
      ? statementClass.statements.every(isOnlyReads)
      : statementClass.kind === 'read' || statementClass.kind === 'empty';
  }

  it('never cause a write to be classified as a read', () => {
    const spelledWrites = writes.chain(words =>
      fc
        .tuple(
          fc.array(separators, {
            minLength: words.length + 1,
            maxLength: words.length + 1,
          }),
          fc.array(fc.boolean(), {
            minLength: words.length,
            maxLength: words.length,
          }),
        )
        .map(([gaps, cases]) => {
          const spelled = words.map((word, index) =>
            cases[index] === true ? word.toLowerCase() : word,
          );
          return spelled
            .map((word, index) => `${gaps[index] ?? ' '}${word}`)
            .join('')
            .concat(gaps[words.length] ?? '');
        }),
    );
    fc.assert(
      fc.property(spelledWrites, sql => !isOnlyReads(classify(sql))),
      {seed: 11, numRuns: 500},
    );
  });

  it('of random texts never make the classifier throw', () => {
    fc.assert(
      fc.property(fc.string({unit: 'binary', maxLength: 60}), sql => {
        classify(sql);
      }),
      {seed: 12, numRuns: 500},
    );
  });
});
