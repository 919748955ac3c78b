import type net from 'node:net';

/** Links between processes and the cuts of them. */

/** One end of a link. @internal */
export interface LinkEnd {
  readonly name: string;
  /** Null for the store and the promotion API, which are in no zone. */
  readonly zone: string | null;
}

/**
 * How a link is cut: bytes are held in both directions or only in the direction
 * of the connection's opener or acceptor, or connections are reset. @internal
 */
export type CutMode = 'silent' | 'silentRequests' | 'silentResponses' | 'reset';

/** A cut of every link that it matches. @internal */
export interface Cut {
  readonly mode: CutMode;
  matches(one: LinkEnd, other: LinkEnd): boolean;
}

/** Matches the link between two ends, by name. @internal */
export function cutLink(mode: CutMode, left: string, right: string): Cut {
  return {
    mode,
    matches: (one, other) =>
      (one.name === left && other.name === right) ||
      (one.name === right && other.name === left),
  };
}

/** Matches all links between a zone and everything outside. @internal */
export function cutZone(zone: string, withStore: boolean): Cut {
  return {
    mode: 'silent',
    matches: (one, other) =>
      (one.zone === zone) !== (other.zone === zone) &&
      (withStore || (one.zone !== null && other.zone !== null)),
  };
}

/** State of a connection over a link. @internal */
interface GateState {
  readonly holdsRequests: boolean;
  readonly holdsResponses: boolean;
  readonly isReset: boolean;
}

const OPEN: GateState = {
  holdsRequests: false,
  holdsResponses: false,
  isReset: false,
};

/** The cuts that are in force. @internal */
export class Links {
  private readonly cuts = new Set<Cut>();
  private readonly watchers = new Set<() => void>();

  private constructor() {}

  static create(): Links {
    return new Links();
  }

  /** Applies a cut; the returned function ends it. */
  apply(cut: Cut): () => void {
    this.cuts.add(cut);
    this.refresh();
    return () => {
      this.cuts.delete(cut);
      this.refresh();
    };
  }

  /** Whether anything on a link is held or reset. */
  isCut(one: LinkEnd, other: LinkEnd): boolean {
    const {holdsRequests, holdsResponses, isReset} = this.getState(one, other);
    return holdsRequests || holdsResponses || isReset;
  }

  getState(one: LinkEnd, other: LinkEnd): GateState {
    let state = OPEN;
    for (const {mode, matches} of this.cuts) {
      if (matches(one, other)) {
        state = {
          holdsRequests: state.holdsRequests || !/Responses|reset/.test(mode),
          holdsResponses: state.holdsResponses || !/Requests|reset/.test(mode),
          isReset: state.isReset || mode === 'reset',
        };
      }
    }
    return state;
  }

  /** Calls `watcher` after each change; the returned function ends that. */
  watch(watcher: () => void): () => void {
    this.watchers.add(watcher);
    return () => this.watchers.delete(watcher);
  }

  /** Tells all watchers to look again, also when a process starts or ends. */
  refresh(): void {
    for (const watcher of [...this.watchers]) {
      watcher();
    }
  }
}

/**
 * An accepted connection over a link. Bytes that arrive or are sent while the
 * link is cut are held until the cut ends. @internal
 */
export class GatedSocket {
  private readonly incoming: Buffer[] = [];
  private readonly outgoing: Buffer[] = [];
  private readonly stopWatching: () => void;

  private constructor(
    private readonly socket: net.Socket,
    private readonly links: Links,
    private opener: LinkEnd | null,
    private readonly acceptor: LinkEnd,
    private readonly handleData: (chunk: Buffer) => void,
  ) {
    socket.setNoDelay(true);
    socket.on('data', chunk => {
      this.incoming.push(chunk);
      this.flush();
    });
    socket.on('error', () => socket.destroy());
    this.stopWatching = links.watch(() => this.flush());
    socket.on('close', () => this.stopWatching());
  }

  /** `opener` is null as long as it is unknown. */
  static create(
    socket: net.Socket,
    links: Links,
    opener: LinkEnd | null,
    acceptor: LinkEnd,
    handleData: (chunk: Buffer) => void,
  ): GatedSocket {
    return new GatedSocket(socket, links, opener, acceptor, handleData);
  }

  get isCut(): boolean {
    return this.opener !== null && this.links.isCut(this.opener, this.acceptor);
  }

  /** States who has opened the connection. */
  identify(opener: LinkEnd): void {
    this.opener ??= opener;
    this.flush();
  }

  write(chunk: Buffer): void {
    this.outgoing.push(chunk);
    this.flush();
  }

  private flush(): void {
    const {socket, opener} = this;
    const state =
      opener === null ? OPEN : this.links.getState(opener, this.acceptor);
    if (state.isReset && !socket.destroyed) {
      socket.resetAndDestroy();
    }
    while (!socket.destroyed && !state.holdsResponses) {
      const chunk = this.outgoing.shift();
      if (chunk === undefined) {
        break;
      }
      socket.write(chunk);
    }
    while (!socket.destroyed && !state.holdsRequests) {
      const chunk = this.incoming.shift();
      if (chunk === undefined) {
        break;
      }
      this.handleData(chunk);
    }
  }
}
