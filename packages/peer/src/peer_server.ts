import type {Logger} from '@filbertrun/observability/logger.js';
import type {AnyRouter} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import http from 'node:http';
import https from 'node:https';
import type {AddressInfo, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {WebSocketServer} from 'ws';
import {authenticate, type PeerSecrets} from './peer_credentials.js';
import type {PeerHandler} from './peer_protocol.js';
import {createPeerRouter, type PeerContext} from './peer_router.js';

/**
 * Serves the peer interface: tRPC over WebSocket for proxies, and over HTTP
 * under `/trpc/` for operators' programs.
 *
 * @public
 */

/** Key and certificates for TLS, as PEM text. @public */
export interface PeerTlsOptions {
  readonly key: string;
  readonly certificate: string;
  /** CA certificates; each client must present a certificate that they sign. */
  readonly authorities: string;
}

/** Options of a peer server. @public */
export interface PeerServerOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly handler: PeerHandler;
  readonly secrets: PeerSecrets;
  readonly tls: PeerTlsOptions | null;
  readonly logger: Logger;
}

/** Maximum size of a message, in bytes. */
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Maximum number of concurrent connections. */
const MAX_CONNECTIONS = 2000;

/** Path prefix of procedures over HTTP. */
const HTTP_PREFIX = '/trpc/';

/** Serves the peer interface of one proxy. @public */
export class PeerServer {
  private readonly server: http.Server;
  private readonly webSockets: WebSocketServer;
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly options: PeerServerOptions) {
    const router = createPeerRouter(options.handler);
    this.server = this.createServer(router);
    this.server.maxConnections = MAX_CONNECTIONS;
    this.webSockets = new WebSocketServer({
      noServer: true,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    applyWSSHandler({
      wss: this.webSockets,
      router,
      createContext: ({req}) => this.createContext(req),
      onError: ({error, path}) => this.logRefusal(error.message, path),
    });
    this.webSockets.on('connection', socket => {
      socket.on('error', error => this.logRefusal(error.message, undefined));
    });
    this.server.on('upgrade', (request, socket, head) => {
      this.handleUpgrade(request, socket, head);
    });
    this.server.on('connection', socket => this.trackSocket(socket));
  }

  /** Creates a server and starts listening; rejects if the port is in use. */
  static async create(options: PeerServerOptions): Promise<PeerServer> {
    const peerServer = new PeerServer(options);
    await peerServer.listen();
    return peerServer;
  }

  /** Returns the port that the server listens on. */
  getPort(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Returns the bytes received and sent on currently open connections. */
  getOpenConnectionBytes(): {
    readonly receivedBytes: number;
    readonly sentBytes: number;
  } {
    let receivedBytes = 0;
    let sentBytes = 0;
    for (const socket of this.sockets) {
      receivedBytes += socket.bytesRead;
      sentBytes += socket.bytesWritten;
    }
    return {receivedBytes, sentBytes};
  }

  /** Stops listening and closes every connection. */
  async dispose(): Promise<void> {
    for (const client of this.webSockets.clients) {
      client.terminate();
    }
    this.webSockets.close();
    const closed = new Promise<void>(resolve => {
      this.server.close(() => resolve());
    });
    this.server.closeAllConnections();
    await closed;
  }

  private createServer(router: AnyRouter): http.Server {
    const handleCall = createHTTPHandler({
      router,
      basePath: HTTP_PREFIX,
      maxBodySize: MAX_MESSAGE_BYTES,
      createContext: ({req}) => this.createContext(req),
      onError: ({error, path}) => this.logRefusal(error.message, path),
    });
    const listener: http.RequestListener = (request, response) => {
      if (!request.url?.startsWith(HTTP_PREFIX)) {
        response.writeHead(404).end('not found\n');
        return;
      }
      if (this.getRole(request) === null) {
        response.writeHead(401).end('unauthorized\n');
        return;
      }
      handleCall(request, response);
    };
    const {tls} = this.options;
    if (tls === null) {
      return http.createServer(listener);
    }
    return https.createServer(
      {
        key: tls.key,
        cert: tls.certificate,
        ca: tls.authorities,
        requestCert: true,
        rejectUnauthorized: true,
      },
      listener,
    );
  }

  private listen(): Promise<void> {
    const {host, port} = this.options;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        this.server.on('error', error =>
          this.logRefusal(error.message, undefined),
        );
        resolve();
      });
    });
  }

  private handleUpgrade(
    request: http.IncomingMessage,
    socket: Duplex,
    head: Buffer,
  ): void {
    socket.on('error', () => socket.destroy());
    if (this.getRole(request) === null) {
      this.logRefusal('unauthorized', undefined);
      socket.end('HTTP/1.1 401 Unauthorized\r\nConnection: close\r\n\r\n');
      return;
    }
    this.webSockets.handleUpgrade(request, socket, head, webSocket => {
      this.webSockets.emit('connection', webSocket, request);
    });
  }

  private createContext(request: http.IncomingMessage): PeerContext {
    const role = this.getRole(request);
    if (role === null) {
      throw new Error('The caller was not authenticated.');
    }
    return {role};
  }

  private getRole(request: http.IncomingMessage): PeerContext['role'] | null {
    return authenticate(request.headers.authorization, this.options.secrets);
  }

  private trackSocket(socket: Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('close', () => {
      this.sockets.delete(socket);
    });
  }

  private logRefusal(reason: string, procedure: string | undefined): void {
    this.options.logger.warn('peer_message_refused', {reason, procedure});
  }
}
