import {FrameSplitter} from '@filbertrun/wire/frame_splitter.js';
import {BackendMessage} from '@filbertrun/wire/protocol_constants.js';

/**
 * The form in which a completion record keeps the answer to a request: the
 * frames that describe and hold its rows and its end.
 */

/** Greatest frame of a stored answer. */
const MAX_STORED_FRAME_BYTES = 1024 * 1024;

const STORED_TYPES: ReadonlySet<number> = new Set([
  BackendMessage.parameterDescription,
  BackendMessage.rowDescription,
  BackendMessage.dataRow,
  BackendMessage.commandComplete,
  BackendMessage.emptyQueryResponse,
]);

/** A stored answer in parts. @public */
export interface StoredAnswer {
  readonly parameterDescription: Buffer | null;
  readonly rowDescription: Buffer | null;
  /** Rows and the end of the command. */
  readonly execution: readonly Buffer[];
}

/** Writes the frames of an answer as text. @public */
export function encodeStoredAnswer(frames: readonly Buffer[]): string {
  const stored: Buffer[] = [];
  for (const frame of frames) {
    if (STORED_TYPES.has(frame[0]!)) {
      stored.push(frame);
    }
  }
  return Buffer.concat(stored).toString('base64');
}

/** Reads what `encodeStoredAnswer` wrote; null when the text is malformed. @public */
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
  const isWhole = split.ok && splitter.getBufferedBytes() === 0;
  return isWhole ? {parameterDescription, rowDescription, execution} : null;
}
