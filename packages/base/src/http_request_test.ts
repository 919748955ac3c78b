import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {sendHttpRequest, type HttpRequest} from './http_request.js';

describe('sendHttpRequest', () => {
  let server: http.Server;
  let agent: http.Agent;
  let handle: http.RequestListener;
  let connectionCount: number;

  beforeEach(async () => {
    connectionCount = 0;
    handle = (_request, response) => response.end('{}');
    server = http.createServer((request, response) =>
      handle(request, response),
    );
    server.on('connection', () => connectionCount++);
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    agent = new http.Agent({keepAlive: true});
  });

  afterEach(async () => {
    agent.destroy();
    server.closeAllConnections();
    await new Promise(resolve => {
      server.close(resolve);
    });
  });

  function send(changes: Partial<HttpRequest> = {}) {
    const {port} = server.address() as AddressInfo;
    return sendHttpRequest({
      method: 'GET',
      url: `http://127.0.0.1:${port}/path?key=value`,
      agent,
      timeoutMs: 2_000,
      ...changes,
    });
  }

  /** Sends a piece of the body at once and another after a pause. */
  function respondInTwoPieces(pauseMs: number): http.RequestListener {
    return (_request, response) => {
      response.write('one');
      setTimeout(() => response.end(' two'), pauseMs);
    };
  }

  it('awaits the rest of a response that keeps arriving after the timeout', async () => {
    handle = respondInTwoPieces(300);
    expect(await send({timeoutMs: 200, stallTimeoutMs: 5_000})).toMatchObject({
      ok: true,
      value: {body: 'one two'},
    });
  });

  it('gives up a response that stops arriving, and tells how much arrived', async () => {
    handle = respondInTwoPieces(5_000);
    expect(await send({timeoutMs: 1_000, stallTimeoutMs: 100})).toMatchObject({
      ok: false,
      error: {reason: 'no response within 100 ms, 3 bytes of it received'},
    });
  });

  it('returns the status, headers and body of a response', async () => {
    handle = (request, response) => {
      response.statusCode = 412;
      response.sendDate = false;
      response.setHeader('X-Count', '3');
      response.end(`${request.method} ${request.url}`);
    };
    expect(await send()).toEqual({
      ok: true,
      value: {
        status: 412,
        headers: {
          'x-count': '3',
          connection: 'keep-alive',
          'keep-alive': 'timeout=5',
          'content-length': '19',
        },
        body: 'GET /path?key=value',
      },
    });
  });

  it('sends the body and adds only the headers that HTTP requires', async () => {
    let seen: readonly string[] = [];
    let body = '';
    handle = (request, response) => {
      seen = Object.keys(request.headers).sort();
      request.on('data', chunk => (body += String(chunk)));
      request.on('end', () => response.end());
    };
    await send({
      method: 'POST',
      body: '{"a":1}',
      headers: {'content-type': 'application/json'},
    });
    expect(body).toBe('{"a":1}');
    expect(seen).toEqual([
      'connection',
      'content-length',
      'content-type',
      'host',
    ]);
  });

  it('reuses a connection unless a request on it timed out', async () => {
    await send();
    await send();
    expect(connectionCount).toBe(1);
    handle = () => {};
    const timedOut = await send({timeoutMs: 50});
    expect(timedOut).toMatchObject({ok: false, error: {wasConnected: true}});
    handle = (_request, response) => response.end();
    await send();
    expect(connectionCount).toBe(2);
  });

  it('reports wasConnected false when the connection is refused', async () => {
    const port = (server.address() as AddressInfo).port;
    server.closeAllConnections();
    await new Promise(resolve => {
      server.close(resolve);
    });
    const refused = await sendHttpRequest({
      method: 'GET',
      url: `http://127.0.0.1:${port}/`,
      agent,
      timeoutMs: 2_000,
    });
    expect(refused).toMatchObject({ok: false, error: {wasConnected: false}});
  });

  it('fails when the response is truncated or too large', async () => {
    handle = (_request, response) => {
      response.setHeader('content-length', 100);
      response.write('part');
      setTimeout(() => response.destroy(), 20);
    };
    expect(await send()).toMatchObject({ok: false});
    handle = (_request, response) => response.end('x'.repeat(1_000));
    expect(await send({maxResponseBytes: 100})).toMatchObject({ok: false});
  });

  // Guards against an unhandled rejection: the runtime throws on such a URL.
  it.each(['http://127.0.0.1:70000/', 'http://[x', 'http://a b/'])(
    'fails without connecting to %s',
    async url => {
      const result = await send({url});
      expect(result).toMatchObject({ok: false, error: {wasConnected: false}});
    },
  );

  it('fails when the runtime refuses a header', async () => {
    const result = await send({headers: {name: 'a\nb'}});
    expect(result).toMatchObject({ok: false, error: {wasConnected: false}});
  });

  // Guards against a request that leaves after its sender may no longer act.
  it.each([false, true])(
    'sends nothing that is denied once the connection is open (open before: %s)',
    async isOpenBefore => {
      let requestCount = 0;
      if (isOpenBefore) {
        await send();
      }
      handle = (_request, response) => {
        requestCount++;
        response.end('{}');
      };
      const denied = await send({maySend: () => false});
      expect(denied).toMatchObject({ok: false, error: {wasConnected: false}});
      expect(requestCount).toBe(0);
      const allowed = await send({
        method: 'POST',
        body: 'x',
        maySend: () => true,
      });
      expect(allowed.ok).toBe(true);
      expect(requestCount).toBe(1);
    },
  );

  it('resets the connection of a guarded request that times out', async () => {
    let error: Error | null = null;
    handle = request => {
      request.socket.on('error', caught => {
        error = caught;
      });
    };
    const result = await send({timeoutMs: 50, maySend: () => true});
    expect(result).toMatchObject({ok: false, error: {wasConnected: true}});
    await vi.waitFor(() => expect(error).toMatchObject({code: 'ECONNRESET'}));
  });
});
