import http from 'node:http';
import {HOST, listen} from './ports.js';
import {readBody} from './store_standin.js';

/** A call that orders a promotion. @internal */
export interface PromoteCall {
  readonly databaseGroup: string;
  readonly target: string;
  readonly holder: string;
  readonly fencingToken: number;
}

/** How the API treats calls. @internal */
export interface PromotionConduct {
  /** Time until a call is accepted. */
  acceptMs: number;
  /** Carries calls out without an answer. */
  losesAnswers: boolean;
}

/** What becomes of calls. @internal */
export interface PromotionHandler {
  handleArrival(call: PromoteCall): void;
  /** Accepts a call; returns the status of the response. */
  accept(call: PromoteCall): number;
}

/** Stand-in of the platform's API that orders promotions. @internal */
export class PromotionStandin {
  readonly conduct: PromotionConduct = {acceptMs: 0, losesAnswers: false};
  private listeningPort = 0;
  private readonly server: http.Server;

  private constructor(private readonly handler: PromotionHandler) {
    this.server = http.createServer((request, response) => {
      // A request that its sender breaks off is not carried out.
      this.respond(request, response).catch(() => response.destroy());
    });
  }

  static async start(handler: PromotionHandler): Promise<PromotionStandin> {
    const standin = new PromotionStandin(handler);
    const port = await listen(standin.server, 0);
    if (port === null) {
      throw new Error('no port for the promotion API');
    }
    standin.listeningPort = port;
    return standin;
  }

  get port(): number {
    return this.listeningPort;
  }

  get address(): string {
    return `${HOST}:${this.listeningPort}`;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** A call takes effect whether or not its sender still waits for it. */
  private async respond(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const bodyText = await readBody(request);
    if (request.url !== '/promote') {
      response.writeHead(404).end('{}');
      return;
    }
    const {backend, id} = JSON.parse(bodyText) as {
      readonly backend: string;
      readonly id: string;
    };
    const call = {
      databaseGroup: backend,
      target: id,
      holder: String(request.headers['lease-holder']),
      fencingToken: Number(request.headers['fencing-token']),
    };
    this.handler.handleArrival(call);
    const {acceptMs, losesAnswers} = this.conduct;
    if (acceptMs > 0) {
      await new Promise(resolve => setTimeout(resolve, acceptMs));
    }
    const status = this.handler.accept(call);
    if (losesAnswers) {
      request.socket.destroy();
    } else if (!response.destroyed) {
      response.writeHead(status).end('{}');
    }
  }
}
