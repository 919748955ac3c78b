import type {Writable} from 'node:stream';

/**
 * Writes buffers in order, corked so that they are sent in few packets.
 *
 * @public
 */
export function writeChunks(stream: Writable, chunks: readonly Buffer[]): void {
  if (chunks.length === 1) {
    stream.write(chunks[0]!);
    return;
  }
  stream.cork();
  for (const chunk of chunks) {
    stream.write(chunk);
  }
  stream.uncork();
}
