import type {LogPosition} from '@filbertrun/model/log_position.js';
import {
  readErrorResponse,
  type BackendErrorFields,
} from '@filbertrun/wire/backend_message_reader.js';
import {ByteReader} from '@filbertrun/wire/byte_reader.js';
import {
  BackendMessage,
  FRAME_HEADER_BYTES,
} from '@filbertrun/wire/protocol_constants.js';
import type {ExchangeHandler} from '../backend/exchange_handler.js';
import type {ResponsePlan} from './response_plan.js';

/** A complete response that is kept in memory and not relayed. @public */
export interface CapturedResponse {
  /** Frames for the caller, including an error. */
  readonly frames: readonly Buffer[];
  readonly position: LogPosition | null;
  readonly error: BackendErrorFields | null;
  /** Whether the connection closed before the end of the response. */
  readonly isLost: boolean;
  /** Whether frames were dropped because of the size limit. */
  readonly isTruncated: boolean;
}

/**
 * Captures one response of limited size.
 *
 * @public
 */
export class ResponseCapture implements ExchangeHandler {
  private readonly frames: Buffer[] = [];
  private bytes = 0;
  private isTruncated = false;
  private position: LogPosition | null = null;
  private error: BackendErrorFields | null = null;
  private resolve!: (response: CapturedResponse) => void;

  /** Resolves when the response has ended. */
  readonly ended: Promise<CapturedResponse>;

  private constructor(
    private readonly plan: ResponsePlan | null,
    private readonly maxBytes: number,
  ) {
    this.ended = new Promise(resolve => {
      this.resolve = resolve;
    });
  }

  static create(plan: ResponsePlan | null, maxBytes: number): ResponseCapture {
    return new ResponseCapture(plan, maxBytes);
  }

  handleFrame(type: number, buffer: Buffer, start: number, end: number): void {
    if (type === BackendMessage.errorResponse) {
      this.error ??= readErrorResponse(buffer, start, end);
    }
    this.keepInjected();
    if (this.plan === null || this.plan.acceptFrame(type)) {
      this.keep(buffer.subarray(start, end));
    }
    this.keepInjected();
  }

  handlePosition(position: LogPosition): void {
    this.position = position;
  }

  handleChunkEnd(): void {}

  handleReady(): void {
    this.keepInjected();
    this.finish(false);
  }

  handleLost(): void {
    this.finish(true);
  }

  /** Keeps the frames that the plan adds at the current step, if any. */
  private keepInjected(): void {
    for (;;) {
      const frame = this.plan?.takeInjected() ?? null;
      if (frame === null) {
        return;
      }
      this.keep(frame);
    }
  }

  private keep(frame: Buffer): void {
    if (this.bytes + frame.length > this.maxBytes) {
      this.isTruncated = true;
      return;
    }
    this.bytes += frame.length;
    this.frames.push(frame);
  }

  private finish(isLost: boolean): void {
    const {frames, position, error, isTruncated} = this;
    this.resolve({frames, position, error, isLost, isTruncated});
  }
}

/** Returns the rows of a response whose columns are in text format. @public */
export function readTextRows(
  response: CapturedResponse,
): readonly (readonly (string | null)[])[] {
  const rows: (readonly (string | null)[])[] = [];
  for (const frame of response.frames) {
    if (frame[0] === BackendMessage.dataRow) {
      rows.push(readTextRow(frame));
    }
  }
  return rows;
}

function readTextRow(frame: Buffer): readonly (string | null)[] {
  const reader = ByteReader.create(frame, FRAME_HEADER_BYTES, frame.length);
  const count = reader.readInt16();
  const values: (string | null)[] = [];
  for (let index = 0; index < count && !reader.hasFailed(); index++) {
    const length = reader.readInt32();
    values.push(length < 0 ? null : reader.readBytes(length).toString());
  }
  return values;
}
