import {serialize} from 'pg-protocol';
import {describe, expect, it} from 'vitest';
import {createPrimary, FAST_LIMITS} from './testing/instance_fixture.js';
import {WireStory} from './testing/wire_story.js';

function createStory() {
  const {core, clock} = createPrimary();
  core.runStatement('CREATE TABLE seat (id int PRIMARY KEY, run text)');
  return {core, clock, story: WireStory.create(core)};
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
async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) {
    await Promise.resolve();
  }
}

describe('sessions of the stand-in', () => {
  it('matches the golden transcript of simple queries', async () => {
    const {story} = createStory();
    story.query("INSERT INTO seat VALUES (1, 'Nilambur') RETURNING id");
    story.query('SELECT * FROM seat');
    story.query("INSERT INTO seat VALUES (1, 'again')");
    story.query('BEGIN; DELETE FROM seat; ROLLBACK; SELECT count(*) FROM seat');
    story.query("INSERT INTO seat VALUES (2, 'x'); SELECT 1 / 0");
    story.query('SELECT count(*) FROM seat');
    story.query('');
    story.query("SET application_name = 'club'; SHOW application_name");
    story.query('LISTEN group_majority');
    story.query("INSERT INTO seat VALUES (3, 'Shoranur')");
    await expect(story.getText()).toMatchFileSnapshot(
      'golden/simple_query.txt',
    );
  });

  it('matches the golden transcript of pipelined extended queries', async () => {
    const {story} = createStory();
    const insert = 'INSERT INTO seat VALUES ($1, $2)';
    const select = 'SELECT run FROM seat WHERE id = $1';
    story.send(
      'INSERT, SELECT, Sync',
      ...createExtendedQuery(insert, ['1', 'Nilambur']),
      ...createExtendedQuery(select, ['1']),
      SYNC,
    );
    story.send(
      'INSERT, failing INSERT, SELECT, Sync',
      ...createExtendedQuery(insert, ['2', 'Kochi']),
      ...createExtendedQuery(insert, ['1', 'again']),
      ...createExtendedQuery(select, ['1']),
      SYNC,
    );
    story.send('SELECT, Sync', ...createExtendedQuery(select, ['2']), SYNC);
    await expect(story.getText()).toMatchFileSnapshot(
      'golden/extended_query.txt',
    );
  });

  it('matches the golden transcript of named statements and portals with a row limit', async () => {
    const {story} = createStory();
    const text = 'SELECT n FROM generate_series(1, $1) AS g(n)';
    story.send(
      'Parse series, Describe, Bind p, Execute 2, Execute 2, Sync',
      serialize.parse({name: 'series', text}),
      serialize.describe({type: 'S', name: 'series'}),
      serialize.bind({portal: 'p', statement: 'series', values: ['3']}),
      serialize.execute({portal: 'p', rows: 2}),
      serialize.execute({portal: 'p', rows: 2}),
      SYNC,
    );
    story.send(
      'Execute p, Sync',
      serialize.execute({portal: 'p', rows: 2}),
      SYNC,
    );
    story.send(
      'Parse series again, Sync',
      serialize.parse({name: 'series', text}),
      SYNC,
    );
    story.query('DEALLOCATE series');
    story.send(
      'Bind series, Sync',
      serialize.bind({statement: 'series', values: ['3']}),
      SYNC,
    );
    await expect(story.getText()).toMatchFileSnapshot('golden/portals.txt');
  });

  it('matches the golden transcript of a change of primary during a transaction', async () => {
    const {core, story} = createStory();
    const manager = WireStory.create(core);
    story.query("BEGIN; INSERT INTO seat VALUES (1, 'Nilambur')");
    manager.query("SELECT * FROM group_raise_term(2, 'claim')");
    manager.query("INSERT INTO seat VALUES (2, 'Kochi')");
    manager.query('SELECT * FROM group_confirm_term()');
    await settle();
    manager.query("SELECT * FROM group_raise_term(2, 'other claim')");
    manager.query("SELECT * FROM group_promote(2, 'claim')");
    manager.query('SELECT * FROM seat');
    const text = `caller\n${story.getText()}\nmanager\n${manager.getText()}`;
    await expect(text).toMatchFileSnapshot('golden/change_of_primary.txt');
  });

  it('matches the golden transcript of a cancelled statement', async () => {
    const {core, clock, story} = createStory();
    story.query('SELECT pg_sleep(5)');
    core.cancelStatement(1, 42);
    await settle();
    story.query('SELECT pg_sleep(5)');
    story.note('a cancel request with a wrong key');
    core.cancelStatement(1, 43);
    clock.advance(5000);
    await settle();
    await expect(story.getText()).toMatchFileSnapshot('golden/cancel.txt');
  });

  it('reassembles messages that arrive byte by byte', () => {
    const {story} = createStory();
    story.sendSlowly('Query', serialize.query('SELECT 1'));
    expect(story.getText()).toContain('commandComplete text=SELECT 1');
  });

  it.each([
    ['an unknown message type', Buffer.from('?\0\0\0\x04', 'latin1')],
    ['a length below the size of the length field', Buffer.from('Q\0\0\0\x01', 'latin1')],
    ['an unterminated string', Buffer.from('Q\0\0\0\x06ab', 'latin1')],
  ])('closes a connection that sends %s', (_, bytes) => {
    const {core, story} = createStory();
    story.send('malformed', bytes);
    expect(story.getText()).toContain('08P01');
    expect(core.getConnectionCount()).toBe(0);
  });

  it('rolls back and releases all resources when the client disconnects', () => {
    const {core, story} = createStory();
    story.query("BEGIN; INSERT INTO seat VALUES (1, 'x')");
    story.query('SELECT pg_sleep(60)');
    story.close();
    expect(core.slots.getUsedSlots()).toBe(0);
    expect(core.getConnectionCount()).toBe(0);
    core.runStatement("INSERT INTO seat VALUES (1, 'y')");
  });

  it('refuses a connection when the limit is reached', () => {
    const {core} = createPrimary({...FAST_LIMITS, maxConnections: 1});
    WireStory.create(core);
    WireStory.create(core);
    expect(core.getConnectionCount()).toBe(1);
  });

  it('streams a large result in bounded parts', () => {
    const {clock, story} = createStory();
    story.query('SELECT n FROM generate_series(1, 100000) AS g(n)');
    expect(story.getText()).not.toContain('fields=["100000"]');
    clock.advance(0);
    expect(story.getText()).toContain('fields=["100000"]');
    expect(story.getText()).toContain('SELECT 100000');
  });
});
