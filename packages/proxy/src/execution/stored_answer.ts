import {FrameSplitter} from '@filbertrun/wire/frame_splitter.js';
import {BackendMessage} from '@filbertrun/wire/protocol_constants.js';

/**
 * Format of the response to a request in a completion record: the frames with
 * the description of the rows, the rows and the command completion.
 */

/** Largest frame of a stored response. */
const MAX_STORED_FRAME_BYTES = 1024 * 1024;

const STORED_TYPES: ReadonlySet<number> = new Set([
  BackendMessage.parameterDescription,
  BackendMessage.rowDescription,
  BackendMessage.dataRow,
  BackendMessage.commandComplete,
  BackendMessage.emptyQueryResponse,
]);

/** A decoded stored response. @public */
export interface StoredAnswer {
  readonly parameterDescription: Buffer | null;
  readonly rowDescription: Buffer | null;
  /** Rows and command completion. */
  readonly execution: readonly Buffer[];
}

/** Encodes the frames of a response as base64. @public */
export function encodeStoredAnswer(frames: readonly Buffer[]): string {
  const stored: Buffer[] = [];
  for (const frame of frames) {
    if (STORED_TYPES.has(frame[0]!)) {
      stored.push(frame);
    }
  }
  return Buffer.concat(stored).toString('base64');
}

/**
 * Decodes the result of `encodeStoredAnswer`, or returns null if it is
 * malformed.
 *
 * @public
 */
export function decodeStoredAnswer(text: string): StoredAnswer | null {
  let parameterDescription: Buffer | null = null;
  let rowDescription: Buffer | null = null;
  const execution: Buffer[] = [];
  const splitter = FrameSplitter.create(MAX_STORED_FRAME_BYTES);
  const split = splitter.push(
    Buffer.from(text, 'base64'),
    (type, buffer, start, end) => {
      const frame = buffer.subarray(start, end);
      if (type === BackendMessage.parameterDescription) {
        parameterDescription = frame;
      } else if (type === BackendMessage.rowDescription) {
        rowDescription = frame;
      } else {
        execution.push(frame);
      }
    },
  );
  const isComplete = split.ok && splitter.getBufferedBytes() === 0;
  return isComplete ? {parameterDescription, rowDescription, execution} : null;
}
