import type {
  GroupPeers,
  GroupView,
  InstanceHealth,
  SuspicionVote,
} from '@filbertrun/group/group_peers.js';
import type {PartyClock} from './party_clock.js';
import type {SimulatedNetwork} from './simulated_network.js';

/** Interface of a proxy for its peers. @public */
export interface PeerEndpoint {
  readonly party: string;
  readonly availabilityZone: string;
  probe(backendServer: string): Promise<InstanceHealth>;
  handleView(view: GroupView): void;
  handleWriteHold(holdMs: number): void;
}

/** Options of the peers of a proxy. @public */
export interface SimulatedPeersOptions {
  readonly party: string;
  readonly clock: PartyClock;
  readonly network: SimulatedNetwork;
  readonly getOthers: () => readonly PeerEndpoint[];
  readonly getMonitorRank: () => number | null;
  readonly zones: readonly string[];
}

/** The other proxies, reached over the simulated network. @public */
export class SimulatedPeers implements GroupPeers {
  private readonly viewListeners = new Set<(view: GroupView) => void>();
  private readonly writeHoldListeners = new Set<(holdMs: number) => void>();

  private constructor(private readonly options: SimulatedPeersOptions) {}

  static create(options: SimulatedPeersOptions): SimulatedPeers {
    return new SimulatedPeers(options);
  }

  collectVotes(
    _databaseGroup: string,
    backendServer: string,
    timeoutMs: number,
  ): Promise<readonly SuspicionVote[]> {
    const others = this.options.getOthers();
    const votes: SuspicionVote[] = [];
    return new Promise(resolve => {
      const timer = this.options.clock.startTimer(timeoutMs, () =>
        resolve(votes),
      );
      for (const peer of others) {
        this.requestVote(peer, backendServer, vote => {
          votes.push(vote);
          if (votes.length === others.length) {
            timer.cancel();
            resolve(votes);
          }
        });
      }
    });
  }

  announceView(view: GroupView): void {
    for (const peer of this.options.getOthers()) {
      this.send(peer, () => peer.handleView(view));
    }
  }

  announceWriteHold(_databaseGroup: string, holdMs: number): void {
    this.handleWriteHold(holdMs);
    for (const peer of this.options.getOthers()) {
      this.send(peer, () => peer.handleWriteHold(holdMs));
    }
  }

  onView(
    _databaseGroup: string,
    listener: (view: GroupView) => void,
  ): () => void {
    this.viewListeners.add(listener);
    return () => this.viewListeners.delete(listener);
  }

  onWriteHold(
    _databaseGroup: string,
    listener: (holdMs: number) => void,
  ): () => void {
    this.writeHoldListeners.add(listener);
    return () => this.writeHoldListeners.delete(listener);
  }

  getMonitorRank(): number | null {
    return this.options.getMonitorRank();
  }

  getKnownZones(): readonly string[] {
    return this.options.zones;
  }

  /** Handles a view that another proxy announced. */
  handleView(view: GroupView): void {
    for (const listener of this.viewListeners) {
      listener(view);
    }
  }

  /** Handles a write hold that a proxy announced. */
  handleWriteHold(holdMs: number): void {
    for (const listener of this.writeHoldListeners) {
      listener(holdMs);
    }
  }

  private requestVote(
    peer: PeerEndpoint,
    backendServer: string,
    respond: (vote: SuspicionVote) => void,
  ): void {
    this.send(peer, () => {
      void peer.probe(backendServer).then(health => {
        this.options.network.sendDatagram(peer.party, this.options.party, () =>
          respond({
            entryVm: peer.party,
            availabilityZone: peer.availabilityZone,
            health,
          }),
        );
      });
    });
  }

  private send(peer: PeerEndpoint, deliver: () => void): void {
    this.options.network.sendDatagram(this.options.party, peer.party, deliver);
  }
}
