import http from 'node:http';
import {listen} from './ports.js';

/** Answers one request whose body has arrived whole. @internal */
export type RequestHandler = (
  request: http.IncomingMessage,
  bodyText: string,
  response: http.ServerResponse,
) => Promise<void>;

/** HTTP server of a stand-in, on a free port of loopback. @internal */
export class LoopbackServer {
  private listeningPort = 0;
  private readonly server: http.Server;

  private constructor(handle: RequestHandler) {
    this.server = http.createServer((request, response) => {
      // A request that its sender breaks off is not carried out.
      readBody(request)
        .then(bodyText => handle(request, bodyText, response))
        .catch(() => response.destroy());
    });
  }

  static create(handle: RequestHandler): LoopbackServer {
    return new LoopbackServer(handle);
  }

  get port(): number {
    return this.listeningPort;
  }

  async start(): Promise<void> {
    const port = await listen(this.server, 0);
    if (port === null) {
      throw new Error('no port for a stand-in');
    }
    this.listeningPort = port;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

async function readBody(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}
