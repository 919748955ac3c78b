import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {PartyClock} from './party_clock.js';

/** Name of a party: a proxy, an instance or the platform. @public */
export type PartyName = string;

/** Minimum and range of the delay of a message, in milliseconds. */
const MIN_DELAY_MS = 0.3;
const DELAY_RANGE_MS = 0.7;

/** Additional delay of a delayed message; a stream keeps its order. */
const ADDITIONAL_DELAY_MS = 120;

/** Probability that a message is delayed while messages are unreliable. */
const DELAY_PROBABILITY = 0.1;

/** Delay between two attempts to deliver in a blocked direction. */
const RETRY_INTERVAL_MS = 40;

/**
 * Probability that a datagram is dropped while messages are unreliable, and
 * the probability that it is duplicated.
 */
const DROP_PROBABILITY = 0.1;

/**
 * The network of a simulated cluster, with delays. Each direction between two
 * parties can be blocked. Streams keep their order and deliver after a block
 * ends, as TCP does; datagrams can be dropped and duplicated.
 *
 * @public
 */
export class SimulatedNetwork {
  private readonly clocks = new Map<PartyName, PartyClock>();
  private readonly blocked = new Set<string>();
  private isUnreliable = false;

  private constructor(
    private readonly base: Clock,
    private readonly random: RandomSource,
  ) {}

  static create(base: Clock, random: RandomSource): SimulatedNetwork {
    return new SimulatedNetwork(base, random);
  }

  addParty(party: PartyName, clock: PartyClock): void {
    this.clocks.set(party, clock);
  }

  /** Blocks messages from one party to another, but not the reverse. */
  block(from: PartyName, to: PartyName): void {
    this.blocked.add(createDirectionKey(from, to));
  }

  /** Blocks both directions between a party and all others. */
  isolate(party: PartyName): void {
    for (const other of this.clocks.keys()) {
      if (other !== party) {
        this.block(party, other);
        this.block(other, party);
      }
    }
  }

  /** Unblocks messages from one party to another. */
  open(from: PartyName, to: PartyName): void {
    this.blocked.delete(createDirectionKey(from, to));
  }

  setUnreliable(isUnreliable: boolean): void {
    this.isUnreliable = isUnreliable;
  }

  /** Unblocks all directions and makes messages reliable again. */
  heal(): void {
    this.blocked.clear();
    this.isUnreliable = false;
  }

  isBlocked(from: PartyName, to: PartyName): boolean {
    return this.blocked.has(createDirectionKey(from, to));
  }

  /** Sends a message that can be dropped, duplicated and reordered. */
  sendDatagram(from: PartyName, to: PartyName, deliver: () => void): void {
    if (this.isBlocked(from, to)) {
      return;
    }
    if (this.isUnreliable && this.random.nextFloat() < DROP_PROBABILITY) {
      return;
    }
    this.deliverAfter(to, this.drawDelayMs(), deliver);
    if (this.isUnreliable && this.random.nextFloat() < DROP_PROBABILITY) {
      this.deliverAfter(to, this.drawDelayMs(), deliver);
    }
  }

  /** Creates one direction of a connection. */
  createStream(from: PartyName, to: PartyName): NetworkStream {
    return NetworkStream.create({
      base: this.base,
      isBlocked: () => this.isBlocked(from, to),
      drawDelayMs: () => this.drawDelayMs(),
      deliver: callback => this.deliverAfter(to, 0, callback),
    });
  }

  private drawDelayMs(): number {
    const delayMs = MIN_DELAY_MS + this.random.nextFloat() * DELAY_RANGE_MS;
    const isDelayed =
      this.isUnreliable && this.random.nextFloat() < DELAY_PROBABILITY;
    return isDelayed ? delayMs + ADDITIONAL_DELAY_MS : delayMs;
  }

  private deliverAfter(
    to: PartyName,
    delayMs: number,
    callback: () => void,
  ): void {
    this.base.startTimer(delayMs, () => {
      this.clocks.get(to)?.startTimer(0, callback);
    });
  }
}

interface NetworkStreamOptions {
  readonly base: Clock;
  readonly isBlocked: () => boolean;
  readonly drawDelayMs: () => number;
  readonly deliver: (callback: () => void) => void;
}

/**
 * One direction of a connection: delivers in order, and holds messages while
 * the direction is blocked.
 *
 * @public
 */
export class NetworkStream {
  private readonly queue: (() => void)[] = [];
  private isBusy = false;
  private isClosed = false;

  private constructor(private readonly options: NetworkStreamOptions) {}

  static create(options: NetworkStreamOptions): NetworkStream {
    return new NetworkStream(options);
  }

  send(deliver: () => void): void {
    this.queue.push(deliver);
    this.deliverNext();
  }

  /** Drops messages that have not arrived. */
  close(): void {
    this.isClosed = true;
    this.queue.length = 0;
  }

  private deliverNext(): void {
    if (this.isBusy || this.isClosed || this.queue.length === 0) {
      return;
    }
    this.isBusy = true;
    const delayMs = this.options.isBlocked()
      ? RETRY_INTERVAL_MS
      : this.options.drawDelayMs();
    this.options.base.startTimer(delayMs, () => {
      this.isBusy = false;
      if (!this.options.isBlocked()) {
        this.deliverQueued();
      }
      this.deliverNext();
    });
  }

  /** Delivers all queued messages in order. */
  private deliverQueued(): void {
    const batch = this.queue.splice(0);
    this.options.deliver(() => {
      for (const deliver of batch) {
        if (!this.isClosed) {
          deliver();
        }
      }
    });
  }
}

function createDirectionKey(from: PartyName, to: PartyName): string {
  return `${from}>${to}`;
}
