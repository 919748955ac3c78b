import http from 'node:http';
import {failure, success, type Result} from './result.js';

/** One HTTP request whose answer is small enough to be read whole. @public */
export interface HttpRequest {
  readonly method: string;
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | null;
  readonly agent: http.Agent;
  /** Local IP address that the connection comes from. */
  readonly sourceAddress?: string;
  /** Bound on the request and its answer. */
  readonly timeoutMs: number;
  /** Largest answer that is read. */
  readonly maxAnswerBytes?: number;
}

/** A complete answer. @public */
export interface HttpReply {
  readonly status: number;
  /** Headers by their names in lower case. */
  readonly headers: Readonly<http.IncomingHttpHeaders>;
  readonly body: string;
}

/** Why there is no complete answer. @public */
export interface HttpFailure {
  readonly reason: string;
  /** Whether a connection stood, so that the request may have been carried out. */
  readonly wasConnected: boolean;
}

const DEFAULT_MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/**
 * Sends a request by Node's own client, which adds no headers beyond those that
 * HTTP needs. A request without an answer in time closes its connection, so a
 * silent one is not used again.
 *
 * @public
 */
export function sendHttpRequest(
  request: HttpRequest,
): Promise<Result<HttpReply, HttpFailure>> {
  return new Promise(resolve => {
    let wasConnected = false;
    const fail = (reason: string): void => {
      clearTimeout(timer);
      resolve(failure({reason, wasConnected}));
    };
    const outgoing = http.request(
      request.url,
      {
        method: request.method,
        agent: request.agent,
        headers: request.headers ?? {},
        ...(request.sourceAddress === undefined
          ? {}
          : {localAddress: request.sourceAddress}),
      },
      incoming =>
        collectReply(incoming, request, reply => {
          clearTimeout(timer);
          resolve(success(reply));
        }),
    );
    const timer = setTimeout(() => {
      outgoing.destroy(new Error(`no answer within ${request.timeoutMs} ms`));
    }, request.timeoutMs);
    outgoing.on('socket', socket => {
      if (!socket.connecting) {
        wasConnected = true;
        return;
      }
      socket.once('connect', () => {
        wasConnected = true;
      });
    });
    outgoing.on('error', error => fail(error.message));
    outgoing.on('close', () => fail('connection closed'));
    outgoing.end(request.body ?? undefined);
  });
}

function collectReply(
  incoming: http.IncomingMessage,
  request: HttpRequest,
  handleReply: (reply: HttpReply) => void,
): void {
  const maxBytes = request.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES;
  const chunks: Buffer[] = [];
  let size = 0;
  incoming.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
    size += chunk.length;
    if (size > maxBytes) {
      incoming.destroy(new Error('answer too large'));
    }
  });
  // A broken answer is reported by the request's own `close` event.
  incoming.on('error', () => {});
  incoming.on('end', () => {
    const body = Buffer.concat(chunks).toString('utf8');
    const {headers, statusCode} = incoming;
    handleReply({status: statusCode ?? 0, headers, body});
  });
}
