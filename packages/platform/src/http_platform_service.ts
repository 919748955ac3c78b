import http from 'node:http';
import {
  sendHttpRequest,
  type HttpReply,
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
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

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
    const answer = await this.read(`/table/${encodeURIComponent(key)}`);
    if (!answer.ok) {
      return answer;
    }
    if (answer.value.status === STATUS_NOT_FOUND) {
      return success(null);
    }
    return parseAnswer(answer.value, tableEntrySchema);
  }

  async putEntry(
    write: ConditionalWrite,
  ): Promise<Result<TableEntry, PlatformError>> {
    const {key, value, expectedRevision} = write;
    const answer = await this.write(
      `/table/${encodeURIComponent(key)}`,
      JSON.stringify({value, expectedRevision}),
    );
    if (!answer.ok) {
      return answer;
    }
    if (answer.value.status !== STATUS_CONFLICT) {
      return parseAnswer(answer.value, tableEntrySchema);
    }
    const current = parseBody(answer.value, tableEntrySchema.nullable());
    return current.ok
      ? failure({kind: 'conflict', current: current.value})
      : current;
  }

  async getObject(name: string): Promise<Result<string | null, PlatformError>> {
    const answer = await this.read(`/objects/${encodeURIComponent(name)}`);
    if (!answer.ok) {
      return answer;
    }
    if (answer.value.status === STATUS_NOT_FOUND) {
      return success(null);
    }
    return checkStatus(answer.value, body => success(body));
  }

  async putObject(
    name: string,
    body: string,
  ): Promise<Result<void, PlatformError>> {
    const path = `/objects/${encodeURIComponent(name)}`;
    const answer = await this.write(path, body);
    if (!answer.ok) {
      return answer;
    }
    return checkStatus(answer.value, () => success(undefined));
  }

  async listVms(): Promise<Result<readonly ListedVm[], PlatformError>> {
    const answer = await this.read('/vms');
    return answer.ok ? parseAnswer(answer.value, vmListSchema) : answer;
  }

  private read(path: string): Promise<Result<HttpReply, PlatformError>> {
    return this.send({method: 'GET', path, body: null});
  }

  private write(
    path: string,
    body: string,
  ): Promise<Result<HttpReply, PlatformError>> {
    return this.send({method: 'PUT', path, body});
  }

  private async send(
    request: PlatformRequest,
  ): Promise<Result<HttpReply, PlatformError>> {
    const {baseUrl, timeoutMs, sourceAddress} = this.options;
    const reply = await sendHttpRequest({
      method: request.method,
      url: new URL(request.path, baseUrl).href,
      body: request.body,
      agent: this.agent,
      timeoutMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
      ...(sourceAddress === undefined ? {} : {sourceAddress}),
    });
    if (reply.ok && reply.value.status < STATUS_FIRST_SERVER_ERROR) {
      return reply;
    }
    const wasConnected = reply.ok || reply.error.wasConnected;
    const isUnknown = request.method === 'PUT' && wasConnected;
    return failure({
      kind: isUnknown ? 'outcomeUnknown' : 'unavailable',
      reason: reply.ok ? `status ${reply.value.status}` : reply.error.reason,
    });
  }
}

function checkStatus<T>(
  answer: HttpReply,
  read: (body: string) => Result<T, PlatformError>,
): Result<T, PlatformError> {
  if (answer.status !== STATUS_OK) {
    return failure({kind: 'malformed', reason: `status ${answer.status}`});
  }
  return read(answer.body);
}

function parseAnswer<T>(
  answer: HttpReply,
  schema: z.ZodType<T>,
): Result<T, PlatformError> {
  return checkStatus(answer, () => parseBody(answer, schema));
}

function parseBody<T>(
  answer: HttpReply,
  schema: z.ZodType<T>,
): Result<T, PlatformError> {
  try {
    const parsed = schema.safeParse(JSON.parse(answer.body));
    if (parsed.success) {
      return success(parsed.data);
    }
    return failure({kind: 'malformed', reason: parsed.error.message});
  } catch {
    return failure({kind: 'malformed', reason: 'the answer is not JSON'});
  }
}
