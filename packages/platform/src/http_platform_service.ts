import http from 'node:http';
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
 * The platform over HTTP, as docs/design/instance_protocol.md describes it.
 *
 * @public
 */

/** Validates a table entry. @public */
export const tableEntrySchema = z
  .object({value: z.string(), revision: z.number().int().positive()})
  .readonly();

/** Validates one VM of the list. @public */
export const listedVmSchema = z
  .object({
    entryVm: z.string().min(1).max(64),
    availabilityZone: z.string().min(1).max(64),
    peerUrl: z.string().min(1).max(255),
    state: z.enum(['live', 'leaving']),
  })
  .readonly();

const vmListSchema = z.array(listedVmSchema).max(10_000).readonly();

/** Largest answer that is read, in bytes. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** Connections to the platform that are kept open at most. */
const MAX_SOCKETS = 4;

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_FIRST_SERVER_ERROR = 500;

/** How the platform is reached. @public */
export interface HttpPlatformOptions {
  /** For example `http://127.0.0.1:6600`. */
  readonly baseUrl: string;
  /** Bound on one call. */
  readonly timeoutMs: number;
  /** Local IP address that connections come from. */
  readonly sourceAddress?: string;
}

interface PlatformRequest {
  readonly method: 'GET' | 'PUT';
  readonly path: string;
  readonly body: string | null;
}

interface PlatformAnswer {
  readonly status: number;
  readonly body: string;
}

/** Reaches the platform over HTTP with kept-alive connections. @public */
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

  private read(path: string): Promise<Result<PlatformAnswer, PlatformError>> {
    return this.send({method: 'GET', path, body: null});
  }

  private write(
    path: string,
    body: string,
  ): Promise<Result<PlatformAnswer, PlatformError>> {
    return this.send({method: 'PUT', path, body});
  }

  private send(
    request: PlatformRequest,
  ): Promise<Result<PlatformAnswer, PlatformError>> {
    return new Promise(resolve => {
      let isConnected = false;
      const handleFailure = (reason: string): void => {
        const isUnknown = request.method === 'PUT' && isConnected;
        const kind = isUnknown ? 'outcomeUnknown' : 'unavailable';
        resolve(failure({kind, reason}));
      };
      const outgoing = this.openRequest(request, answer => {
        if (answer.status >= STATUS_FIRST_SERVER_ERROR) {
          handleFailure(`status ${answer.status}`);
          return;
        }
        resolve(success(answer));
      });
      outgoing.on('socket', socket => {
        if (!socket.connecting) {
          isConnected = true;
          return;
        }
        socket.once('connect', () => {
          isConnected = true;
        });
      });
      outgoing.on('error', error => handleFailure(error.message));
      outgoing.on('close', () => handleFailure('connection closed'));
      outgoing.end(request.body ?? undefined);
    });
  }

  private openRequest(
    request: PlatformRequest,
    onAnswer: (answer: PlatformAnswer) => void,
  ): http.ClientRequest {
    const {baseUrl, timeoutMs, sourceAddress} = this.options;
    const outgoing = http.request(
      new URL(request.path, baseUrl),
      {
        method: request.method,
        agent: this.agent,
        ...(sourceAddress === undefined ? {} : {localAddress: sourceAddress}),
      },
      incoming => collectAnswer(incoming, onAnswer),
    );
    const timer = setTimeout(() => {
      outgoing.destroy(new Error(`no answer within ${timeoutMs} ms`));
    }, timeoutMs);
    outgoing.on('close', () => clearTimeout(timer));
    return outgoing;
  }
}

function collectAnswer(
  incoming: http.IncomingMessage,
  onAnswer: (answer: PlatformAnswer) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  incoming.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) {
      incoming.destroy(new Error('answer too large'));
    }
  });
  // A broken answer is reported by the request's own `close` event.
  incoming.on('error', () => {});
  incoming.on('end', () => {
    const body = Buffer.concat(chunks).toString('utf8');
    onAnswer({status: incoming.statusCode ?? 0, body});
  });
}

function checkStatus<T>(
  answer: PlatformAnswer,
  read: (body: string) => Result<T, PlatformError>,
): Result<T, PlatformError> {
  if (answer.status !== STATUS_OK) {
    return failure({kind: 'malformed', reason: `status ${answer.status}`});
  }
  return read(answer.body);
}

function parseAnswer<T>(
  answer: PlatformAnswer,
  schema: z.ZodType<T>,
): Result<T, PlatformError> {
  return checkStatus(answer, () => parseBody(answer, schema));
}

function parseBody<T>(
  answer: PlatformAnswer,
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
