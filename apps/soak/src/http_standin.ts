import http from 'node:http';
import {text} from 'node:stream/consumers';
import {listen} from './ports.js';

/** A stand-in that is called over HTTP, on a free port of loopback. @internal */
export abstract class HttpStandin {
  private listeningPort = 0;
  private readonly server = http.createServer((request, response) => {
    // A request that its sender breaks off is not carried out.
    text(request)
      .then(bodyText => this.respond(request, bodyText, response))
      .catch(() => response.destroy());
  });

  get port(): number {
    return this.listeningPort;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  protected async listen(): Promise<void> {
    const port = await listen(this.server, 0);
    if (port === null) {
      throw new Error('no port for a stand-in');
    }
    this.listeningPort = port;
  }

  protected abstract respond(
    request: http.IncomingMessage,
    bodyText: string,
    response: http.ServerResponse,
  ): Promise<void>;
}
