import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type pg from 'pg';
import {afterEach, describe, expect, it} from 'vitest';
import {SessionTranscript} from './testing/session_transcript.js';
import {sleep, StandinHarness} from './testing/standin_harness.js';

const golden = path.join(
  path.dirname(fileURLToPath(import.meta.url)),
  'golden',
);

let harness: StandinHarness | null = null;

afterEach(async () => {
  await harness?.dispose();
  harness = null;
});

function getCode(error: unknown): string {
  return (error as pg.DatabaseError).code ?? String(error);
}

async function getToken(client: pg.Client): Promise<string> {
  const shown = await client.query('SHOW filbertrun.session_token');
  return String(Object.values(shown.rows[0] as object)[0]);
}

describe('golden transcripts', () => {
  it('show that a booking is visible on another proxy and a duplicate is refused', async () => {
    harness = await StandinHarness.create('atlas', 2);
    const database = 'sched-db-1';
    const transcript = SessionTranscript.create();
    const animator = await harness.connect(0, {database});
    const producer = await harness.connect(1, {database});
    await transcript.run(
      'animator',
      animator,
      "INSERT INTO stage_booking VALUES (1, 'stage-4', 'ana')",
    );
    const token = await getToken(animator);
    transcript.addNote('producer takes the token of the animator');
    await producer.query(`SET filbertrun.session_token = '${token}'`);
    await transcript.run(
      'producer',
      producer,
      'SELECT * FROM stage_booking WHERE id = 1',
    );
    await transcript.run(
      'producer',
      producer,
      "INSERT INTO stage_booking VALUES (1, 'stage-4', 'bo')",
    );
    await transcript.run('producer', producer, 'BEGIN');
    await transcript.run(
      'producer',
      producer,
      "INSERT INTO rig_reservation VALUES (7, 'crew-2')",
    );
    await transcript.run(
      'producer',
      producer,
      'SELECT nothing FROM rig_reservation',
    );
    await transcript.run('producer', producer, 'SELECT * FROM rig_reservation');
    await transcript.run('producer', producer, 'COMMIT');
    await transcript.run(
      'animator',
      animator,
      'SELECT count(*) FROM rig_reservation',
    );
    await expect(transcript.getText()).toMatchFileSnapshot(
      path.join(golden, 'atlas_booking.golden'),
    );
  });

  it('show that an idempotency key prevents a second sale and that timetables may be stale', async () => {
    harness = await StandinHarness.create('malabar', 2);
    const database = 'outings-db-1';
    const transcript = SessionTranscript.create();
    const seller = await harness.connect(0, {database});
    const other = await harness.connect(1, {database});
    const sale =
      "/*request_key='sale-17'*/ INSERT INTO seat_booking VALUES (17, 'nilambur', 'devi')";
    await transcript.run('seller', seller, sale);
    await transcript.run('other', other, sale);
    await transcript.run(
      'other',
      other,
      "/*request_key='sale-17'*/ INSERT INTO seat_booking VALUES (18, 'nilambur', 'devi')",
    );
    await transcript.run(
      'other',
      other,
      'SELECT id, passenger FROM seat_booking',
    );
    await transcript.run(
      'other',
      other,
      'SELECT departs FROM timetable WHERE id = 3',
    );
    await transcript.run('other', other, "SET statement_timeout TO '5s'");
    await transcript.run('other', other, 'SHOW statement_timeout');
    await transcript.run('other', other, 'LISTEN seats');
    await transcript.run(
      'other',
      other,
      "SET filbertrun.session_token = 'forged'",
    );
    await expect(transcript.getText()).toMatchFileSnapshot(
      path.join(golden, 'malabar_seat.golden'),
    );
  });
});

describe('a session that spans several proxies', () => {
  it('reads its own writes while replicas lag', async () => {
    harness = await StandinHarness.create('malabar', 3);
    const database = 'outings-db-2';
    await harness.standin.runCommand({
      kind: 'lag',
      instance: 'outings-db-2-b',
      lagMs: 500,
    });
    const writer = await harness.connect(0, {database});
    const readers = [
      await harness.connect(1, {database}),
      await harness.connect(2, {database}),
    ];
    for (let id = 1; id <= 20; id++) {
      await writer.query('INSERT INTO boarding_manifest VALUES ($1, $2, $3)', [
        id,
        'run',
        id,
      ]);
      const token = await getToken(writer);
      for (const reader of readers) {
        await reader.query(`SET filbertrun.session_token = '${token}'`);
        const read = await reader.query(
          'SELECT id FROM boarding_manifest WHERE id = $1',
          [id],
        );
        expect(read.rows).toHaveLength(1);
      }
    }
  });

  it('receives a large result completely', async () => {
    harness = await StandinHarness.create('atlas', 1);
    const client = await harness.connect(0, {database: 'sched-db-1'});
    const result = await client.query(
      'SELECT * FROM generate_series(1, 100000)',
    );
    expect(result.rows).toHaveLength(100_000);
  });
});

describe('a graceful stop', () => {
  it('closes idle sessions at once and others after their transaction has ended', async () => {
    harness = await StandinHarness.create('atlas', 1);
    const client = await harness.connect(0, {database: 'sched-db-1'});
    const idle = await harness.connect(0, {database: 'sched-db-1'});
    const idleEnd = new Promise<unknown>(resolve => idle.on('error', resolve));
    await client.query('BEGIN');
    await client.query("INSERT INTO stage_booking VALUES (5, 's', 'a')");
    const stopped = harness.proxies[0]!.stop();
    expect(harness.proxies[0]!.isReady()).toBe(false);
    expect(getCode(await idleEnd)).toBe('57P01');
    await sleep(100);
    const ended = new Promise<unknown>(resolve => client.on('error', resolve));
    expect((await client.query('COMMIT')).command).toBe('COMMIT');
    expect(getCode(await ended)).toBe('57P01');
    await stopped;
  });
});
