import net from 'node:net';

/**
 * A minimal PostgreSQL client for measurements in which the driver would be the
 * bottleneck. It sends the same prebuilt packet repeatedly and counts the
 * ReadyForQuery messages of the responses.
 */

const HEADER_BYTES = 5;
const LENGTH_BYTES = 4;
const READY_FOR_QUERY = 0x5a;
const ERROR_RESPONSE = 0x45;

/** Creates a simple Query message. @public */
export function createQueryPacket(sql: string): Buffer {
  const text = Buffer.from(`${sql}\0`);
  const packet = Buffer.alloc(HEADER_BYTES + text.length);
  packet.write('Q', 0, 'latin1');
  packet.writeInt32BE(LENGTH_BYTES + text.length, 1);
  text.copy(packet, HEADER_BYTES);
  return packet;
}

/** Numbers of messages in a parsed chunk. @public */
export interface MessageCounts {
  readonly ready: number;
  readonly errors: number;
}

/** Counts the messages in the byte stream of a server. @public */
export class MessageCounter {
  private remainder: Buffer = Buffer.alloc(0);

  private constructor() {}

  static create(): MessageCounter {
    return new MessageCounter();
  }

  count(chunk: Buffer): MessageCounts {
    const data =
      this.remainder.length === 0
        ? chunk
        : Buffer.concat([this.remainder, chunk]);
    let offset = 0;
    let ready = 0;
    let errors = 0;
    while (offset + HEADER_BYTES <= data.length) {
      const end = offset + 1 + data.readInt32BE(offset + 1);
      if (end > data.length) {
        break;
      }
      ready += data[offset] === READY_FOR_QUERY ? 1 : 0;
      errors += data[offset] === ERROR_RESPONSE ? 1 : 0;
      offset = end;
    }
    this.remainder = data.subarray(offset);
    return {ready, errors};
  }
}

/** Sends one statement at a time over a logged-in socket. @public */
export class WireClient {
  private readonly counter = MessageCounter.create();
  private handleReady: (() => void) | null = null;
  private errorCount = 0;

  private constructor(
    private readonly socket: net.Socket,
    private readonly packet: Buffer,
  ) {
    socket.on('data', chunk => this.handleData(chunk));
  }

  static create(socket: net.Socket, packet: Buffer): WireClient {
    return new WireClient(socket, packet);
  }

  get errors(): number {
    return this.errorCount;
  }

  /** Sends the statement; calls `handleReady` after the complete response. */
  send(handleReady: () => void): void {
    this.handleReady = handleReady;
    this.socket.write(this.packet);
  }

  private handleData(chunk: Buffer): void {
    const {ready, errors} = this.counter.count(chunk);
    this.errorCount += errors;
    if (ready > 0) {
      const handleReady = this.handleReady;
      this.handleReady = null;
      handleReady?.();
    }
  }
}
