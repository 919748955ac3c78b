import {describe, expect, it} from 'vitest';
import type {SqlValue} from './sql_value.js';
import {
  createPrimary,
  getSqlState,
  openConnection,
  runSql,
} from './testing/instance_fixture.js';

async function createTables() {
  const {core, clock} = createPrimary();
  const connection = openConnection(core);
  const run = (sql: string, parameters: readonly SqlValue[] = []) =>
    runSql(core, connection, sql, parameters);
  await run('CREATE TABLE seat (id int PRIMARY KEY, run text, taken bool)');
  await run("INSERT INTO seat VALUES (1, 'a', true), (2, 'b', false)");
  return {core, clock, connection, run};
}

describe('statements of the stand-in', () => {
  it('selects by comparisons joined by AND', async () => {
    const {run} = await createTables();
    const sql = "SELECT run FROM seat WHERE id >= 1 AND run <> 'a'";
    expect(await run(sql)).toEqual([['b']]);
  });

  it('does not match null in a comparison', async () => {
    const {run} = await createTables();
    await run('INSERT INTO seat VALUES (3)');
    expect(await run("SELECT id FROM seat WHERE run <> 'a'")).toEqual([[2]]);
    expect(await run('SELECT id FROM seat WHERE run IS NULL')).toEqual([[3]]);
  });

  it('applies ORDER BY, LIMIT and OFFSET, and sorts null last', async () => {
    const {run} = await createTables();
    await run('INSERT INTO seat VALUES (3)');
    const sql = 'SELECT id FROM seat ORDER BY run DESC LIMIT $1 OFFSET 1';
    expect(await run(sql, [2])).toEqual([[2], [1]]);
  });

  it('counts rows', async () => {
    const {run} = await createTables();
    expect(await run('SELECT count(*) AS n FROM seat')).toEqual([[2]]);
  });

  it('returns the rows affected by INSERT, UPDATE and DELETE', async () => {
    const {run} = await createTables();
    const inserted = await run(
      "INSERT INTO seat VALUES (1, 'x'), (5, 'y') ON CONFLICT DO NOTHING RETURNING id",
    );
    const updated = await run(
      'UPDATE seat SET id = id + 1 WHERE id = 5 RETURNING *',
    );
    const deleted = await run('DELETE FROM seat WHERE id > 5 RETURNING id');
    expect([inserted, updated, deleted]).toEqual([
      [[5]],
      [[6, 'y', null]],
      [[6]],
    ]);
  });

  it('computes the rows of generate_series lazily', async () => {
    const {core, connection} = await createTables();
    const plan = core.statements.getPlan(
      'SELECT n FROM generate_series(1, 1000000000) AS g(n) WHERE n > 2',
    );
    const result = connection.execute(plan, []);
    if (result instanceof Promise) {
      throw new Error('The statement did not run synchronously');
    }
    expect(result.rows[Symbol.iterator]().next().value).toEqual([3]);
  });

  it.each([
    ['SELECT * FROM nothing', '42P01'],
    ['SELECT nothing FROM seat', '42703'],
    ['SELEC 1', '42601'],
    ['CREATE TABLE seat (id int PRIMARY KEY)', '42P07'],
    ["INSERT INTO seat VALUES (1, 'x')", '23505'],
    ["INSERT INTO seat VALUES (8, 'x'), (8, 'y')", '23505'],
    ['UPDATE seat SET id = 1 WHERE id = 2', '23505'],
    ['INSERT INTO seat VALUES (NULL)', '23502'],
    ["INSERT INTO seat VALUES ('x')", '22P02'],
    ['INSERT INTO seat VALUES (3000000000)', '22003'],
    ['SELECT 1 / 0', '22012'],
    ['SHOW nothing', '42704'],
    ['SELECT now()', '0A000'],
    ['SELECT * FROM seat WHERE id = 1 OR id = 2', '0A000'],
    ['SELECT run, count(*) FROM seat GROUP BY run', '0A000'],
    ['SELECT * FROM seat a JOIN seat b ON a.id = b.id', '0A000'],
    ['SAVEPOINT s', '0A000'],
    ['DROP TABLE seat', '0A000'],
    ['CREATE TABLE other (id int)', '0A000'],
    ['INSERT INTO seat SELECT 1', '0A000'],
  ])('rejects %s with %s and changes no row', async (sql, sqlState) => {
    const {run} = await createTables();
    expect(await getSqlState(run(sql))).toBe(sqlState);
    expect(await run('SELECT count(*) FROM seat')).toEqual([[2]]);
  });
});

describe('transactions of the stand-in', () => {
  it('fails a second INSERT of a key with 23505 once the first commits', async () => {
    const {core, run} = await createTables();
    const second = openConnection(core);
    await run('BEGIN');
    await run('INSERT INTO seat VALUES (7)');
    const waiting = runSql(core, second, 'INSERT INTO seat VALUES (7)');
    await run('COMMIT');
    expect(await getSqlState(waiting)).toBe('23505');
  });

  it('completes a second INSERT of a key once the first rolls back', async () => {
    const {core, run} = await createTables();
    const second = openConnection(core);
    await run('BEGIN');
    await run('INSERT INTO seat VALUES (7)');
    const waiting = runSql(core, second, 'INSERT INTO seat VALUES (7)');
    await run('ROLLBACK');
    expect(await getSqlState(waiting)).toBeNull();
  });

  it('releases the row locks and slots of a connection that closes', async () => {
    const {core, connection, run} = await createTables();
    const second = openConnection(core);
    await run('BEGIN');
    await run('SELECT * FROM seat WHERE id = 1 FOR UPDATE');
    const waiting = runSql(core, second, 'DELETE FROM seat WHERE id = 1');
    connection.close();
    expect(await getSqlState(waiting)).toBeNull();
    expect(core.slots.getUsedSlots()).toBe(0);
    expect(core.getConnectionCount()).toBe(1);
  });

  it('fails a statement that waits for a row lock after the lock timeout', async () => {
    const {core, clock, run} = await createTables();
    const second = openConnection(core);
    await run('BEGIN');
    await run('UPDATE seat SET taken = false WHERE id = 1');
    const waiting = runSql(core, second, 'DELETE FROM seat WHERE id = 1');
    clock.advance(10_000);
    expect(await getSqlState(waiting)).toBe('55P03');
  });

  it('fails one statement when two transactions wait for each other', async () => {
    const {core, run} = await createTables();
    const second = openConnection(core);
    await run('BEGIN');
    await run('DELETE FROM seat WHERE id = 1');
    await runSql(core, second, 'BEGIN');
    await runSql(core, second, 'DELETE FROM seat WHERE id = 2');
    const waiting = run('DELETE FROM seat WHERE id = 2');
    const closing = runSql(core, second, 'DELETE FROM seat WHERE id = 1');
    expect(await getSqlState(closing)).toBe('40P01');
    await runSql(core, second, 'ROLLBACK');
    expect(await getSqlState(waiting)).toBeNull();
  });

  it('accepts only the end of the transaction after a failed statement', async () => {
    const {run, connection} = await createTables();
    await run('BEGIN');
    await run('DELETE FROM seat WHERE id = 1');
    expect(await getSqlState(run('SELECT 1 / 0'))).toBe('22012');
    expect(await getSqlState(run('SELECT 1'))).toBe('25P02');
    expect(connection.getTransactionStatus()).toBe('E');
    await run('COMMIT');
    expect(await run('SELECT count(*) FROM seat')).toEqual([[2]]);
  });

  it('reverts SET on rollback and SET LOCAL at the end of the transaction', async () => {
    const {run} = await createTables();
    await run("SET a.b = 'before'");
    await run('BEGIN');
    await run("SET a.b = 'inside'");
    await run('ROLLBACK');
    expect(await run('SHOW a.b')).toEqual([['before']]);
    await run('BEGIN');
    await run("SET LOCAL a.b = 'local'");
    expect(await run('SHOW a.b')).toEqual([['local']]);
    await run('COMMIT');
    expect(await run('SHOW a.b')).toEqual([['before']]);
  });

  it('rolls back open transactions and refuses writes after its term was raised', async () => {
    const {core, run} = await createTables();
    await run('BEGIN');
    await run('DELETE FROM seat WHERE id = 1');
    void core.callGroupFunction('group_raise_term', [2, 'claim']);
    const other = openConnection(core);
    const sql = 'DELETE FROM seat';
    expect(await getSqlState(runSql(core, other, sql))).toBe('25006');
    const count = 'SELECT count(*) FROM seat';
    expect(await runSql(core, other, count)).toEqual([[2]]);
  });
});

describe('slots of the stand-in', () => {
  it('queues statements when no slot is free', async () => {
    const {core, clock} = createPrimary({
      slots: 1,
      maxConnections: 10,
      connectTimeMs: 0,
      serviceTimeMs: 0,
      lockTimeoutMs: 1000,
    });
    const sleeper = openConnection(core);
    const reader = openConnection(core);
    const sleeping = runSql(core, sleeper, 'SELECT pg_sleep(1)');
    const reading = runSql(core, reader, 'SELECT 1');
    expect(core.slots.getWaiterCount()).toBe(1);
    clock.advance(1000);
    expect(await sleeping).toEqual([['']]);
    expect(await reading).toEqual([[1]]);
  });

  it('cancels a sleeping statement and releases its slot', async () => {
    const {core} = createPrimary();
    const connection = openConnection(core);
    const sleeping = runSql(core, connection, 'SELECT pg_sleep(1)');
    connection.cancel();
    expect(await getSqlState(sleeping)).toBe('57014');
    expect(core.slots.getUsedSlots()).toBe(0);
  });
});
