import net, {type Socket} from 'node:net';
import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import type {ListedVm} from '@filbertrun/platform/platform_service.js';
import type {ZoneNetwork} from './zone_network.js';

/** Address on which the relays listen. */
const RELAY_HOST = '127.0.0.1';

/**
 * Relays the traffic between entry VMs, so that network partitions apply to it
 * too. Each VM has its own relay; the source address of a connection identifies
 * the availability zone that it comes from.
 *
 * @internal
 */
export class PeerRelay {
  private readonly urls = new Map<EntryVmId, Promise<string>>();
  private readonly servers = new Set<net.Server>();
  private readonly connections = new Set<RelayedConnection>();
  private readonly targets = new Map<EntryVmId, ListedVm>();
  private readonly unsubscribe: () => void;

  private constructor(private readonly network: ZoneNetwork) {
    this.unsubscribe = network.onChange(() => {
      for (const pair of this.connections) {
        pair.update();
      }
    });
  }

  static create(network: ZoneNetwork): PeerRelay {
    return new PeerRelay(network);
  }

  /** Returns the URL of a VM's relay, which it starts if necessary. */
  getRelayUrl(vm: ListedVm): Promise<string> {
    this.targets.set(vm.entryVm, vm);
    let url = this.urls.get(vm.entryVm);
    if (url === undefined) {
      url = this.startRelay(vm.entryVm);
      this.urls.set(vm.entryVm, url);
    }
    return url;
  }

  dispose(): void {
    this.unsubscribe();
    for (const server of this.servers) {
      server.close();
    }
    for (const pair of this.connections) {
      pair.destroy();
    }
  }

  private async startRelay(entryVm: EntryVmId): Promise<string> {
    const server = net.createServer({allowHalfOpen: true}, socket =>
      this.handleConnection(socket, entryVm),
    );
    this.servers.add(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, RELAY_HOST, resolve);
    });
    const address = server.address();
    if (address === null || typeof address === 'string') {
      throw new Error('The relay server has no TCP address');
    }
    return `http://${RELAY_HOST}:${address.port}`;
  }

  private handleConnection(socket: Socket, entryVm: EntryVmId): void {
    const vm = this.targets.get(entryVm);
    if (vm === undefined) {
      socket.destroy();
      return;
    }
    const target = new URL(vm.peerUrl);
    const upstream = net.connect({
      host: target.hostname,
      port: Number(target.port),
      allowHalfOpen: true,
    });
    const sourceZone = this.network.findZoneOfAddress(socket.remoteAddress);
    const connection = RelayedConnection.create(
      socket,
      upstream,
      () => !this.network.isCut(sourceZone, vm.availabilityZone),
      () => !this.network.isCut(vm.availabilityZone, sourceZone),
    );
    this.connections.add(connection);
    socket.on('close', () => this.connections.delete(connection));
  }
}

/**
 * Two sockets whose data is forwarded in both directions. Each direction can be
 * suspended, which holds its data back.
 */
class RelayedConnection {
  private constructor(
    private readonly downstream: Socket,
    private readonly upstream: Socket,
    private readonly isForwardOpen: () => boolean,
    private readonly isBackwardOpen: () => boolean,
  ) {
    linkSockets(downstream, upstream);
    linkSockets(upstream, downstream);
    this.update();
  }

  static create(
    downstream: Socket,
    upstream: Socket,
    isForwardOpen: () => boolean,
    isBackwardOpen: () => boolean,
  ): RelayedConnection {
    return new RelayedConnection(
      downstream,
      upstream,
      isForwardOpen,
      isBackwardOpen,
    );
  }

  /** Suspends or resumes each direction according to the network. */
  update(): void {
    setForwarding(this.downstream, this.upstream, this.isForwardOpen());
    setForwarding(this.upstream, this.downstream, this.isBackwardOpen());
  }

  destroy(): void {
    this.downstream.destroy();
    this.upstream.destroy();
  }
}

function linkSockets(from: Socket, to: Socket): void {
  from.setNoDelay(true);
  // Node always emits `close` after an error.
  from.on('error', () => {});
  from.on('close', () => to.destroy());
}

function setForwarding(from: Socket, to: Socket, isOpen: boolean): void {
  if (isOpen) {
    from.pipe(to);
  } else {
    from.unpipe(to);
    from.pause();
  }
}
