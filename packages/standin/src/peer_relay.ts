import net, {type Socket} from 'node:net';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {ListedVm} from '@filbertrun/platform/platform_service.js';
import type {ZoneNetwork} from './zone_network.js';

/** Host that relays listen on. */
const RELAY_HOST = '127.0.0.1';

/**
 * Carries the traffic between entry VMs, so that it too can be cut by zone.
 * Each reader's zone has its own relay to each VM; the list of VMs gives a
 * reader the addresses of its relays.
 *
 * @internal
 */
export class PeerRelay {
  private readonly urls = new Map<string, Promise<string>>();
  private readonly servers = new Set<net.Server>();
  private readonly pairs = new Set<RelayedConnection>();
  private readonly targets = new Map<string, ListedVm>();
  private readonly stopListening: () => void;

  private constructor(private readonly network: ZoneNetwork) {
    this.stopListening = network.onChange(() => {
      for (const pair of this.pairs) {
        pair.update();
      }
    });
  }

  static create(network: ZoneNetwork): PeerRelay {
    return new PeerRelay(network);
  }

  /** The peer URL of a VM for a reader in a zone. */
  getPeerUrl(
    vm: ListedVm,
    readerZone: AvailabilityZone | null,
  ): Promise<string> {
    if (readerZone === null) {
      return Promise.resolve(vm.peerUrl);
    }
    this.targets.set(vm.entryVm, vm);
    const key = `${readerZone} ${vm.entryVm}`;
    let url = this.urls.get(key);
    if (url === undefined) {
      url = this.startRelay(vm.entryVm, readerZone);
      this.urls.set(key, url);
    }
    return url;
  }

  dispose(): void {
    this.stopListening();
    for (const server of this.servers) {
      server.close();
    }
    for (const pair of this.pairs) {
      pair.destroy();
    }
  }

  private async startRelay(
    entryVm: string,
    readerZone: AvailabilityZone,
  ): Promise<string> {
    const server = net.createServer({allowHalfOpen: true}, socket =>
      this.handleConnection(socket, entryVm, readerZone),
    );
    this.servers.add(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, RELAY_HOST, resolve);
    });
    const address = server.address();
    if (address === null || typeof address === 'string') {
      throw new Error('A relay has no port');
    }
    return `http://${RELAY_HOST}:${address.port}`;
  }

  private handleConnection(
    socket: Socket,
    entryVm: string,
    readerZone: AvailabilityZone,
  ): void {
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
    const pair = RelayedConnection.create(
      socket,
      upstream,
      () => !this.network.isCut(readerZone, vm.availabilityZone),
      () => !this.network.isCut(vm.availabilityZone, readerZone),
    );
    this.pairs.add(pair);
    socket.on('close', () => this.pairs.delete(pair));
  }
}

/** Two joined sockets, each way open or held. */
class RelayedConnection {
  private constructor(
    private readonly near: Socket,
    private readonly far: Socket,
    private readonly isForwardOpen: () => boolean,
    private readonly isBackwardOpen: () => boolean,
  ) {
    join(near, far);
    join(far, near);
    this.update();
  }

  static create(
    near: Socket,
    far: Socket,
    isForwardOpen: () => boolean,
    isBackwardOpen: () => boolean,
  ): RelayedConnection {
    return new RelayedConnection(near, far, isForwardOpen, isBackwardOpen);
  }

  /** Holds or lets go the bytes of each way. */
  update(): void {
    setFlow(this.near, this.far, this.isForwardOpen());
    setFlow(this.far, this.near, this.isBackwardOpen());
  }

  destroy(): void {
    this.near.destroy();
    this.far.destroy();
  }
}

function join(from: Socket, to: Socket): void {
  from.setNoDelay(true);
  // An error is always followed by `close`.
  from.on('error', () => {});
  from.on('close', () => to.destroy());
}

function setFlow(from: Socket, to: Socket, isOpen: boolean): void {
  if (isOpen) {
    from.pipe(to);
  } else {
    from.unpipe(to);
    from.pause();
  }
}
