import net from 'node:net';
import {createSystemRandom} from '@filbertrun/base/random_source.js';
import {GatedSocket, type LinkEnd, type Links} from './links.js';
import {findFreePorts, HOST} from './ports.js';

/** Options of a relay. @internal */
export interface RelayOptions {
  readonly links: Links;
  readonly from: LinkEnd;
  readonly to: LinkEnd;
  readonly targetPort: number;
  /** Whether a process listens on the target port. */
  isTargetUp(): boolean;
}

/**
 * Forwards connections over a link that can be cut. While it is cut, open
 * connections are silent and new ones are refused, as they are while the target
 * does not run.
 *
 * @internal
 */
export class Relay {
  private readonly sockets = new Set<net.Socket>();
  private server: net.Server | null = null;
  private isStopped = false;

  private constructor(
    private readonly options: RelayOptions,
    readonly port: number,
  ) {}

  static async start(options: RelayOptions): Promise<Relay> {
    const port = await findFreePorts(createSystemRandom(), 1);
    const relay = new Relay(options, port);
    relay.update();
    options.links.watch(() => relay.update());
    return relay;
  }

  stop(): void {
    this.isStopped = true;
    this.update();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  /** Listens while the link is open and the target runs. */
  private update(): void {
    const {links, from, to, isTargetUp} = this.options;
    const isOpen = !this.isStopped && isTargetUp() && !links.isCut(from, to);
    if (isOpen && this.server === null) {
      this.server = net.createServer(socket => this.serve(socket));
      this.server.listen(this.port, HOST);
    }
    if (!isOpen) {
      this.server?.close();
      this.server = null;
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
