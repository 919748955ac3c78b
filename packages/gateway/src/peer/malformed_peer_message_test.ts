import net from 'node:net';
import {failure} from '@filbertrun/base/result.js';
import {createHTTPServer} from '@trpc/server/adapters/standalone';
import fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {ControlRelayHandler} from './control_relay.js';
import type {PeerHandler} from './peer_client.js';
import {createPeerRouter} from './peer_router.js';

/** Time after which a connection that sent a malformed message is closed. */
const CONNECTION_MS = 20;

const HANDLER: PeerHandler = {
  release: () =>
    Promise.resolve({
      incarnation: 'one',
      highestAcknowledged: null,
      drainedForMs: 0,
    }),
  announce: () => {},
  reportSuspicion: () => {},
  askReach: () => Promise.resolve({isReachable: true}),
  takeOverDuty: () => {},
  compareRecords: () => ({digest: 'digest'}),
  tellPosition: () => null,
  exchangePermits: () => null,
  followZone: () => Promise.reject(new Error('broken')),
};

const CONTROL: ControlRelayHandler = {
  listForPeer: () =>
    Promise.resolve(failure({kind: 'unavailable', reason: 'test'})),
  putForPeer: () =>
    Promise.resolve(failure({kind: 'unavailable', reason: 'test'})),
};

describe('the peer port', () => {
  let server: ReturnType<typeof createHTTPServer>;
  let port: number;

  beforeEach(async () => {
    server = createHTTPServer({router: createPeerRouter(HANDLER, CONTROL)});
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = server.address();
    port = typeof address === 'object' && address !== null ? address.port : 0;
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  /** Sends bytes and closes the connection without reading a response. */
  function send(bytes: Uint8Array | string): Promise<void> {
    return new Promise(resolve => {
      const socket = net.connect(port, '127.0.0.1', () => {
        socket.write(bytes);
        setTimeout(() => socket.destroy(), CONNECTION_MS);
      });
      socket.on('error', () => socket.destroy());
      socket.on('close', () => resolve());
    });
  }

  async function isAnswering(): Promise<boolean> {
    const response = await fetch(`http://127.0.0.1:${port}/compareRecords`);
    return response.ok;
  }

  it('still answers after receiving arbitrary bytes', async () => {
    await fc.assert(fc.asyncProperty(fc.uint8Array({maxLength: 300}), send), {
      numRuns: 25,
    });
    expect(await isAnswering()).toBe(true);
  });

  it('still answers after calls with arbitrary input', async () => {
    const procedures = [
      'followZone',
      'askPosition',
      'release',
      'announce',
      'putControl',
      'none',
    ];
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(...procedures),
        fc.json(),
        async (procedure, input) => {
          const query = `input=${encodeURIComponent(input)}`;
          await send(
            `GET /${procedure}?${query} HTTP/1.1\r\nhost: x\r\n\r\n` +
              `POST /${procedure} HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n` +
              `content-length: ${Buffer.byteLength(input)}\r\n\r\n${input}`,
          );
        },
      ),
      {numRuns: 25},
    );
    expect(await isAnswering()).toBe(true);
  });

  it('still answers after a handler has failed', async () => {
    const input = {
      entryVm: 'e2',
      incarnation: 'one',
      controlRevision: null,
      directoryRevision: null,
      configurationRevision: null,
      isUrgent: false,
      waitMs: 0,
    };
    const query = `input=${encodeURIComponent(JSON.stringify(input))}`;
    const response = await fetch(
      `http://127.0.0.1:${port}/followZone?${query}`,
    );
    expect(response.ok).toBe(false);
    expect(await isAnswering()).toBe(true);
  });
});
