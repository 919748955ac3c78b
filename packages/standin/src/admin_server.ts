import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {adminCommandSchema, type AdminCommand} from './admin_command.js';
import {readBody, sendJson} from './http_body.js';
import {listenForHttp} from './http_listener.js';

/** System that the admin interface controls. @internal */
export interface AdminTarget {
  /** Executes a command; rejects if it names an unknown instance or zone. */
  runCommand(command: AdminCommand): Promise<void>;
  /** Returns the state for `GET /admin/state`. */
  getState(): unknown;
}

const PATH_PREFIX = '/admin/';

/** Serves the admin interface over HTTP. @internal */
export class AdminServer {
  private readonly server: http.Server;

  private constructor(private readonly target: AdminTarget) {
    this.server = http.createServer((request, response) => {
      this.handleRequest(request, response).catch(error =>
        sendJson(response, 400, {error: String(error)}),
      );
    });
  }

  static create(target: AdminTarget): AdminServer {
    return new AdminServer(target);
  }

  /** Starts listening and returns the base URL. */
  listen(host: string, port: number): Promise<string> {
    return listenForHttp(this.server, host, port);
  }

  dispose(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = request.url ?? '';
    if (request.method === 'GET' && url === `${PATH_PREFIX}state`) {
      sendJson(response, 200, this.target.getState());
      return;
    }
    if (request.method !== 'POST' || !url.startsWith(PATH_PREFIX)) {
      sendJson(response, 404, {error: 'not found'});
      return;
    }
    const text = await readBody(request);
    const fields: unknown = text === '' ? {} : JSON.parse(text);
    const kind = url.slice(PATH_PREFIX.length);
    const command = adminCommandSchema.safeParse({
      ...(fields as object),
      kind,
    });
    if (!command.success) {
      sendJson(response, 400, {error: command.error.message});
      return;
    }
    await this.target.runCommand(command.data);
    sendJson(response, 200, {});
  }
}
