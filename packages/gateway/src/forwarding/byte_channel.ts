/** A connected stream of bytes between two proxies, such as a TCP connection. */

/** Callbacks of a {@link ByteChannel}. @public */
export interface ByteChannelEvents {
  readonly handleData: (bytes: Uint8Array) => void;
  /** Called when the channel accepts bytes again after `write` returned false. */
  readonly handleDrain: () => void;
  /** Called once, when the channel has ended on either side. */
  readonly handleClosed: (reason: string) => void;
}

/** Delivers bytes in order until it is closed. @public */
export interface ByteChannel {
  /** Starts the delivery of events. Called once, before any write. */
  start(events: ByteChannelEvents): void;
  /** Sends bytes. Returns false if the buffer is full until `handleDrain`. */
  write(bytes: Uint8Array): boolean;
  close(): void;
}
