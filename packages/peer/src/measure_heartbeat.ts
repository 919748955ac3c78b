import http from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {SystemClock} from '@filbertrun/base/clock.js';
import type {MemberRecord} from '@filbertrun/membership/member.js';
import {NullLogger} from '@filbertrun/observability/logger.js';
import {createFakeHandler} from './fake_peer_handler.js';
import {formatAuthorization} from './peer_credentials.js';
import type {Heartbeat} from './peer_protocol.js';
import {PeerServer} from './peer_server.js';
import {WebSocketTransport} from './web_socket_transport.js';

/**
 * Measures the cost of one heartbeat over WebSocket and over HTTP with a
 * keep-alive connection: bytes in each direction, excluding TCP and IP headers,
 * and the total CPU time of both sides.
 * Run it with `node packages/peer/dist/measure_heartbeat.js`.
 *
 * @internal
 */

const SECRETS = {
  peerSecret: 'measured-peer-secret',
  operatorSecret: 'measured-operator-secret',
};

const EXCHANGES = 2000;

const TIMEOUT_MS = 5000;

interface Relay {
  readonly url: string;
  /** Bytes sent to and received from the server. */
  readonly counts: {sentBytes: number; receivedBytes: number};
  close(): void;
}

function createRecord(index: number): MemberRecord {
  return {
    entryVm: `entry-${index}`,
    availabilityZone: 'ma-south-1',
    peerUrl: `http://10.20.30.${index}:7000`,
    incarnation: 1_764_809_112_000 * 1024 + index,
    state: 'live',
  };
}

function createHeartbeat(updateCount: number): Heartbeat {
  const updates = Array.from({length: updateCount}, (_, index) =>
    createRecord(index + 2),
  );
  return {
    sender: createRecord(1),
    configurationVersion: 123_456,
    membersDigest: 4_123_456_789,
    groupViewsDigest: 4_123_456_789,
    updates,
  };
}

/** Forwards connections to a port and counts the bytes. */
async function startRelay(port: number): Promise<Relay> {
  const counts = {sentBytes: 0, receivedBytes: 0};
  const server = net.createServer(client => {
    const upstream = net.connect({port, host: '127.0.0.1'});
    client.on('data', chunk => {
      counts.sentBytes += chunk.length;
      upstream.write(chunk);
    });
    upstream.on('data', chunk => {
      counts.receivedBytes += chunk.length;
      client.write(chunk);
    });
    client.on('close', () => upstream.destroy());
    upstream.on('close', () => client.destroy());
    client.on('error', () => upstream.destroy());
    upstream.on('error', () => client.destroy());
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  return {url, counts, close: () => server.close()};
}

async function measure(
  name: string,
  relay: Relay,
  exchange: () => Promise<unknown>,
): Promise<void> {
  await exchange();
  const before = {...relay.counts};
  const cpuBefore = process.cpuUsage();
  for (let count = 0; count < EXCHANGES; count++) {
    await exchange();
  }
  const cpu = process.cpuUsage(cpuBefore);
  const sent = (relay.counts.sentBytes - before.sentBytes) / EXCHANGES;
  const received =
    (relay.counts.receivedBytes - before.receivedBytes) / EXCHANGES;
  const cpuUs = (cpu.user + cpu.system) / EXCHANGES;
  process.stdout.write(
    `${name}: request ${sent.toFixed(0)} B, response ${received.toFixed(0)} B, CPU ${cpuUs.toFixed(0)} us\n`,
  );
}

function postHeartbeat(
  url: string,
  heartbeat: Heartbeat,
  agent: http.Agent,
): Promise<void> {
  const body = JSON.stringify(heartbeat);
  const headers = {
    authorization: formatAuthorization(SECRETS.peerSecret),
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  return new Promise((resolve, reject) => {
    const request = http.request(
      `${url}/trpc/heartbeat`,
      {method: 'POST', agent, headers},
      response => {
        response.resume();
        response.on('end', resolve);
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}

async function measureUpdates(updateCount: number): Promise<void> {
  const heartbeat = createHeartbeat(updateCount);
  const server = await PeerServer.create({
    host: '127.0.0.1',
    port: 0,
    handler: createFakeHandler({heartbeat: async () => heartbeat}),
    secrets: SECRETS,
    tls: null,
    logger: NullLogger.create(),
  });
  const relay = await startRelay(server.getPort());
  const transport = WebSocketTransport.create({
    clock: SystemClock.create(),
    secret: SECRETS.peerSecret,
    sourceAddress: null,
    tls: null,
  });
  await measure(`WebSocket, ${updateCount} updates`, relay, () =>
    transport.call(relay.url, 'heartbeat', heartbeat, TIMEOUT_MS),
  );
  const agent = new http.Agent({keepAlive: true});
  await measure(`HTTP, ${updateCount} updates`, relay, () =>
    postHeartbeat(relay.url, heartbeat, agent),
  );
  agent.destroy();
  transport.dispose();
  relay.close();
  await server.dispose();
}

for (const updateCount of [0, 6]) {
  await measureUpdates(updateCount);
}
