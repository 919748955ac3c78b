import http from 'node:http';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {HttpPlatformService} from '@filbertrun/platform/http_platform_service.js';
import {CONFIGURATION_KEY} from '@filbertrun/platform/platform_service.js';
import pg from 'pg';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import type {AdminCommand} from './admin_command.js';
import {getPreset} from './presets.js';
import {StandinSystem, type StandinAddresses} from './standin_system.js';

const PRIMARY = 'sched-db-1-a';
const REPLICA = 'sched-db-1-b';
const LOGIN = {user: 'filbertrun', password: 'backend-password'};
/** Polling interval while waiting for a state. */
const CHECK_INTERVAL_MS = 5;

let system: StandinSystem;
let addresses: StandinAddresses;
let nextId = 1;
const clients: pg.Client[] = [];

async function connect(
  instance: string,
  options: pg.ClientConfig = {},
): Promise<pg.Client> {
  const client = new pg.Client({
    ...LOGIN,
    host: '127.0.0.1',
    port: system.getHost(instance).getPort(),
    database: 'sched-db-1',
    ...options,
  });
  // The faults of these tests break connections.
  client.on('error', () => {});
  clients.push(client);
  await client.connect();
  return client;
}

async function admin(command: AdminCommand): Promise<number> {
  const {kind, ...fields} = command;
  const response = await fetch(`${addresses.adminUrl}/admin/${kind}`, {
    method: 'POST',
    body: JSON.stringify(fields),
  });
  return response.status;
}

/** Makes pg connect from a local address, which determines the zone. */
function createStreamFrom(localAddress: string): () => net.Socket {
  return () => {
    const socket = new net.Socket();
    const connectToPort = socket.connect.bind(socket);
    return Object.assign(socket, {
      connect: (port: number, host: string) =>
        connectToPort({port, host, localAddress}),
    });
  };
}

function insert(client: pg.Client, id: number) {
  const sql = 'INSERT INTO stage_booking VALUES ($1, $2, $3)';
  return client.query(sql, [id, 'stage', 'animator']);
}

function getStatus(instance: string) {
  return system.getHost(instance).getCore().replication.getStatus();
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await sleep(CHECK_INTERVAL_MS);
  }
}

async function getCode(statement: Promise<unknown>): Promise<string | null> {
  try {
    await statement;
    return null;
  } catch (error) {
    return (error as {readonly code?: string}).code ?? String(error);
  }
}

beforeAll(async () => {
  system = StandinSystem.create({
    preset: getPreset('atlas'),
    host: '127.0.0.1',
    portBase: null,
    ...LOGIN,
  });
  addresses = await system.start();
});

afterEach(async () => {
  await admin({kind: 'heal'});
  await admin({kind: 'lag', instance: '*', lagMs: 0});
  await admin({kind: 'limits', instance: '*', maxConnections: 20});
  for (const client of clients.splice(0)) {
    await client.end();
  }
});

afterAll(() => system.dispose());

describe('instances on sockets', () => {
  it('accept a SCRAM login of pg and reject a wrong password or database', async () => {
    const client = await connect(PRIMARY);
    const result = await client.query('SELECT $1::int AS n', [7]);
    expect(result.rows).toEqual([{n: 7}]);
    const wrongPassword = connect(PRIMARY, {password: 'wrong-password'});
    expect(await getCode(wrongPassword)).toBe('28P01');
    const unknownDatabase = connect(PRIMARY, {database: 'nothing'});
    expect(await getCode(unknownDatabase)).toBe('3D000');
  });

  it('reject connections beyond the limit with 53300', async () => {
    await admin({kind: 'limits', instance: PRIMARY, maxConnections: 1});
    await connect(PRIMARY);
    expect(await getCode(connect(PRIMARY))).toBe('53300');
  });

  it('show a replicated write on a replica, which rejects writes', async () => {
    const id = nextId++;
    await insert(await connect(PRIMARY), id);
    const end = getStatus(PRIMARY).position.position;
    await waitUntil(() => getStatus(REPLICA).position.position >= end);
    const replica = await connect(REPLICA);
    const sql = 'SELECT id FROM stage_booking WHERE id = $1';
    expect((await replica.query(sql, [id])).rowCount).toBe(1);
    expect(await getCode(insert(replica, nextId++))).toBe('25006');
  });

  it('cancel a running statement on a cancel request', async () => {
    const client = await connect(PRIMARY);
    const canceller = new pg.Client({
      ...LOGIN,
      host: '127.0.0.1',
      port: system.getHost(PRIMARY).getPort(),
      database: 'sched-db-1',
    });
    const sleeping = getCode(client.query('SELECT pg_sleep(60)'));
    const {processID, secretKey} = client as unknown as {
      readonly processID: number;
      readonly secretKey: number;
    };
    await waitUntil(
      () => system.getHost(PRIMARY).getCore().slots.getUsedSlots() > 0,
    );
    await new Promise<void>(resolve => {
      const {connection} = canceller as unknown as {
        readonly connection: {
          connect(port: number, host: string): void;
          once(event: string, listener: () => void): void;
          cancel(processId: number, secretKey: number): void;
        };
      };
      connection.once('connect', () => connection.cancel(processID, secretKey));
      connection.once('end', resolve);
      connection.connect(system.getHost(PRIMARY).getPort(), '127.0.0.1');
    });
    expect(await sleeping).toBe('57014');
  });

  it('close connections on a crash and keep committed rows across a restart', async () => {
    const id = nextId++;
    const client = await connect(PRIMARY);
    await insert(client, id);
    const open = await connect(PRIMARY);
    await open.query('BEGIN');
    await insert(open, nextId);
    await admin({kind: 'crash', instance: PRIMARY});
    expect(await getCode(connect(PRIMARY))).toBe('ECONNREFUSED');
    await admin({kind: 'restart', instance: PRIMARY});
    const again = await connect(PRIMARY);
    const sql = 'SELECT id FROM stage_booking WHERE id >= $1';
    expect((await again.query(sql, [id])).rows).toEqual([{id: String(id)}]);
  });

  it('commit but drop the response when that fault is injected', async () => {
    const id = nextId++;
    const client = await connect(PRIMARY);
    await admin({kind: 'answers', instance: PRIMARY, answersToDrop: 1});
    expect(await getCode(insert(client, id))).not.toBeNull();
    const again = await connect(PRIMARY);
    expect(await getCode(insert(again, id))).toBe('23505');
  });

  it('accept writes that are not replicated while they are isolated', async () => {
    await admin({kind: 'isolate', instance: PRIMARY, isIsolated: true});
    const before = getStatus(PRIMARY).position;
    const client = await connect(PRIMARY);
    await insert(client, nextId++);
    const confirmed = client.query('SELECT * FROM group_confirm_term()');
    expect(await getCode(confirmed)).toBe('57014');
    expect(getStatus(REPLICA).position.position).toBeLessThanOrEqual(
      before.position,
    );
    await admin({kind: 'isolate', instance: PRIMARY, isIsolated: false});
    const end = getStatus(PRIMARY).position.position;
    await waitUntil(() => getStatus(REPLICA).position.position >= end);
  });

  it('hold back data from a partitioned availability zone until it heals', async () => {
    const client = await connect(PRIMARY, {
      // The second zone; the primary is in the first.
      stream: createStreamFrom('127.0.2.1'),
    });
    await admin({
      kind: 'cut',
      from: 'mrk-b',
      to: 'mrk-a',
      isCut: true,
      isTwoWay: false,
    });
    const end = getStatus(PRIMARY).position;
    const writing = insert(client, nextId++);
    const local = await connect(PRIMARY);
    await local.query('SELECT 1');
    expect(getStatus(PRIMARY).position).toEqual(end);
    await admin({kind: 'heal'});
    await writing;
    expect(getStatus(PRIMARY).position.position).toBe(end.position + 1);
  });

  it('process nothing while they are paused and continue afterwards', async () => {
    const client = await connect(PRIMARY);
    await admin({kind: 'pause', instance: PRIMARY, isPaused: true});
    const writing = insert(client, nextId++);
    const end = getStatus(PRIMARY).position;
    await admin({kind: 'pause', instance: PRIMARY, isPaused: false});
    await writing;
    expect(getStatus(PRIMARY).position.position).toBe(end.position + 1);
  });

  it('delay records by the configured lag of a replica', async () => {
    await admin({kind: 'lag', instance: REPLICA, lagMs: 3_600_000});
    await insert(await connect(PRIMARY), nextId++);
    const end = getStatus(PRIMARY).position.position;
    const other = 'sched-db-1-c';
    await waitUntil(() => getStatus(other).position.position >= end);
    expect(getStatus(REPLICA).position.position).toBeLessThan(end);
  });

  it('stream a large result', async () => {
    const client = await connect(PRIMARY);
    const sql = 'SELECT n FROM generate_series(1, 200000) AS g(n)';
    const result = await client.query({text: sql, rowMode: 'array'});
    expect(result.rows.length).toBe(200_000);
    expect(result.rows.at(-1)).toEqual([200_000]);
  });

  it.each([
    ['crash', {instance: 'nothing'}],
    ['lag', {instance: PRIMARY, lagMs: -1}],
    ['cut', {from: 'mrk-a', to: 'nowhere', isCut: true}],
    ['explode', {}],
  ])('reject the invalid command %s %j', async (kind, fields) => {
    const response = await fetch(`${addresses.adminUrl}/admin/${kind}`, {
      method: 'POST',
      body: JSON.stringify(fields),
    });
    expect(response.status).toBe(400);
  });
});

describe('the platform over HTTP', () => {
  function createPlatform(sourceAddress: string, timeoutMs = 30_000) {
    const baseUrl = addresses.platformUrl;
    return HttpPlatformService.create({baseUrl, timeoutMs, sourceAddress});
  }

  it('provides the initial configuration of the preset', async () => {
    const platform = createPlatform('127.0.1.1');
    const entry = await platform.getEntry(CONFIGURATION_KEY);
    const pointer = JSON.parse(
      entry.ok ? (entry.value?.value ?? '{}') : '{}',
    ) as {readonly objectName: string};
    const body = await platform.getObject(pointer.objectName);
    expect(body.ok ? body.value : null).toContain('sched-db-3-c');
    platform.dispose();
  });

  it('accepts only the first of two conflicting conditional writes', async () => {
    const platform = createPlatform('127.0.1.1');
    const write = {key: 'claim/a b', value: 'v', expectedRevision: 0};
    const first = await platform.putEntry(write);
    const second = await platform.putEntry(write);
    expect(first).toMatchObject({ok: true, value: {revision: 1}});
    expect(second).toMatchObject({error: {kind: 'conflict'}});
    platform.dispose();
  });

  it('does not respond to an availability zone that is partitioned from it', async () => {
    const near = createPlatform('127.0.1.1');
    const far = createPlatform('127.0.2.1', 200);
    await admin({
      kind: 'cut',
      from: 'mrk-b',
      to: 'platform',
      isCut: true,
      isTwoWay: true,
    });
    expect(await far.getEntry('k')).toMatchObject({
      error: {kind: 'unavailable'},
    });
    expect(await near.getEntry('k')).toEqual({ok: true, value: null});
    near.dispose();
    far.dispose();
  });

  it('lists a VM under its relay, which holds back traffic of a partitioned zone', async () => {
    const platform = createPlatform('127.0.1.1');
    const listed = await fetch(`${addresses.platformUrl}/vms/entry-1`, {
      method: 'PUT',
      body: JSON.stringify({
        availabilityZone: 'mrk-a',
        peerUrl: addresses.adminUrl,
        state: 'live',
      }),
    });
    const {peerUrl} = (await listed.json()) as {readonly peerUrl: string};
    const list = async () => {
      const vms = await platform.listVms();
      return vms.ok ? (vms.value[0]?.peerUrl ?? null) : null;
    };
    while ((await list()) === null) {
      await sleep(CHECK_INTERVAL_MS);
    }
    expect(await list()).toBe(peerUrl);
    platform.dispose();
    await admin({
      kind: 'cut',
      from: 'mrk-b',
      to: 'mrk-a',
      isCut: true,
      isTwoWay: true,
    });
    const getState = (localAddress: string) =>
      getFrom(localAddress, `${peerUrl}/admin/state`);
    expect(await getState('127.0.1.1')).toBe(200);
    const isolated = getState('127.0.2.1');
    expect(await getState('127.0.3.1')).toBe(200);
    await admin({kind: 'heal'});
    expect(await isolated).toBe(200);
  });
});

/** Sends a GET from a local address and returns the response status. */
function getFrom(localAddress: string, url: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const request = http.get(url, {localAddress, agent: false}, response => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    request.on('error', reject);
  });
}
