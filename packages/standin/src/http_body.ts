import type {IncomingMessage, ServerResponse} from 'node:http';

/** Maximum size of a request body. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** Reads a request body as UTF-8; rejects if it is too large. @internal */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    const bytes = chunk as Buffer;
    size += bytes.length;
    if (size > MAX_BODY_BYTES) {
      throw new Error('the body is too large');
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends a value as a JSON response. @internal */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}
