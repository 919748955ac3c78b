import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {InMemoryPlatformService} from '@filbertrun/platform/in_memory_platform_service.js';
import {listedVmSchema} from '@filbertrun/platform/http_platform_service.js';
import type {
  ListedVm,
  PlatformError,
} from '@filbertrun/platform/platform_service.js';
import type {Result} from '@filbertrun/base/result.js';
import {z} from 'zod';
import {readBody, sendJson} from './http_body.js';
import {listenForHttp} from './http_listener.js';
import {PLATFORM_ZONE, type ZoneNetwork} from './zone_network.js';

/** Options of a platform server. @internal */
export interface PlatformServerOptions {
  readonly platform: InMemoryPlatformService;
  readonly network: ZoneNetwork;
  /** URL of the relay through which other VMs connect to a VM. */
  readonly getRelayUrl: (vm: ListedVm) => Promise<string>;
}

const conditionalWriteSchema = z
  .object({
    value: z.string(),
    expectedRevision: z.number().int().nonnegative(),
  })
  .readonly();

const vmBodySchema = z
  .object({
    availabilityZone: z.string().min(1).max(64),
    peerUrl: z.string().min(1).max(255),
    state: z.enum(['live', 'leaving']),
  })
  .readonly();

const PATH_PATTERN = /^\/(table|objects|vms)(?:\/([^/?]+))?$/;

/** Serves the platform over HTTP, subject to the zone network. @internal */
export class PlatformServer {
  private readonly server: http.Server;
  /** Resume functions of requests or responses that a cut holds back. */
  private readonly pausedRequests = new Set<() => void>();
  private readonly unsubscribe: () => void;

  private constructor(private readonly options: PlatformServerOptions) {
    this.server = http.createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    this.unsubscribe = options.network.onChange(() =>
      this.resumePausedRequests(),
    );
  }

  static create(options: PlatformServerOptions): PlatformServer {
    return new PlatformServer(options);
  }

  /** Starts listening and returns the base URL. */
  listen(host: string, port: number): Promise<string> {
    return listenForHttp(this.server, host, port);
  }

  dispose(): void {
    this.unsubscribe();
    this.server.closeAllConnections();
    this.server.close();
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {network} = this.options;
    const zone = network.findZoneOfAddress(request.socket.remoteAddress);
    const body = await readBody(request);
    await this.waitWhile(() => network.isCut(zone, PLATFORM_ZONE));
    if (request.socket.destroyed) {
      return;
    }
    const httpResponse = await this.dispatch(request, body);
    await this.waitWhile(() => network.isCut(PLATFORM_ZONE, zone));
    if (typeof httpResponse.body === 'string') {
      response.writeHead(httpResponse.status);
      response.end(httpResponse.body);
      return;
    }
    sendJson(response, httpResponse.status, httpResponse.body.json);
  }

  private async dispatch(
    request: IncomingMessage,
    body: string,
  ): Promise<HttpResponse> {
    const match = PATH_PATTERN.exec(request.url ?? '');
    const name = decodeName(match?.[2] ?? '');
    const route = `${request.method} ${match?.[1]}`;
    if (match === null || name === null) {
      return NOT_FOUND;
    }
    if (route === 'GET vms' && name === '') {
      return this.listVms();
    }
    if (name === '') {
      return NOT_FOUND;
    }
    switch (route) {
      case 'GET table':
        return this.getEntry(name);
      case 'PUT table':
        return this.putEntry(name, body);
      case 'GET objects':
        return this.getObject(name);
      case 'PUT objects':
        return this.putObject(name, body);
      case 'PUT vms':
        return this.putVm(name, body);
      case 'DELETE vms':
        this.options.platform.removeVm(name);
        return createJsonResponse({});
      default:
        return NOT_FOUND;
    }
  }

  private async getEntry(key: string): Promise<HttpResponse> {
    const result = await this.options.platform.getEntry(key);
    return createResponse(result, entry =>
      entry === null ? NOT_FOUND : createJsonResponse(entry),
    );
  }

  private async putEntry(key: string, body: string): Promise<HttpResponse> {
    const write = conditionalWriteSchema.safeParse(parseJson(body));
    if (!write.success) {
      return BAD_REQUEST;
    }
    const result = await this.options.platform.putEntry({key, ...write.data});
    return createResponse(result, createJsonResponse);
  }

  private async getObject(name: string): Promise<HttpResponse> {
    const result = await this.options.platform.getObject(name);
    return createResponse(result, body =>
      body === null ? NOT_FOUND : {status: 200, body},
    );
  }

  private async putObject(name: string, body: string): Promise<HttpResponse> {
    const result = await this.options.platform.putObject(name, body);
    return createResponse(result, () => createJsonResponse({}));
  }

  private async listVms(): Promise<HttpResponse> {
    const result = await this.options.platform.listVms();
    return createResponse(result, createJsonResponse);
  }

  /**
   * Adds a VM to the list under the URL of its relay; responds with the listed
   * entry.
   */
  private async putVm(entryVm: string, body: string): Promise<HttpResponse> {
    const parsed = vmBodySchema.safeParse(parseJson(body));
    if (!parsed.success) {
      return BAD_REQUEST;
    }
    const vm = listedVmSchema.parse({entryVm, ...parsed.data});
    const peerUrl = await this.options.getRelayUrl(vm);
    const listed = {...vm, peerUrl};
    this.options.platform.putVm(listed);
    return createJsonResponse(listed);
  }

  private async waitWhile(isCut: () => boolean): Promise<void> {
    while (isCut()) {
      await new Promise<void>(resolve => this.pausedRequests.add(resolve));
    }
  }

  private resumePausedRequests(): void {
    const resumeFunctions = [...this.pausedRequests];
    this.pausedRequests.clear();
    for (const resume of resumeFunctions) {
      resume();
    }
  }
}

interface HttpResponse {
  readonly status: number;
  /** Text, or a value that is sent as JSON. */
  readonly body: string | {readonly json: unknown};
}

const NOT_FOUND: HttpResponse = {status: 404, body: ''};
const BAD_REQUEST: HttpResponse = {status: 400, body: ''};

function createJsonResponse(json: unknown): HttpResponse {
  return {status: 200, body: {json}};
}

function createResponse<T>(
  result: Result<T, PlatformError>,
  createSuccess: (value: T) => HttpResponse,
): HttpResponse {
  return result.ok
    ? createSuccess(result.value)
    : createErrorResponse(result.error);
}

function createErrorResponse(error: PlatformError): HttpResponse {
  switch (error.kind) {
    case 'conflict':
      return {status: 409, body: {json: error.current}};
    case 'unavailable':
    case 'outcomeUnknown':
    case 'malformed':
      return {status: 503, body: error.reason};
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}

function decodeName(text: string): string | null {
  try {
    return decodeURIComponent(text);
  } catch {
    return null;
  }
}
