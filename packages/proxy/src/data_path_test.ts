import {
  EMPTY_CONFIGURATION,
  type Configuration,
  type ReadConsistency,
} from '@filbertrun/model/configuration.js';
import type pg from 'pg';
import {afterEach, describe, expect, it} from 'vitest';
import {
  DataPathHarness,
  type FakeHandlers,
  type HarnessOptions,
} from './testing/data_path_harness.js';
import type {
  FakeResponse,
  FakeConnection,
} from './testing/fake_backend_server.js';

const INSERT = "INSERT INTO bookings VALUES ('x')";
const SELECT = 'SELECT * FROM bookings';

let harness: DataPathHarness | null = null;

afterEach(async () => {
  await harness?.dispose();
  harness = null;
});

async function start(
  handlers: FakeHandlers,
  options: HarnessOptions = {},
): Promise<DataPathHarness> {
  harness = await DataPathHarness.create(handlers, options);
  return harness;
}

function createConfiguration(
  consistency: ReadConsistency,
  maxAgeMs: number | null,
): Configuration {
  const rule = {
    application: '*',
    databaseGroup: 'sched-db-1',
    table: '*',
    consistency,
    maxAgeMs,
    priority: 'normal',
  } as const;
  return {...EMPTY_CONFIGURATION, readRules: [rule]};
}

function createRowResponse(
  value: string,
  position: string | null,
): FakeResponse {
  return {kind: 'rows', values: [value], position};
}

function createWriteResponse(position: string): FakeResponse {
  return {kind: 'rows', values: [], tag: 'INSERT 0 1', position};
}

/** Answers like a primary and tracks the transaction status. */
function respondAsPrimary(
  sql: string,
  connection: FakeConnection,
): FakeResponse {
  if (sql === 'BEGIN') {
    connection.status = 'inTransaction';
    return {kind: 'rows', values: [], tag: 'BEGIN'};
  }
  if (sql === 'COMMIT' || sql === 'ROLLBACK') {
    connection.status = 'idle';
    return {kind: 'rows', values: [], tag: sql, position: '1/9'};
  }
  return sql.startsWith('SELECT')
    ? createRowResponse('primary', '1/9')
    : createWriteResponse('1/9');
}

function getCode(error: unknown): string {
  return (error as pg.DatabaseError).code ?? String(error);
}

describe('writes', () => {
  it('are acknowledged with a session token once a majority holds the commit', async () => {
    const {state, ...rest} = await start({a: () => createWriteResponse('1/7')});
    const client = await harness!.connect();
    const tokens: string[] = [];
    const {connection} = client as unknown as {
      connection: NodeJS.EventEmitter;
    };
    connection.on(
      'parameterStatus',
      (message: {parameterName: string; parameterValue: string}) => {
        if (message.parameterName === 'filbertrun.session_token') {
          tokens.push(message.parameterValue);
        }
      },
    );
    await client.query(INSERT);
    expect(state.waitedPositions).toEqual([{term: 1, position: 7}]);
    expect(tokens).toHaveLength(1);
    const shown = await client.query('SHOW filbertrun.session_token');
    expect(Object.values(shown.rows[0] as object)).toEqual(tokens);
    expect(rest.servers.size).toBe(1);
  });

  it('fail with an unknown outcome when no majority confirms the commit', async () => {
    const {state} = await start({a: () => createWriteResponse('1/7')});
    state.isMajorityConfirmed = false;
    const client = await harness!.connect();
    await expect(client.query(INSERT)).rejects.toMatchObject({
      code: '08007',
      hint: 'outcome=unknown',
    });
  });

  it('fail with an unknown outcome when the connection is lost, and are not retried', async () => {
    const {servers} = await start({a: () => ({kind: 'close'})});
    const client = await harness!.connect();
    expect(await client.query(INSERT).catch(getCode)).toBe('08007');
    expect(servers.get('a')!.statements).toEqual([INSERT]);
  });

  it('are retried on the new primary when the old one rejects them as read-only', async () => {
    const {state, servers} = await start({
      a: () => {
        state.setPrimary('b');
        return {kind: 'error', sqlState: '25006'};
      },
      b: () => createWriteResponse('2/1'),
    });
    const client = await harness!.connect();
    await client.query(INSERT);
    expect(servers.get('b')!.statements).toEqual([INSERT]);
  });

  it('wait for a primary and fail as not run at the deadline', async () => {
    const {state, servers} = await start(
      {a: () => createWriteResponse('1/1')},
      {statementDeadlineMs: 100},
    );
    state.primary = null;
    const client = await harness!.connect();
    await expect(client.query(INSERT)).rejects.toMatchObject({
      code: '57P03',
      hint: expect.stringContaining('outcome=not_run retry_after_ms='),
    });
    expect(servers.get('a')!.statements).toEqual([]);
  });
});

describe('reads', () => {
  it('with bounded staleness are answered by a replica that is fresh enough', async () => {
    await start(
      {a: respondAsPrimary, b: () => createRowResponse('replica', '1/5')},
      {configuration: createConfiguration('age', 1000)},
    );
    harness!.state.freshPosition = {term: 1, position: 5};
    harness!.state.positions.set('b', {term: 1, position: 5});
    const client = await harness!.connect();
    const result = await client.query(SELECT);
    expect(result.rows).toEqual([{value: 'replica'}]);
  });

  it("go to the primary when the replica's response does not cover the session's floor", async () => {
    const {state, registry} = await start({
      a: respondAsPrimary,
      b: () => createRowResponse('stale', '1/5'),
    });
    const client = await harness!.connect();
    await client.query(INSERT);
    // The proxy's view says that the replica has caught up, but the position
    // in its response is lower.
    state.positions.set('b', {term: 1, position: 20});
    const result = await client.query(SELECT);
    expect(result.rows).toEqual([{value: 'primary'}]);
    expect(registry.getValue('filbertrun_reads_discarded_total')).toBe(1);
  });

  it('go to the primary when a replica returns an error without its position', async () => {
    const {state} = await start({
      a: respondAsPrimary,
      b: () => ({kind: 'error', sqlState: '42P01'}),
    });
    state.positions.set('b', {term: 9, position: 9});
    const client = await harness!.connect();
    const result = await client.query(SELECT);
    expect(result.rows).toEqual([{value: 'primary'}]);
  });

  it('return an error of the primary although it carries no position', async () => {
    await start({a: () => ({kind: 'error', sqlState: '42703'})});
    const client = await harness!.connect();
    expect(await client.query(SELECT).catch(getCode)).toBe('42703');
  });

  it('go to the primary when the connection to the replica is lost', async () => {
    const {state} = await start({
      a: respondAsPrimary,
      b: () => ({kind: 'close'}),
    });
    state.positions.set('b', {term: 9, position: 9});
    const client = await harness!.connect();
    const result = await client.query(SELECT);
    expect(result.rows).toEqual([{value: 'primary'}]);
  });

  it('that are strict fail as not run when the primary cannot confirm its term', async () => {
    const {state} = await start(
      {a: respondAsPrimary},
      {
        statementDeadlineMs: 150,
        configuration: createConfiguration('strict', null),
      },
    );
    const client = await harness!.connect();
    expect((await client.query(SELECT)).rows).toEqual([{value: 'primary'}]);
    state.isTermConfirmed = false;
    expect(await client.query(SELECT).catch(getCode)).toBe('57P03');
  });
});

describe('transactions', () => {
  it('use one connection from BEGIN to COMMIT', async () => {
    const used: FakeConnection[] = [];
    await start({
      a: (sql, connection) => {
        used.push(connection);
        return respondAsPrimary(sql, connection);
      },
    });
    const client = await harness!.connect();
    const other = await harness!.connect();
    await client.query('BEGIN');
    await other.query(INSERT);
    await client.query(INSERT);
    await client.query('COMMIT');
    expect(used[2]).toBe(used[0]);
    expect(used[3]).toBe(used[0]);
    expect(used[1]).not.toBe(used[0]);
  });

  it('stay failed after their connection is lost until the caller ends them', async () => {
    const {servers} = await start({
      a: (sql, connection) =>
        sql.includes('lost')
          ? {kind: 'close'}
          : respondAsPrimary(sql, connection),
    });
    const client = await harness!.connect();
    await client.query('BEGIN');
    expect(await client.query("UPDATE lost SET a = '1'").catch(getCode)).toBe(
      '40001',
    );
    expect(await client.query(INSERT).catch(getCode)).toBe('25P02');
    const batch = `${INSERT}; COMMIT`;
    expect(await client.query(batch).catch(getCode)).toBe('25P02');
    expect((await client.query('COMMIT')).command).toBe('ROLLBACK');
    await client.query(INSERT);
    const {statements} = servers.get('a')!;
    expect(statements.filter(sql => sql === INSERT)).toHaveLength(1);
  });

  it('have an unknown outcome when the connection is lost at COMMIT', async () => {
    await start({
      a: (sql, connection) =>
        sql === 'COMMIT' ? {kind: 'close'} : respondAsPrimary(sql, connection),
    });
    const client = await harness!.connect();
    await client.query('BEGIN');
    await client.query(INSERT);
    expect(await client.query('COMMIT').catch(getCode)).toBe('08007');
    await client.query(INSERT);
  });

  it('are rolled back when their caller disconnects', async () => {
    const {servers} = await start({a: respondAsPrimary});
    const client = await harness!.connect();
    await client.query('BEGIN');
    await client.end();
    const {statements} = servers.get('a')!;
    await expect.poll(() => statements.at(-1)).toBe('ROLLBACK');
  });
});

describe('prepared statements', () => {
  it('are prepared again on a connection that lacks them', async () => {
    const {servers} = await start({a: respondAsPrimary});
    const client = await harness!.connect();
    const blocker = await harness!.connect();
    const query = {name: 'add', text: 'INSERT INTO t VALUES ($1)'};
    await client.query({...query, values: ['1']});
    await blocker.query('BEGIN');
    await client.query({...query, values: ['2']});
    await client.query({...query, values: ['3']});
    const {statements} = servers.get('a')!;
    const parses = statements.filter(sql => sql.startsWith('PARSE'));
    const runs = statements.filter(sql => sql === query.text);
    expect(parses).toHaveLength(2);
    expect(runs).toHaveLength(3);
  });

  it('that are unknown give an error and leave the session usable', async () => {
    await start({a: respondAsPrimary});
    const client = await harness!.connect();
    expect(await client.query('DEALLOCATE nothing').catch(getCode)).toBe(
      '26000',
    );
    await client.query(INSERT);
  });
});

describe('session state', () => {
  it('is applied to the connection that runs a statement and reset for other sessions', async () => {
    const {servers} = await start({a: respondAsPrimary});
    const client = await harness!.connect();
    const other = await harness!.connect();
    await client.query("SET statement_timeout TO '5s'");
    await other.query(INSERT);
    await client.query(INSERT);
    const {statements} = servers.get('a')!;
    expect(statements.slice(1)).toEqual([
      'RESET "statement_timeout"',
      INSERT,
      'SET "statement_timeout" TO \'5s\'',
      INSERT,
    ]);
  });

  it.each([
    ['LISTEN bookings'],
    ['CREATE TEMPORARY TABLE t (a int)'],
    ['SELECT pg_advisory_lock(1)'],
    ['DECLARE c CURSOR WITH HOLD FOR SELECT 1'],
    ['PREPARE p AS SELECT 1'],
    ['COPY t FROM STDIN'],
  ])('that pooling does not support is refused: %s', async sql => {
    const {servers} = await start({a: respondAsPrimary});
    const client = await harness!.connect();
    await expect(client.query(sql)).rejects.toMatchObject({
      code: '0A000',
      hint: 'outcome=not_run',
    });
    await client.query(INSERT);
    expect(servers.get('a')!.statements).toEqual([INSERT]);
  });

  it('is restored from a session token, and a forged token is refused', async () => {
    await start({
      a: respondAsPrimary,
      b: () => createRowResponse('stale', '1/5'),
    });
    harness!.state.positions.set('b', {term: 1, position: 5});
    const writer = await harness!.connect();
    await writer.query(INSERT);
    const shown = await writer.query('SHOW filbertrun.session_token');
    const token = String(Object.values(shown.rows[0] as object)[0]);
    const options = `-c filbertrun.session_token=${token}`;
    const reader = await harness!.connect({options});
    expect((await reader.query(SELECT)).rows).toEqual([{value: 'primary'}]);
    const forged = `-c filbertrun.session_token=${token.slice(0, -1)}`;
    expect(await harness!.connect({options: forged}).catch(getCode)).toBe(
      '22023',
    );
    expect(
      await reader.query("SET filbertrun.session_token = 'x'").catch(getCode),
    ).toBe('22023');
  });
});

describe('cancel requests', () => {
  it('cancel a waiting statement before it is sent', async () => {
    const {state, servers} = await start({a: respondAsPrimary});
    state.primary = null;
    const client = await harness!.connect();
    const waiting = client.query(INSERT).catch(getCode);
    await cancel(client);
    expect(await waiting).toBe('57014');
    expect(servers.get('a')!.statements).toEqual([]);
  });

  it('are forwarded to the backend server, and the connection is not reused', async () => {
    let finish = (): void => {};
    const used = new Set<FakeConnection>();
    const {servers} = await start({
      a: async (sql, connection) => {
        used.add(connection);
        if (sql.includes('slow')) {
          await new Promise<void>(resolve => {
            finish = resolve;
          });
        }
        return respondAsPrimary(sql, connection);
      },
    });
    const client = await harness!.connect();
    const running = client.query('UPDATE slow SET a = 1');
    await expect.poll(() => servers.get('a')!.statements.length).toBe(1);
    await cancel(client);
    await expect.poll(() => servers.get('a')!.cancelRequests).toBe(1);
    finish();
    await running;
    await client.query(INSERT);
    expect(used.size).toBe(2);
  });
});

async function cancel(client: pg.Client): Promise<void> {
  const {processID, secretKey} = client as unknown as {
    processID: number;
    secretKey: number;
  };
  const {serialize} = await import('pg-protocol');
  const {connect} = await import('node:net');
  const socket = connect(harness!.listener.port, '127.0.0.1');
  socket.end(serialize.cancel(processID, secretKey));
  await new Promise<void>(resolve => socket.on('close', () => resolve()));
}
