import type {Socket} from 'node:net';
import {writeChunks} from '@filbertrun/wire/write_chunks.js';

/**
 * Frames on their way to one caller. All frames of a turn of the event loop
 * leave in one write; ranges that follow each other in the same buffer are
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
    output.attach();
    return output;
  }

  /** Goes on with the encrypted form of the same connection. */
  replaceSocket(socket: Socket): void {
    this.socket = socket;
    this.attach();
  }

  /** Queues a whole frame. */
  write(frame: Buffer): void {
    this.endRange();
    this.chunks.push(frame);
    this.scheduleFlush();
  }

  /** Queues a range of a buffer that must not change any more. */
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

  /** Whether the caller takes frames more slowly than they come. */
  isBlocked(): boolean {
    return this.socket.writableNeedDrain && !this.isClosed;
  }

  /** Calls `listener` once when the caller has caught up or is gone. */
  onceDrained(listener: () => void): void {
    this.drainListener = listener;
  }

  /** Sends what is queued now. */
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

  /** Sends what is queued and ends the connection. */
  end(): void {
    this.flush();
    if (!this.isClosed) {
      this.socket.end();
    }
  }

  /** Drops what is queued; the caller is gone. */
  handleClosed(): void {
    this.isClosed = true;
    this.chunks = [];
    this.rangeBuffer = null;
    this.notifyDrained();
  }

  private attach(): void {
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
