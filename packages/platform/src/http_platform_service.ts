import http from 'node:http';
import {
  sendHttpRequest,
  type HttpResponse,
} from '@filbertrun/base/http_request.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {z} from 'zod';
import type {
  ConditionalWrite,
  ListedVm,
  PlatformError,
  PlatformService,
  TableEntry,
} from './platform_service.js';

/**
 * HTTP client of the platform. docs/design/instance_protocol.md describes the
 * interface.
 */

/** Validates a table entry. @public */
export const tableEntrySchema = z
  .object({value: z.string(), revision: z.number().int().positive()})
  .readonly();

/** Validates an entry of the VM list. @public */
export const listedVmSchema = z
  .object({
    entryVm: z.string().min(1).max(64),
    availabilityZone: z.string().min(1).max(64),
    peerUrl: z.string().min(1).max(255),
    state: z.enum(['live', 'leaving']),
  })
  .readonly();

const vmListSchema = z.array(listedVmSchema).max(10_000).readonly();

/** Largest accepted response, in bytes. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Maximum number of connections to the platform. */
const MAX_SOCKETS = 4;

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_FIRST_SERVER_ERROR = 500;

/** Options of `HttpPlatformService`. @public */
export interface HttpPlatformOptions {
  /** For example `http://127.0.0.1:6600`. */
  readonly baseUrl: string;
  /** Timeout of a call. */
  readonly timeoutMs: number;
  /** Local IP address to connect from. */
  readonly sourceAddress?: string;
}

interface PlatformRequest {
  readonly method: 'GET' | 'PUT';
  readonly path: string;
  readonly body: string | null;
}

/** Calls the platform over HTTP with keep-alive connections. @public */
export class HttpPlatformService implements PlatformService {
  private readonly agent = new http.Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS,
  });

  private constructor(private readonly options: HttpPlatformOptions) {}

  static create(options: HttpPlatformOptions): HttpPlatformService {
    return new HttpPlatformService(options);
  }

  /** Closes the connections. */
  dispose(): void {
    this.agent.destroy();
  }

  async getEntry(
    key: string,
  ): Promise<Result<TableEntry | null, PlatformError>> {
    const response = await this.read(`/table/${encodeURIComponent(key)}`);
    if (!response.ok) {
      return response;
    }
    if (response.value.status === STATUS_NOT_FOUND) {
      return success(null);
    }
    return parseResponse(response.value, tableEntrySchema);
  }

  async putEntry(
    write: ConditionalWrite,
  ): Promise<Result<TableEntry, PlatformError>> {
    const {key, value, expectedRevision} = write;
    const response = await this.write(
      `/table/${encodeURIComponent(key)}`,
      JSON.stringify({value, expectedRevision}),
    );
    if (!response.ok) {
      return response;
    }
    if (response.value.status !== STATUS_CONFLICT) {
      return parseResponse(response.value, tableEntrySchema);
    }
    const current = parseBody(response.value, tableEntrySchema.nullable());
    return current.ok
      ? failure({kind: 'conflict', current: current.value})
      : current;
  }

  async getObject(name: string): Promise<Result<string | null, PlatformError>> {
    const response = await this.read(`/objects/${encodeURIComponent(name)}`);
    if (!response.ok) {
      return response;
    }
    if (response.value.status === STATUS_NOT_FOUND) {
      return success(null);
    }
    return checkStatus(response.value, body => success(body));
  }

  async putObject(
    name: string,
    body: string,
  ): Promise<Result<void, PlatformError>> {
    const path = `/objects/${encodeURIComponent(name)}`;
    const response = await this.write(path, body);
    if (!response.ok) {
      return response;
    }
    return checkStatus(response.value, () => success(undefined));
  }

  async listVms(): Promise<Result<readonly ListedVm[], PlatformError>> {
    const response = await this.read('/vms');
    return response.ok ? parseResponse(response.value, vmListSchema) : response;
  }

  private read(path: string): Promise<Result<HttpResponse, PlatformError>> {
    return this.send({method: 'GET', path, body: null});
  }

  private write(
    path: string,
    body: string,
  ): Promise<Result<HttpResponse, PlatformError>> {
    return this.send({method: 'PUT', path, body});
  }

  private async send(
    request: PlatformRequest,
  ): Promise<Result<HttpResponse, PlatformError>> {
    const {baseUrl, timeoutMs, sourceAddress} = this.options;
    const response = await sendHttpRequest({
      method: request.method,
      url: new URL(request.path, baseUrl).href,
      body: request.body,
      agent: this.agent,
      timeoutMs,
      maxResponseBytes: MAX_RESPONSE_BYTES,
      ...(sourceAddress === undefined ? {} : {sourceAddress}),
    });
    if (response.ok && response.value.status < STATUS_FIRST_SERVER_ERROR) {
      return response;
    }
    const wasConnected = response.ok || response.error.wasConnected;
    const isUnknown = request.method === 'PUT' && wasConnected;
    return failure({
      kind: isUnknown ? 'outcomeUnknown' : 'unavailable',
      reason: response.ok
        ? `status ${response.value.status}`
        : response.error.reason,
    });
  }
}

function checkStatus<T>(
  response: HttpResponse,
  read: (body: string) => Result<T, PlatformError>,
): Result<T, PlatformError> {
  if (response.status !== STATUS_OK) {
    return failure({kind: 'malformed', reason: `status ${response.status}`});
  }
  return read(response.body);
}

function parseResponse<T>(
  response: HttpResponse,
  schema: z.ZodType<T>,
): Result<T, PlatformError> {
  return checkStatus(response, () => parseBody(response, schema));
}

function parseBody<T>(
  response: HttpResponse,
  schema: z.ZodType<T>,
): Result<T, PlatformError> {
  try {
    const parsed = schema.safeParse(JSON.parse(response.body));
    if (parsed.success) {
      return success(parsed.data);
    }
    return failure({kind: 'malformed', reason: parsed.error.message});
  } catch {
    return failure({kind: 'malformed', reason: 'the response is not JSON'});
  }
}
