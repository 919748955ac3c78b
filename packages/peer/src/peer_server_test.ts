import {SystemClock} from '@filbertrun/base/clock.js';
import {NullLogger} from '@filbertrun/observability/logger.js';
import {afterEach, describe, expect, it} from 'vitest';
import {WebSocket} from 'ws';
import {createFakeHandler, HEARTBEAT} from './fake_peer_handler.js';
import {formatAuthorization} from './peer_credentials.js';
import type {PeerHandler} from './peer_protocol.js';
import {PeerServer} from './peer_server.js';
import {WebSocketTransport} from './web_socket_transport.js';

const SECRETS = {peerSecret: 'peer-secret', operatorSecret: 'operator-secret'};

const disposers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const dispose of disposers.splice(0).reverse()) {
    await dispose();
  }
});

async function startServer(overrides: Partial<PeerHandler> = {}) {
  const server = await PeerServer.create({
    host: '127.0.0.1',
    port: 0,
    handler: createFakeHandler(overrides),
    secrets: SECRETS,
    tls: null,
    logger: NullLogger.create(),
  });
  disposers.push(() => server.dispose());
  return `http://127.0.0.1:${server.getPort()}`;
}

function createTransport(secret = SECRETS.peerSecret) {
  const transport = WebSocketTransport.create({
    clock: SystemClock.create(),
    secret,
    sourceAddress: '127.0.0.1',
    tls: null,
  });
  disposers.push(() => transport.dispose());
  return transport;
}

async function sendRawText(peerUrl: string, text: string): Promise<string> {
  const socket = new WebSocket(peerUrl.replace('http', 'ws'), {
    headers: {authorization: formatAuthorization(SECRETS.peerSecret)},
  });
  disposers.push(() => socket.terminate());
  return new Promise((resolve, reject) => {
    socket.on('open', () => socket.send(text));
    socket.on('message', data => resolve(String(data)));
    socket.on('error', reject);
  });
}

describe('the peer interface', () => {
  it('answers a heartbeat', async () => {
    const peerUrl = await startServer();
    const response = await createTransport().call(
      peerUrl,
      'heartbeat',
      HEARTBEAT,
      5000,
    );
    expect(response).toEqual({ok: true, value: HEARTBEAT});
  });

  it('rejects a client with a wrong secret', async () => {
    const peerUrl = await startServer();
    const transport = createTransport('wrong-secret');
    const response = await transport.call(peerUrl, 'getStatus', {}, 5000);
    expect(response.ok).toBe(false);
  });

  it('rejects calls of operators to procedures for proxies', async () => {
    const peerUrl = await startServer();
    const transport = createTransport(SECRETS.operatorSecret);
    const refused = await transport.call(peerUrl, 'getMembers', {}, 5000);
    const allowed = await transport.call(peerUrl, 'getStatus', {}, 5000);
    expect(refused).toMatchObject({ok: false, error: {kind: 'rejected'}});
    expect(allowed.ok).toBe(true);
  });

  it('reports the invalid field of an input and continues serving', async () => {
    const peerUrl = await startServer();
    const transport = createTransport();
    const malformed = {...HEARTBEAT, membersDigest: 'text'} as never;
    const refused = await transport.call(peerUrl, 'heartbeat', malformed, 5000);
    expect(JSON.stringify(refused)).toContain('membersDigest');
    const accepted = await transport.call(peerUrl, 'getMembers', {}, 5000);
    expect(accepted.ok).toBe(true);
  });

  it.each(['{', 'null', '[1]', '{"id":1}', '{"id":1,"method":"mutation"}'])(
    'responds to the frame %s with an error',
    async frame => {
      const peerUrl = await startServer();
      expect(await sendRawText(peerUrl, frame)).toContain('"error"');
    },
  );

  it('reports a timeout when a peer does not respond', async () => {
    const peerUrl = await startServer({
      getMembers: () => new Promise(() => {}),
    });
    const response = await createTransport().call(
      peerUrl,
      'getMembers',
      {},
      20,
    );
    expect(response).toEqual({
      ok: false,
      error: {kind: 'timedOut', timeoutMs: 20},
    });
  });

  it('reports a stopped peer and reconnects after its restart', async () => {
    const handler = createFakeHandler();
    const options = {
      host: '127.0.0.1',
      handler,
      secrets: SECRETS,
      tls: null,
      logger: NullLogger.create(),
    };
    const first = await PeerServer.create({...options, port: 0});
    const port = first.getPort();
    const peerUrl = `http://127.0.0.1:${port}`;
    const transport = createTransport();
    expect((await transport.call(peerUrl, 'getMembers', {}, 5000)).ok).toBe(
      true,
    );
    await first.dispose();
    const stopped = await transport.call(peerUrl, 'getMembers', {}, 5000);
    expect(stopped.ok).toBe(false);
    const second = await PeerServer.create({...options, port});
    disposers.push(() => second.dispose());
    let isReconnected = false;
    for (let attempt = 0; attempt < 20 && !isReconnected; attempt++) {
      isReconnected = (await transport.call(peerUrl, 'getMembers', {}, 5000))
        .ok;
    }
    expect(isReconnected).toBe(true);
  });
});
