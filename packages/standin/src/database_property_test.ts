import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {DatabaseConnection} from './database_connection.js';
import type {InstanceCore} from './instance_core.js';
import {
  createPrimary,
  getSqlState,
  openConnection,
  runSql,
} from './testing/instance_fixture.js';

const CONNECTION_COUNT = 3;

interface Operation {
  readonly connection: number;
  readonly kind:
    'begin' | 'commit' | 'rollback' | 'insert' | 'update' | 'delete' | 'read';
  readonly key: number;
  readonly value: number;
}

interface ModelTransaction {
  readonly changes: Map<number, number | null>;
  hasFailed: boolean;
}

/** Reference model: a map of rows, and a map of changes per transaction. */
class Model {
  readonly committed = new Map<number, number>();
  readonly open = new Map<number, ModelTransaction>();

  get(connection: number, key: number): number | null {
    const staged = this.open.get(connection)?.changes.get(key);
    return staged === undefined ? (this.committed.get(key) ?? null) : staged;
  }

  isLockedByOther(connection: number, key: number): boolean {
    for (const [owner, transaction] of this.open) {
      if (owner !== connection && transaction.changes.has(key)) {
        return true;
      }
    }
    return false;
  }

  set(connection: number, key: number, value: number | null): void {
    const transaction = this.open.get(connection);
    if (transaction !== undefined) {
      transaction.changes.set(key, value);
    } else if (value === null) {
      this.committed.delete(key);
    } else {
      this.committed.set(key, value);
    }
  }

  fail(connection: number): void {
    const transaction = this.open.get(connection);
    if (transaction !== undefined) {
      transaction.hasFailed = true;
      transaction.changes.clear();
    }
  }

  end(connection: number, isCommitted: boolean): void {
    const transaction = this.open.get(connection);
    this.open.delete(connection);
    if (transaction === undefined || !isCommitted || transaction.hasFailed) {
      return;
    }
    for (const [key, value] of transaction.changes) {
      this.set(connection, key, value);
    }
  }
}

async function runOperation(
  model: Model,
  core: InstanceCore,
  connection: DatabaseConnection,
  operation: Operation,
): Promise<void> {
  const {kind, key, value} = operation;
  const owner = operation.connection;
  const run = (sql: string) => runSql(core, connection, sql);
  if (kind === 'commit' || kind === 'rollback') {
    await run(kind);
    model.end(owner, kind === 'commit');
    return;
  }
  if (model.open.get(owner)?.hasFailed === true) {
    expect(await getSqlState(run('SELECT 1'))).toBe('25P02');
    return;
  }
  if (kind === 'begin') {
    await run('BEGIN');
    if (!model.open.has(owner)) {
      model.open.set(owner, {changes: new Map(), hasFailed: false});
    }
    return;
  }
  const current = model.get(owner, key);
  if (kind === 'read') {
    const rows = await run(`SELECT v FROM t WHERE k = ${key}`);
    expect(rows).toEqual(current === null ? [] : [[current]]);
    return;
  }
  const sql = {
    insert: `INSERT INTO t VALUES (${key}, ${value})`,
    update: `UPDATE t SET v = ${value} WHERE k = ${key}`,
    delete: `DELETE FROM t WHERE k = ${key}`,
  }[kind];
  const isChange = kind === 'insert' || current !== null;
  if (isChange && model.isLockedByOther(owner, key)) {
    const waiting = run(sql);
    connection.cancel();
    expect(await getSqlState(waiting)).toBe('57014');
    model.fail(owner);
    return;
  }
  if (kind === 'insert' && current !== null) {
    expect(await getSqlState(run(sql))).toBe('23505');
    model.fail(owner);
    return;
  }
  await run(sql);
  if (isChange) {
    model.set(owner, key, kind === 'delete' ? null : value);
  }
}

const operationArbitrary: fc.Arbitrary<Operation> = fc.record({
  connection: fc.integer({min: 0, max: CONNECTION_COUNT - 1}),
  kind: fc.constantFrom(
    'begin',
    'commit',
    'rollback',
    'insert',
    'insert',
    'update',
    'delete',
    'read',
  ),
  key: fc.integer({min: 1, max: 4}),
  value: fc.integer({min: 0, max: 99}),
});

describe('tables and transactions compared with a reference model', () => {
  it('match the model, and undoing the whole log removes the table', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(operationArbitrary, {maxLength: 80}),
        async operations => {
          const {core} = createPrimary();
          core.runStatement('CREATE TABLE t (k int PRIMARY KEY, v int)');
          const model = new Model();
          const connections = Array.from({length: CONNECTION_COUNT}, () =>
            openConnection(core),
          );
          for (const operation of operations) {
            const connection = connections[operation.connection];
            if (connection !== undefined) {
              await runOperation(model, core, connection, operation);
            }
          }
          const {rows} = core.database.getTable('t');
          const found = new Map([...rows].map(([key, row]) => [key, row[1]]));
          expect(found).toEqual(model.committed);
          undoAll(core);
          expect(core.database.findTable('t')).toBeNull();
        },
      ),
      {numRuns: 300, seed: 20_262},
    );
  });
});

/** Undoes every commit, as truncating the whole log would. */
function undoAll(core: InstanceCore): void {
  for (const record of core.replication.getLog().truncateFrom(1)) {
    if (record.body.kind === 'change') {
      core.database.undo(record.body.change);
    }
  }
}
