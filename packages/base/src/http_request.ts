import http from 'node:http';
import {failure, success, type Result} from './result.js';

/** An HTTP request whose response is buffered in memory. @public */
export interface HttpRequest {
  readonly method: string;
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | null;
  readonly agent: http.Agent;
  /** Local IP address to connect from. */
  readonly sourceAddress?: string;
  /**
   * Timeout from sending the request to the end of the response; with
   * `stallTimeoutMs`, to the first byte of its body.
   */
  readonly timeoutMs: number;
  /**
   * Longest time between two pieces of the body. With it, a response that keeps
   * arriving is awaited to its end, however large it is.
   */
  readonly stallTimeoutMs?: number;
  /**
   * Asked once the connection is open, right before the request is sent. If it
   * denies, nothing is sent. With it, a request that times out also resets its
   * connection, so that the system sends nothing of it any more.
   */
  readonly maySend?: () => boolean;
  /** Largest accepted response body. A larger one fails the request. */
  readonly maxResponseBytes?: number;
}

/** A complete HTTP response. @public */
export interface HttpResponse {
  readonly status: number;
  /** Headers by lower-case name. */
  readonly headers: Readonly<http.IncomingHttpHeaders>;
  readonly body: string;
}

/** Why a request has no complete response. @public */
export interface HttpFailure {
  readonly reason: string;
  /** Whether a connection existed. If so, the request may have taken effect. */
  readonly wasConnected: boolean;
}

const DEFAULT_MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/**
 * Sends a request with `node:http`, which adds only the headers that HTTP
 * requires. A timeout closes the connection, so the agent never reuses a
 * connection with an outstanding response.
 *
 * @public
 */
export function sendHttpRequest(
  request: HttpRequest,
): Promise<Result<HttpResponse, HttpFailure>> {
  return new Promise(resolve => {
    let wasConnected = false;
    let receivedBytes = 0;
    const fail = (reason: string): void => {
      clearTimeout(timer);
      resolve(failure({reason, wasConnected}));
    };
    const created = createRequest(request, incoming =>
      readResponse(incoming, request, {
        handleChunk: size => {
          receivedBytes += size;
          if (request.stallTimeoutMs !== undefined) {
            clearTimeout(timer);
            timer = startTimeout(request.stallTimeoutMs);
          }
        },
        handleResponse: response => {
          clearTimeout(timer);
          resolve(success(response));
        },
      }),
    );
    if (!created.ok) {
      resolve(failure({reason: created.error, wasConnected}));
      return;
    }
    const outgoing = created.value;
    const giveUp = (afterMs: number): void => {
      if (request.maySend !== undefined) {
        resetConnection(outgoing);
      }
      const received =
        receivedBytes === 0 ? '' : `, ${receivedBytes} bytes of it received`;
      outgoing.destroy(
        new Error(`no response within ${afterMs} ms${received}`),
      );
    };
    const startTimeout = (afterMs: number) =>
      setTimeout(() => giveUp(afterMs), afterMs);
    let timer = startTimeout(request.timeoutMs);
    const handleConnected = (): void => {
      if (request.maySend?.() === false) {
        outgoing.destroy(new Error('the request may not be sent any more'));
        return;
      }
      wasConnected = true;
      if (request.maySend !== undefined) {
        outgoing.end(request.body ?? undefined);
      }
    };
    outgoing.on('socket', socket => {
      if (socket.connecting) {
        socket.once('connect', handleConnected);
      } else {
        handleConnected();
      }
    });
    outgoing.on('error', error => fail(error.message));
    outgoing.on('close', () => fail('connection closed'));
    if (request.maySend === undefined) {
      outgoing.end(request.body ?? undefined);
    }
  });
}

/** Discards what the system has not yet sent on an open connection. */
function resetConnection({socket}: http.ClientRequest): void {
  if (socket !== null && !socket.connecting) {
    socket.resetAndDestroy();
  }
}

/** Creates a request; fails on a URL or header that the runtime refuses. */
function createRequest(
  request: HttpRequest,
  handleResponse: (incoming: http.IncomingMessage) => void,
): Result<http.ClientRequest, string> {
  const {sourceAddress} = request;
  try {
    const outgoing = http.request(
      request.url,
      {
        method: request.method,
        agent: request.agent,
        headers: request.headers ?? {},
        ...(sourceAddress === undefined ? {} : {localAddress: sourceAddress}),
      },
      handleResponse,
    );
    return success(outgoing);
  } catch (error) {
    return failure(String(error));
  }
}

interface ResponseHandler {
  /** Called with the size of each piece of the body. */
  handleChunk(bytes: number): void;
  handleResponse(response: HttpResponse): void;
}

function readResponse(
  incoming: http.IncomingMessage,
  request: HttpRequest,
  handler: ResponseHandler,
): void {
  const maxBytes = request.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES;
  const chunks: Buffer[] = [];
  let size = 0;
  incoming.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
    size += chunk.length;
    handler.handleChunk(chunk.length);
    if (size > maxBytes) {
      incoming.destroy(new Error('response too large'));
    }
  });
  // The `close` event of the request reports an incomplete response.
  incoming.on('error', () => {});
  incoming.on('end', () => {
    const body = Buffer.concat(chunks).toString('utf8');
    const {headers, statusCode} = incoming;
    handler.handleResponse({status: statusCode ?? 0, headers, body});
  });
}
