import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {HttpPlatformService} from './http_platform_service.js';

const cleanUps: (() => void)[] = [];

afterEach(() => {
  for (const cleanUp of cleanUps.splice(0)) {
    cleanUp();
  }
});

async function createService(
  handleRequest: http.RequestListener,
  timeoutMs = 5000,
): Promise<HttpPlatformService> {
  const server = http.createServer(handleRequest);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const baseUrl = `http://127.0.0.1:${port}`;
  const service = HttpPlatformService.create({baseUrl, timeoutMs});
  cleanUps.push(() => {
    service.dispose();
    server.closeAllConnections();
    server.close();
  });
  return service;
}

const WRITE = {key: 'claim/a', value: 'v', expectedRevision: 0};

describe('HttpPlatformService', () => {
  it('percent-encodes the key and parses the entry', async () => {
    const service = await createService((request, response) => {
      expect(request.url).toBe('/table/claim%2Fa');
      response.end('{"value":"v","revision":3}');
    });
    const entry = await service.getEntry('claim/a');
    expect(entry).toEqual({ok: true, value: {value: 'v', revision: 3}});
  });

  it('returns null for a missing key', async () => {
    const service = await createService((_, response) => {
      response.writeHead(404).end();
    });
    expect(await service.getEntry('k')).toEqual({ok: true, value: null});
  });

  it('reports status 409 as a conflict with the current entry', async () => {
    const service = await createService((_, response) => {
      response.writeHead(409).end('null');
    });
    const result = await service.putEntry(WRITE);
    expect(result).toEqual({
      ok: false,
      error: {kind: 'conflict', current: null},
    });
  });

  it('reports outcomeUnknown for a write whose connection was lost', async () => {
    const service = await createService(request => request.socket.destroy());
    const written = await service.putEntry(WRITE);
    const read = await service.getEntry('k');
    expect(written).toMatchObject({error: {kind: 'outcomeUnknown'}});
    expect(read).toMatchObject({error: {kind: 'unavailable'}});
  });

  it('reports outcomeUnknown for a write that timed out', async () => {
    const service = await createService(() => {}, 20);
    expect(await service.putEntry(WRITE)).toMatchObject({
      error: {kind: 'outcomeUnknown'},
    });
  });

  it('reports unavailable for a write that could not connect', async () => {
    const service = HttpPlatformService.create({
      baseUrl: 'http://127.0.0.1:1',
      timeoutMs: 5000,
    });
    cleanUps.push(() => service.dispose());
    expect(await service.putEntry(WRITE)).toMatchObject({
      error: {kind: 'unavailable'},
    });
  });

  it.each(['not json', '{"value":1}', '{"value":"v","revision":0}'])(
    'reports the malformed response %j',
    async body => {
      const service = await createService((_, response) => response.end(body));
      expect(await service.getEntry('k')).toMatchObject({
        error: {kind: 'malformed'},
      });
    },
  );
});
