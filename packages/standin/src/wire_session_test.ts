import {serialize} from 'pg-protocol';
import {describe, expect, it} from 'vitest';
import {createPrimary, FAST_LIMITS} from './testing/instance_fixture.js';
import {WireTranscript} from './testing/wire_transcript.js';

function createTranscript() {
  const {core, clock} = createPrimary();
  core.runStatement('CREATE TABLE seat (id int PRIMARY KEY, run text)');
  return {core, clock, transcript: WireTranscript.create(core)};
}

const SYNC = serialize.sync();

function createExtendedQuery(
  text: string,
  values: readonly (string | null)[],
): readonly Buffer[] {
  return [
    serialize.parse({text}),
    serialize.bind({values: [...values]}),
    serialize.describe({type: 'P'}),
    serialize.execute(),
  ];
}

/** Runs the continuations of promises that are already settled. */
async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) {
    await Promise.resolve();
  }
}

describe('sessions of the stand-in', () => {
  it('matches the golden transcript of simple queries', async () => {
    const {transcript} = createTranscript();
    transcript.query("INSERT INTO seat VALUES (1, 'Nilambur') RETURNING id");
    transcript.query('SELECT * FROM seat');
    transcript.query("INSERT INTO seat VALUES (1, 'again')");
    transcript.query(
      'BEGIN; DELETE FROM seat; ROLLBACK; SELECT count(*) FROM seat',
    );
    transcript.query("INSERT INTO seat VALUES (2, 'x'); SELECT 1 / 0");
    transcript.query('SELECT count(*) FROM seat');
    transcript.query('');
    transcript.query("SET application_name = 'club'; SHOW application_name");
    transcript.query('LISTEN group_majority');
    transcript.query("INSERT INTO seat VALUES (3, 'Shoranur')");
    await expect(transcript.getText()).toMatchFileSnapshot(
      'golden/simple_query.txt',
    );
  });

  it('matches the golden transcript of pipelined extended queries', async () => {
    const {transcript} = createTranscript();
    const insert = 'INSERT INTO seat VALUES ($1, $2)';
    const select = 'SELECT run FROM seat WHERE id = $1';
    transcript.send(
      'INSERT, SELECT, Sync',
      ...createExtendedQuery(insert, ['1', 'Nilambur']),
      ...createExtendedQuery(select, ['1']),
      SYNC,
    );
    transcript.send(
      'INSERT, failing INSERT, SELECT, Sync',
      ...createExtendedQuery(insert, ['2', 'Kochi']),
      ...createExtendedQuery(insert, ['1', 'again']),
      ...createExtendedQuery(select, ['1']),
      SYNC,
    );
    transcript.send(
      'SELECT, Sync',
      ...createExtendedQuery(select, ['2']),
      SYNC,
    );
    await expect(transcript.getText()).toMatchFileSnapshot(
      'golden/extended_query.txt',
    );
  });

  it('matches the golden transcript of named statements and portals with a row limit', async () => {
    const {transcript} = createTranscript();
    const text = 'SELECT n FROM generate_series(1, $1) AS g(n)';
    transcript.send(
      'Parse series, Describe, Bind p, Execute 2, Execute 2, Sync',
      serialize.parse({name: 'series', text}),
      serialize.describe({type: 'S', name: 'series'}),
      serialize.bind({portal: 'p', statement: 'series', values: ['3']}),
      serialize.execute({portal: 'p', rows: 2}),
      serialize.execute({portal: 'p', rows: 2}),
      SYNC,
    );
    transcript.send(
      'Execute p, Sync',
      serialize.execute({portal: 'p', rows: 2}),
      SYNC,
    );
    transcript.send(
      'Parse series again, Sync',
      serialize.parse({name: 'series', text}),
      SYNC,
    );
    transcript.query('DEALLOCATE series');
    transcript.send(
      'Bind series, Sync',
      serialize.bind({statement: 'series', values: ['3']}),
      SYNC,
    );
    await expect(transcript.getText()).toMatchFileSnapshot(
      'golden/portals.txt',
    );
  });

  it('matches the golden transcript of a change of primary during a transaction', async () => {
    const {core, transcript} = createTranscript();
    const managerTranscript = WireTranscript.create(core);
    transcript.query("BEGIN; INSERT INTO seat VALUES (1, 'Nilambur')");
    managerTranscript.query("SELECT * FROM group_raise_term(2, 'claim')");
    managerTranscript.query("INSERT INTO seat VALUES (2, 'Kochi')");
    managerTranscript.query('SELECT * FROM group_confirm_term()');
    await flushPromises();
    managerTranscript.query("SELECT * FROM group_raise_term(2, 'other claim')");
    managerTranscript.query("SELECT * FROM group_promote(2, 'claim')");
    managerTranscript.query('SELECT * FROM seat');
    const text = `caller\n${transcript.getText()}\nmanager\n${managerTranscript.getText()}`;
    await expect(text).toMatchFileSnapshot('golden/change_of_primary.txt');
  });

  it('matches the golden transcript of a cancelled statement', async () => {
    const {core, clock, transcript} = createTranscript();
    transcript.query('SELECT pg_sleep(5)');
    core.cancelStatement(1, 42);
    await flushPromises();
    transcript.query('SELECT pg_sleep(5)');
    transcript.note('a cancel request with a wrong key');
    core.cancelStatement(1, 43);
    clock.advance(5000);
    await flushPromises();
    await expect(transcript.getText()).toMatchFileSnapshot('golden/cancel.txt');
  });

  it('reassembles messages that arrive byte by byte', () => {
    const {transcript} = createTranscript();
    transcript.sendSlowly('Query', serialize.query('SELECT 1'));
    expect(transcript.getText()).toContain('commandComplete text=SELECT 1');
  });

  it.each([
    ['an unknown message type', Buffer.from('?\0\0\0\x04', 'latin1')],
    [
      'a length below the size of the length field',
      Buffer.from('Q\0\0\0\x01', 'latin1'),
    ],
    ['an unterminated string', Buffer.from('Q\0\0\0\x06ab', 'latin1')],
  ])('closes a connection that sends %s', (_, bytes) => {
    const {core, transcript} = createTranscript();
    transcript.send('malformed', bytes);
    expect(transcript.getText()).toContain('08P01');
    expect(core.getConnectionCount()).toBe(0);
  });

  it('rolls back and releases all resources when the client disconnects', () => {
    const {core, transcript} = createTranscript();
    transcript.query("BEGIN; INSERT INTO seat VALUES (1, 'x')");
    transcript.query('SELECT pg_sleep(60)');
    transcript.close();
    expect(core.slots.getUsedSlots()).toBe(0);
    expect(core.getConnectionCount()).toBe(0);
    core.runStatement("INSERT INTO seat VALUES (1, 'y')");
  });

  it('refuses a connection when the limit is reached', () => {
    const {core} = createPrimary({...FAST_LIMITS, maxConnections: 1});
    WireTranscript.create(core);
    WireTranscript.create(core);
    expect(core.getConnectionCount()).toBe(1);
  });

  it('streams a large result in bounded parts', () => {
    const {clock, transcript} = createTranscript();
    transcript.query('SELECT n FROM generate_series(1, 100000) AS g(n)');
    expect(transcript.getText()).not.toContain('fields=["100000"]');
    clock.advance(0);
    expect(transcript.getText()).toContain('fields=["100000"]');
    expect(transcript.getText()).toContain('SELECT 100000');
  });
});
