import {failure, success, type Result} from '@filbertrun/base/result.js';
import {FRAME_HEADER_BYTES, LENGTH_FIELD_BYTES} from './protocol_constants.js';

/**
 * Splits a byte stream into protocol frames. Each frame is reported as a range
 * of the buffer in which it was received, without copying. Only a frame that
 * spans several chunks is copied: its chunks are collected and concatenated when
 * enough bytes have arrived, not with each chunk.
 */

/** Why a byte stream cannot be split further. @public */
export type FrameError =
  | {readonly kind: 'malformedLength'; readonly length: number}
  | {
      readonly kind: 'frameTooLarge';
      readonly length: number;
      readonly maxFrameBytes: number;
    };

/**
 * Receives one frame: the range from `start` (its type byte) to `end`
 * (excluded) of `buffer`.
 *
 * @public
 */
export type FrameHandler = (
  type: number,
  buffer: Buffer,
  start: number,
  end: number,
) => void;

const NO_BYTES = Buffer.alloc(0);

/** Splits the byte stream of one direction of a connection. @public */
export class FrameSplitter {
  private pending: Buffer = NO_BYTES;
  /** Chunks received after `pending` that belong to the incomplete frame. */
  private parts: Buffer[] = [];
  private bufferedBytes = 0;
  private neededBytes = 0;

  private constructor(private readonly maxFrameBytes: number) {}

  static create(maxFrameBytes: number): FrameSplitter {
    return new FrameSplitter(maxFrameBytes);
  }

  /** Number of buffered bytes of an incomplete frame. */
  getBufferedBytes(): number {
    return this.bufferedBytes;
  }

  /**
   * Reports each frame that `chunk` completes. After a failure the stream can't
   * be split any further.
   */
  push(chunk: Buffer, handleFrame: FrameHandler): Result<void, FrameError> {
    const buffer = this.joinPending(chunk);
    return buffer === null
      ? success(undefined)
      : this.split(buffer, handleFrame);
  }

  private joinPending(chunk: Buffer): Buffer | null {
    if (this.bufferedBytes === 0) {
      return chunk;
    }
    this.parts.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes < this.neededBytes) {
      return null;
    }
    const joined = Buffer.concat(
      [this.pending, ...this.parts],
      this.bufferedBytes,
    );
    this.pending = NO_BYTES;
    this.parts = [];
    this.bufferedBytes = 0;
    return joined;
  }

  private split(
    buffer: Buffer,
    handleFrame: FrameHandler,
  ): Result<void, FrameError> {
    let start = 0;
    while (buffer.length - start >= FRAME_HEADER_BYTES) {
      const length = buffer.readInt32BE(start + 1);
      if (length < LENGTH_FIELD_BYTES) {
        return failure({kind: 'malformedLength', length});
      }
      if (length > this.maxFrameBytes) {
        const {maxFrameBytes} = this;
        return failure({kind: 'frameTooLarge', length, maxFrameBytes});
      }
      const end = start + 1 + length;
      if (end > buffer.length) {
        this.storePending(buffer, start, 1 + length);
        return success(undefined);
      }
      handleFrame(buffer[start]!, buffer, start, end);
      start = end;
    }
    this.storePending(buffer, start, FRAME_HEADER_BYTES);
    return success(undefined);
  }

  private storePending(
    buffer: Buffer,
    start: number,
    neededBytes: number,
  ): void {
    this.pending = start === buffer.length ? NO_BYTES : buffer.subarray(start);
    this.bufferedBytes = this.pending.length;
    this.neededBytes = neededBytes;
  }
}

/** Describes a frame error for a log or an error message. @public */
export function describeFrameError(error: FrameError): string {
  switch (error.kind) {
    case 'malformedLength':
      return `message length ${error.length} is malformed`;
    case 'frameTooLarge':
      return `message of ${error.length} bytes exceeds ${error.maxFrameBytes} bytes`;
  }
}
