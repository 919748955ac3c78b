import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {Clock} from '@filbertrun/base/clock.js';
import type {
  PeerHandler,
  PeerInput,
  PeerOutput,
  PeerProcedure,
} from './peer_protocol.js';
import type {PeerError, PeerTransport} from './peer_transport.js';

/**
 * A network of peers on virtual time, for tests. Links have a latency and can
 * be blocked in one direction. A paused peer handles messages when it resumes.
 *
 * @internal
 */

/** One-way latency of a message. */
const LATENCY_MS = 1;

/** Messages and bytes that a peer sent and received. @internal */
export interface NodeTraffic {
  readonly messages: number;
  readonly bytes: number;
}

interface AttachedPeer {
  readonly handler: PeerHandler;
  readonly clock: Clock;
}

type AnyProcedureHandler = (input: unknown) => Promise<unknown>;

/** A network of peers on virtual time. @internal */
export class FakePeerNetwork {
  private readonly peers = new Map<string, AttachedPeer>();
  private readonly blockedLinks = new Set<string>();
  private readonly traffic = new Map<string, NodeTraffic>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): FakePeerNetwork {
    return new FakePeerNetwork(clock);
  }

  /** Connects a peer to the network. */
  attach(peerUrl: string, handler: PeerHandler, clock: Clock): void {
    this.peers.set(peerUrl, {handler, clock});
  }

  /** Disconnects a peer, as if its process had terminated. */
  detach(peerUrl: string): void {
    this.peers.delete(peerUrl);
  }

  /** Drops every message from one peer to another. */
  blockLink(fromUrl: string, toUrl: string): void {
    this.blockedLinks.add(getLink(fromUrl, toUrl));
  }

  /** Unblocks every link. */
  heal(): void {
    this.blockedLinks.clear();
  }

  /** Returns the messages and bytes that a peer has sent and received. */
  getTraffic(peerUrl: string): NodeTraffic {
    return this.traffic.get(peerUrl) ?? {messages: 0, bytes: 0};
  }

  /** Creates the transport of the peer at `localUrl`. */
  createTransport(localUrl: string): PeerTransport {
    return {
      call: (peerUrl, procedure, input, timeoutMs) =>
        this.call(localUrl, peerUrl, procedure, input, timeoutMs),
      closeConnection: () => {},
      dispose: () => {},
    };
  }

  private call<P extends PeerProcedure>(
    fromUrl: string,
    toUrl: string,
    procedure: P,
    input: PeerInput<P>,
    timeoutMs: number,
  ): Promise<Result<PeerOutput<P>, PeerError>> {
    return new Promise(resolve => {
      const timer = this.getClock(fromUrl).startTimer(timeoutMs, () => {
        resolve(failure({kind: 'timedOut', timeoutMs}));
      });
      this.deliver(fromUrl, toUrl, input, () => {
        void this.handleCall(toUrl, procedure, input).then(response => {
          this.deliver(toUrl, fromUrl, response, () => {
            timer.cancel();
            resolve(response);
          });
        });
      });
    });
  }

  private deliver(
    fromUrl: string,
    toUrl: string,
    message: unknown,
    receive: () => void,
  ): void {
    const bytes = JSON.stringify(message).length;
    this.count(fromUrl, bytes);
    if (this.blockedLinks.has(getLink(fromUrl, toUrl))) {
      return;
    }
    this.count(toUrl, bytes);
    // The receiver's clock defers delivery while the receiver is paused.
    this.getClock(toUrl).startTimer(LATENCY_MS, receive);
  }

  private getClock(peerUrl: string): Clock {
    return this.peers.get(peerUrl)?.clock ?? this.clock;
  }

  private async handleCall<P extends PeerProcedure>(
    peerUrl: string,
    procedure: P,
    input: PeerInput<P>,
  ): Promise<Result<PeerOutput<P>, PeerError>> {
    const peer = this.peers.get(peerUrl);
    if (peer === undefined) {
      return failure({kind: 'unreachable', reason: 'refused'});
    }
    const handle = peer.handler[procedure] as AnyProcedureHandler;
    return success((await handle(input)) as PeerOutput<P>);
  }

  private count(peerUrl: string, bytes: number): void {
    const before = this.getTraffic(peerUrl);
    this.traffic.set(peerUrl, {
      messages: before.messages + 1,
      bytes: before.bytes + bytes,
    });
  }
}

function getLink(fromUrl: string, toUrl: string): string {
  return `${fromUrl} ${toUrl}`;
}
