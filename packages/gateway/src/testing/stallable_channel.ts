import type {
  ByteChannel,
  ByteChannelEvents,
} from '../forwarding/byte_channel.js';

/**
 * One end of a channel whose outgoing bytes can be held back and delivered late,
 * as by a network interruption that ends before TCP gives up.
 *
 * @internal
 */
export class StallableChannel implements ByteChannel {
  private isStalled = false;
  private readonly delayed: (() => void)[] = [];

  private constructor(private readonly inner: ByteChannel) {}

  static create(inner: ByteChannel): StallableChannel {
    return new StallableChannel(inner);
  }

  start(events: ByteChannelEvents): void {
    this.inner.start(events);
  }

  write(bytes: Uint8Array): boolean {
    if (this.isStalled) {
      this.delayed.push(() => this.inner.write(bytes));
      return true;
    }
    return this.inner.write(bytes);
  }

  close(): void {
    if (this.isStalled) {
      this.delayed.push(() => this.inner.close());
    } else {
      this.inner.close();
    }
  }

  stall(): void {
    this.isStalled = true;
  }

  /** Delivers what was held back. */
  resume(): void {
    this.isStalled = false;
    for (const deliver of this.delayed.splice(0)) {
      deliver();
    }
  }
}
