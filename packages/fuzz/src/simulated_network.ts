import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {PartyClock} from './party_clock.js';

/** Names a party: a proxy, an instance or the platform. @public */
export type PartyName = string;

/** Shortest and longest time of a message, in milliseconds. */
const MIN_DELAY_MS = 0.3;
const DELAY_RANGE_MS = 0.7;

/** Delay of a message that overtakes none but is late. */
const ADDITIONAL_DELAY_MS = 120;

/** Share of messages that are late while messages are unreliable. */
const DELAY_PROBABILITY = 0.1;

/** Pause between two tries to pass a blocked way. */
const RETRY_INTERVAL_MS = 40;

/** Share of datagrams that are lost or doubled while unreliable. */
const DROP_PROBABILITY = 0.1;

/**
 * The network of a simulated history: directed ways that can be blocked, and
 * delays. Streams keep their order and deliver late after a block, as TCP
 * does; datagrams can be lost and doubled.
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

  /** Blocks the way from one party to another; the way back stays open. */
  block(from: PartyName, to: PartyName): void {
    this.blocked.add(createDirectionKey(from, to));
  }

  /** Cuts a party off from all others, both ways. */
  isolate(party: PartyName): void {
    for (const other of this.clocks.keys()) {
      if (other !== party) {
        this.block(party, other);
        this.block(other, party);
      }
    }
  }

  /** Opens the way from one party to another. */
  open(from: PartyName, to: PartyName): void {
    this.blocked.delete(createDirectionKey(from, to));
  }

  setUnreliable(isUnreliable: boolean): void {
    this.isUnreliable = isUnreliable;
  }

  /** Opens every way. */
  heal(): void {
    this.blocked.clear();
    this.isUnreliable = false;
  }

  isBlocked(from: PartyName, to: PartyName): boolean {
    return this.blocked.has(createDirectionKey(from, to));
  }

  /** Sends a message that can be lost, doubled and overtaken. */
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

/** One direction of a connection: ordered, and late after a block. @public */
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

  /** Drops what has not arrived. */
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

  /** Delivers all that waits, in order. */
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
