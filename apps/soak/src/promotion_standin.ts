import type http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {HttpStandin} from './http_standin.js';

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
export class PromotionStandin extends HttpStandin {
  readonly conduct: PromotionConduct = {acceptMs: 0, losesAnswers: false};
  private constructor(private readonly handler: PromotionHandler) {
    super();
  }

  static async start(handler: PromotionHandler): Promise<PromotionStandin> {
    const standin = new PromotionStandin(handler);
    await standin.listen();
    return standin;
  }

  /** A call takes effect whether or not its sender still waits for it. */
  protected async respond(
    request: http.IncomingMessage,
    bodyText: string,
    response: http.ServerResponse,
  ): Promise<void> {
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
      await pause(acceptMs);
    }
    const status = this.handler.accept(call);
    if (losesAnswers) {
      request.socket.destroy();
    } else if (!response.destroyed) {
      response.writeHead(status).end('{}');
    }
  }
}
