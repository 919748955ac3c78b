import net from 'node:net';
import {GatedSocket, type LinkEnd, type Links} from './links.js';
import {HOST, listen} from './ports.js';

/** Options of a relay. @internal */
export interface RelayOptions {
  readonly links: Links;
  readonly from: LinkEnd;
  readonly to: LinkEnd;
  readonly targetPort: number;
}

/** Forwards connections over a link that can be cut. @internal */
export class Relay {
  private readonly sockets = new Set<net.Socket>();

  private constructor(
    private readonly options: RelayOptions,
    private readonly server: net.Server,
    readonly port: number,
  ) {
    server.on('connection', socket => this.serve(socket));
  }

  static async start(options: RelayOptions): Promise<Relay> {
    const server = net.createServer();
    const port = await listen(server, 0);
    if (port === null) {
      throw new Error('no port for a relay');
    }
    return new Relay(options, server, port);
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  private serve(socket: net.Socket): void {
    const {links, from, to, targetPort} = this.options;
    const upstream = net.connect({host: HOST, port: targetPort, noDelay: true});
    const gate = GatedSocket.create(socket, links, from, to, chunk =>
      upstream.write(chunk),
    );
    upstream.on('data', chunk => gate.write(chunk));
    upstream.on('error', () => upstream.destroy());
    for (const [one, other] of [
      [socket, upstream],
      [upstream, socket],
    ] as const) {
      this.sockets.add(one);
      one.on('close', () => {
        this.sockets.delete(one);
        // Nobody learns of a closed connection over a link that is cut.
        this.closeWhenOpen(other);
      });
    }
  }

  private closeWhenOpen(socket: net.Socket): void {
    const {links, from, to} = this.options;
    if (!links.isCut(from, to)) {
      socket.destroy();
      return;
    }
    const stop = links.watch(() => {
      if (!links.isCut(from, to)) {
        stop();
        socket.destroy();
      }
    });
  }
}
