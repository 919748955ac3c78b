import type {Socket} from 'node:net';
import {writeChunks} from '@filbertrun/wire/write_chunks.js';

/**
 * Output queue of a caller's connection. Frames queued in one turn of the
 * event loop are sent in one write. Adjacent ranges of the same buffer are
 * joined without copying.
 *
 * @public
 */
export class CallerOutput {
  private chunks: Buffer[] = [];
  private rangeBuffer: Buffer | null = null;
  private rangeStart = 0;
  private rangeEnd = 0;
  private isFlushScheduled = false;
  private isClosed = false;
  private drainListener: (() => void) | null = null;

  private constructor(private socket: Socket) {}

  static create(socket: Socket): CallerOutput {
    const output = new CallerOutput(socket);
    output.attachListeners();
    return output;
  }

  /** Continues on the TLS socket of the same connection. */
  replaceSocket(socket: Socket): void {
    this.socket = socket;
    this.attachListeners();
  }

  /** Queues a frame. */
  write(frame: Buffer): void {
    this.endRange();
    this.chunks.push(frame);
    this.scheduleFlush();
  }

  /** Queues a range of a buffer. The buffer must not change afterwards. */
  writeRange(buffer: Buffer, start: number, end: number): void {
    if (buffer === this.rangeBuffer && start === this.rangeEnd) {
      this.rangeEnd = end;
      return;
    }
    this.endRange();
    this.rangeBuffer = buffer;
    this.rangeStart = start;
    this.rangeEnd = end;
    this.scheduleFlush();
  }

  /** Whether the socket's write buffer is full. */
  isBlocked(): boolean {
    return this.socket.writableNeedDrain && !this.isClosed;
  }

  /** Calls `listener` once, when the socket has drained or has closed. */
  onceDrained(listener: () => void): void {
    this.drainListener = listener;
  }

  /** Sends the queued frames immediately. */
  flush(): void {
    this.endRange();
    if (this.chunks.length === 0) {
      return;
    }
    const {chunks} = this;
    this.chunks = [];
    if (this.isClosed) {
      return;
    }
    writeChunks(this.socket, chunks);
  }

  /** Sends the queued frames and ends the connection. */
  end(): void {
    this.flush();
    if (!this.isClosed) {
      this.socket.end();
    }
  }

  /** Discards the queued frames after the connection has closed. */
  handleClosed(): void {
    this.isClosed = true;
    this.chunks = [];
    this.rangeBuffer = null;
    this.notifyDrained();
  }

  private attachListeners(): void {
    this.socket.on('drain', () => this.notifyDrained());
  }

  private notifyDrained(): void {
    const listener = this.drainListener;
    this.drainListener = null;
    listener?.();
  }

  private endRange(): void {
    if (this.rangeBuffer !== null) {
      const {rangeBuffer, rangeStart, rangeEnd} = this;
      this.chunks.push(rangeBuffer.subarray(rangeStart, rangeEnd));
      this.rangeBuffer = null;
    }
  }

  private scheduleFlush(): void {
    if (this.isFlushScheduled) {
      return;
    }
    this.isFlushScheduled = true;
    setImmediate(() => {
      this.isFlushScheduled = false;
      this.flush();
    });
  }
}
