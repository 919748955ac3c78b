import type {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {
  ByteChannel,
  ByteChannelEvents,
} from '../forwarding/byte_channel.js';

/** Properties of a pair of fake channels. @internal */
export interface FakeByteChannelOptions {
  readonly clock: VirtualClock;
  /** One-way latency. */
  readonly delayMs: number;
}

/**
 * One end of an in-memory connection on virtual time. What one end writes
 * arrives at the other after the delay, in order.
 *
 * @internal
 */
export class FakeByteChannel implements ByteChannel {
  /**
   * Whether all bytes and the close of this end are lost without notice, like
   * on a network that is interrupted in this direction.
   */
  isDropping = false;
  /** The chunks that were written, also those that were lost. */
  readonly written: Uint8Array[] = [];
  private peer: FakeByteChannel = this;
  private events: ByteChannelEvents | null = null;
  private isClosed = false;
  private isBufferFull = false;

  private constructor(private readonly options: FakeByteChannelOptions) {}

  /** Creates two connected ends. */
  static createPair(
    options: FakeByteChannelOptions,
  ): readonly [FakeByteChannel, FakeByteChannel] {
    const left = new FakeByteChannel(options);
    const right = new FakeByteChannel(options);
    left.peer = right;
    right.peer = left;
    return [left, right];
  }

  get isOpen(): boolean {
    return !this.isClosed;
  }

  /** Number of bytes that were written. */
  get writtenBytes(): number {
    return this.written.reduce((total, {length}) => total + length, 0);
  }

  start(events: ByteChannelEvents): void {
    if (this.events !== null) {
      throw new Error('the channel was started before');
    }
    this.events = events;
  }

  write(bytes: Uint8Array): boolean {
    if (this.isClosed) {
      return false;
    }
    this.written.push(bytes);
    this.transmit(peer => peer.receive(bytes));
    return !this.isBufferFull;
  }

  /** Ends the connection; both ends learn of it asynchronously, as with TCP. */
  close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.transmit(peer => peer.end('closed by the other side'));
    this.options.clock.startTimer(0, () =>
      this.events?.handleClosed('closed by this side'),
    );
  }

  /** Ends the connection at both ends at once; bytes under way are lost. */
  reset(): void {
    this.end('connection reset');
    this.peer.end('connection reset');
  }

  /** Makes `write` return false until `drainBuffer`. */
  fillBuffer(): void {
    this.isBufferFull = true;
  }

  drainBuffer(): void {
    if (this.isBufferFull && !this.isClosed) {
      this.isBufferFull = false;
      this.events?.handleDrain();
    }
  }

  /** Delivers bytes to this end at once, whatever the other end has sent. */
  receive(bytes: Uint8Array): void {
    if (!this.isClosed) {
      this.events?.handleData(bytes);
    }
  }

  private end(reason: string): void {
    if (!this.isClosed) {
      this.isClosed = true;
      this.events?.handleClosed(reason);
    }
  }

  private transmit(deliver: (peer: FakeByteChannel) => void): void {
    if (!this.isDropping) {
      const {clock, delayMs} = this.options;
      clock.startTimer(delayMs, () => deliver(this.peer));
    }
  }
}
