import type {
  GroupPeers,
  GroupView,
  InstanceHealth,
  SuspicionVote,
} from '@filbertrun/group/group_peers.js';
import type {PartyClock} from './party_clock.js';
import type {SimulatedNetwork} from './simulated_network.js';

/** One proxy as its peers reach it. @public */
export interface PeerEndpoint {
  readonly party: string;
  readonly availabilityZone: string;
  probe(backendServer: string): Promise<InstanceHealth>;
  handleView(view: GroupView): void;
  handleHold(holdMs: number): void;
}

/** What the peers of a proxy are made of. @public */
export interface SimulatedPeersOptions {
  readonly party: string;
  readonly clock: PartyClock;
  readonly network: SimulatedNetwork;
  readonly getOthers: () => readonly PeerEndpoint[];
  readonly getWatchRank: () => number | null;
  readonly zones: readonly string[];
}

/** The other proxies over the simulated network. @public */
export class SimulatedPeers implements GroupPeers {
  private readonly viewListeners = new Set<(view: GroupView) => void>();
  private readonly holdListeners = new Set<(holdMs: number) => void>();

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
        this.askVote(peer, backendServer, vote => {
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
    this.handleHold(holdMs);
    for (const peer of this.options.getOthers()) {
      this.send(peer, () => peer.handleHold(holdMs));
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
    this.holdListeners.add(listener);
    return () => this.holdListeners.delete(listener);
  }

  getMonitorRank(): number | null {
    return this.options.getWatchRank();
  }

  getKnownZones(): readonly string[] {
    return this.options.zones;
  }

  /** Takes a view that another proxy announced. */
  handleView(view: GroupView): void {
    for (const listener of this.viewListeners) {
      listener(view);
    }
  }

  /** Takes a hold that a proxy announced. */
  handleHold(holdMs: number): void {
    for (const listener of this.holdListeners) {
      listener(holdMs);
    }
  }

  private askVote(
    peer: PeerEndpoint,
    backendServer: string,
    answer: (vote: SuspicionVote) => void,
  ): void {
    this.send(peer, () => {
      void peer.probe(backendServer).then(health => {
        this.options.network.sendDatagram(peer.party, this.options.party, () =>
          answer({
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
