import {write} from 'node:fs';

/** Maximum number of buffered bytes, beyond which lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Delay before the unwritten bytes of a chunk are written again. */
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
 * Writes lines through a bounded buffer. It never blocks on a slow reader:
 * lines that do not fit are dropped and counted.
 *
 * @public
 */
export class LineWriter {
  private buffered: Buffer[] = [];
  private bufferedBytes = 0;
  private isWriting = false;
  private droppedCount = 0;

  private constructor(private readonly sink: ChunkSink) {}

  static create(sink: ChunkSink): LineWriter {
    return new LineWriter(sink);
  }

  /** Returns the number of lines dropped since the last call. */
  takeDroppedCount(): number {
    const count = this.droppedCount;
    this.droppedCount = 0;
    return count;
  }

  write(line: string): void {
    const bytes = Buffer.from(line);
    if (this.bufferedBytes + bytes.length > MAX_BUFFERED_BYTES) {
      this.droppedCount++;
      return;
    }
    this.buffered.push(bytes);
    this.bufferedBytes += bytes.length;
    this.flush();
  }

  private flush(): void {
    if (this.isWriting || this.buffered.length === 0) {
      return;
    }
    const chunk = Buffer.concat(this.buffered);
    this.buffered = [];
    this.isWriting = true;
    this.writeChunk(chunk);
  }

  private writeChunk(chunk: Buffer): void {
    this.sink(chunk, (error, writtenBytes) => {
      const remaining = chunk.subarray(error === null ? writtenBytes : 0);
      const isRetried = error === null || isRetryable(error);
      if (remaining.length > 0 && isRetried) {
        this.bufferedBytes -= chunk.length - remaining.length;
        setTimeout(() => this.writeChunk(remaining), RETRY_DELAY_MS).unref();
        return;
      }
      this.bufferedBytes -= chunk.length;
      this.isWriting = false;
      this.flush();
    });
  }
}

function isRetryable(error: Error): boolean {
  return 'code' in error && error.code === 'EAGAIN';
}
