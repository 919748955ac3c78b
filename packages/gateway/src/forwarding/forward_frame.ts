import {isUtf8} from 'node:buffer';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type * as z from 'zod';
import type {ForwardRequest, ForwardResponse} from './forward_message.js';

/**
 * Frames of messages between proxies: the length of the body in 4 bytes, big
 * endian, then the body, a message as JSON in UTF-8.
 */

/** Maximum length of the body of a frame, in bytes. @public */
export const MAX_BODY_BYTES = 2 * 1024 * 1024;

const HEADER_BYTES = 4;

/** Maximum length of a reason that quotes a validation error. */
const MAX_REASON_LENGTH = 200;

/** Encodes a message as a frame; returns null if it is too large. @public */
export function encodeFrame(
  message: ForwardRequest | ForwardResponse,
): Uint8Array | null {
  const text = JSON.stringify(message);
  const bodyBytes = Buffer.byteLength(text, 'utf8');
  if (bodyBytes > MAX_BODY_BYTES) {
    return null;
  }
  const frame = Buffer.allocUnsafe(HEADER_BYTES + bodyBytes);
  frame.writeUInt32BE(bodyBytes, 0);
  frame.write(text, HEADER_BYTES, 'utf8');
  return frame;
}

/** Parses and validates the body of a frame. Never throws. @public */
export function parseBody<T>(
  schema: z.ZodType<T>,
  body: string,
): Result<T, string> {
  try {
    const parsed = schema.safeParse(JSON.parse(body));
    return parsed.success
      ? success(parsed.data)
      : failure(formatReason(parsed.error.message));
  } catch (error) {
    return failure(formatReason(String(error)));
  }
}

function formatReason(reason: string): string {
  return reason.replace(/\s+/g, ' ').slice(0, MAX_REASON_LENGTH);
}

/** A body, or the reason why the stream is invalid from here on. @public */
export type ReadFrame =
  | {readonly kind: 'body'; readonly text: string}
  | {readonly kind: 'invalid'; readonly reason: string};

/**
 * Splits a byte stream into frames. A frame within one chunk is decoded in
 * place; the parts of a divided frame are copied once, so the cost is linear in
 * the bytes for any division of the stream.
 *
 * @public
 */
export class FrameReader {
  private readonly header = Buffer.alloc(HEADER_BYTES);
  /** Bytes of the header that have arrived. */
  private headerBytes = 0;
  /** Body of a frame that has arrived in part; null between frames. */
  private partialBody: Buffer | null = null;
  private partialBytes = 0;

  private constructor() {}

  static create(): FrameReader {
    return new FrameReader();
  }

  /**
   * Returns the frames that a chunk completes. After an invalid frame the stream
   * must not be read further. The chunk is not retained.
   */
  read(bytes: Uint8Array): readonly ReadFrame[] {
    const chunk = toBuffer(bytes);
    const frames: ReadFrame[] = [];
    let start = 0;
    while (start < chunk.length) {
      if (this.partialBody === null) {
        start += this.readHeader(chunk, start);
        if (this.headerBytes < HEADER_BYTES) {
          break;
        }
        const bodyBytes = this.header.readUInt32BE(0);
        const refusal = checkLength(bodyBytes);
        if (refusal !== null) {
          frames.push({kind: 'invalid', reason: refusal});
          return frames;
        }
        const end = start + bodyBytes;
        if (end > chunk.length) {
          this.partialBody = Buffer.allocUnsafe(bodyBytes);
          this.partialBytes = chunk.copy(this.partialBody, 0, start);
          break;
        }
        this.headerBytes = 0;
        frames.push(decodeBody(chunk.subarray(start, end)));
        start = end;
      } else {
        const copied = chunk.copy(this.partialBody, this.partialBytes, start);
        this.partialBytes += copied;
        start += copied;
        if (this.partialBytes === this.partialBody.length) {
          frames.push(decodeBody(this.partialBody));
          this.partialBody = null;
          this.headerBytes = 0;
        }
      }
      if (frames.at(-1)?.kind === 'invalid') {
        return frames;
      }
    }
    return frames;
  }

  /** Completes the header as far as possible; returns the bytes taken. */
  private readHeader(chunk: Buffer, start: number): number {
    const end = start + HEADER_BYTES - this.headerBytes;
    const copied = chunk.copy(this.header, this.headerBytes, start, end);
    this.headerBytes += copied;
    return copied;
  }
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes)
    ? bytes
    : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function checkLength(bodyBytes: number): string | null {
  if (bodyBytes === 0) {
    return 'the frame is empty';
  }
  return bodyBytes > MAX_BODY_BYTES ? 'the frame is too large' : null;
}

/** Refuses invalid UTF-8, which decoding would replace by other characters. */
function decodeBody(body: Buffer): ReadFrame {
  return isUtf8(body)
    ? {kind: 'body', text: body.toString('utf8')}
    : {kind: 'invalid', reason: 'the frame is not valid UTF-8'};
}
