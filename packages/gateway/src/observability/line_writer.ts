import {write} from 'node:fs';

/** Bytes that wait for a slow reader before lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Pause before a write is repeated to a reader that takes nothing. */
const RETRY_DELAY_MS = 20;

/** Writes a chunk to a file descriptor without blocking. @public */
export type ChunkSink = (
  chunk: Buffer,
  done: (error: Error | null, writtenBytes: number) => void,
) => void;

/** Creates a sink for an open file descriptor. @public */
export function createDescriptorSink(descriptor: number): ChunkSink {
  return (chunk, done) => write(descriptor, chunk, done);
}

/**
 * Writes lines through a bounded buffer. It never waits for a reader: lines
 * that do not fit are dropped and counted.
 *
 * @public
 */
export class LineWriter {
  private waiting: Buffer[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private dropped = 0;

  private constructor(private readonly sink: ChunkSink) {}

  static create(sink: ChunkSink): LineWriter {
    return new LineWriter(sink);
  }

  /** Lines dropped since the last call. */
  takeDroppedCount(): number {
    const count = this.dropped;
    this.dropped = 0;
    return count;
  }

  write(line: string): void {
    const bytes = Buffer.from(line);
    if (this.waitingBytes + bytes.length > MAX_BUFFERED_BYTES) {
      this.dropped++;
      return;
    }
    this.waiting.push(bytes);
    this.waitingBytes += bytes.length;
    this.flush();
  }

  private flush(): void {
    if (this.isWriting || this.waiting.length === 0) {
      return;
    }
    const chunk = Buffer.concat(this.waiting);
    this.waiting = [];
    this.isWriting = true;
    this.writeChunk(chunk);
  }

  private writeChunk(chunk: Buffer): void {
    this.sink(chunk, (error, writtenBytes) => {
      const rest = chunk.subarray(error === null ? writtenBytes : 0);
      const isRepeated = error === null || isTemporary(error);
      if (rest.length > 0 && isRepeated) {
        this.waitingBytes -= chunk.length - rest.length;
        setTimeout(() => this.writeChunk(rest), RETRY_DELAY_MS).unref();
        return;
      }
      this.waitingBytes -= chunk.length;
      this.isWriting = false;
      this.flush();
    });
  }
}

function isTemporary(error: Error): boolean {
  return 'code' in error && error.code === 'EAGAIN';
}
