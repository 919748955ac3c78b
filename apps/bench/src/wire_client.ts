import net from 'node:net';

/**
 * A lean client of the PostgreSQL protocol for measurements in which the
 * driver itself would be the bottleneck. It sends one prepared packet again
 * and again and counts the ReadyForQuery messages of the answers.
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

/** What a parsed stretch of the answer holds. @public */
export interface AnswerCounts {
  readonly ready: number;
  readonly errors: number;
}

/** Counts the messages of a server's byte stream. @public */
export class AnswerCounter {
  private rest: Buffer = Buffer.alloc(0);

  private constructor() {}

  static create(): AnswerCounter {
    return new AnswerCounter();
  }

  count(chunk: Buffer): AnswerCounts {
    const data =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
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
    this.rest = data.subarray(offset);
    return {ready, errors};
  }
}

/** Sends one statement at a time over a socket that is already logged in. @public */
export class WireClient {
  private readonly counter = AnswerCounter.create();
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

  /** Sends the statement; `handleReady` is called when its answer has ended. */
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
