import {ByteReader} from './byte_reader.js';
import {FRAME_HEADER_BYTES} from './protocol_constants.js';

/**
 * Parses the frontend messages that a server or proxy inspects. Each function
 * takes a complete frame and returns null if it is malformed.
 */

/** A Parse message. @public */
export interface ParseMessage {
  readonly statement: string;
  readonly text: string;
  /** Type OIDs of the parameters; the server infers a type given as 0. */
  readonly parameterTypes: readonly number[];
}

/** The portal and statement names of a Bind message. @public */
export interface BindMessage {
  readonly portal: string;
  readonly statement: string;
  /** Offset in the frame of the first byte after the names. */
  readonly restOffset: number;
}

/** The target of a Describe or Close message. @public */
export interface NamedTarget {
  readonly target: 'statement' | 'portal';
  readonly name: string;
}

/** An Execute message. @public */
export interface ExecuteMessage {
  readonly portal: string;
  /** Number of rows after which the portal is suspended; 0 means no limit. */
  readonly maxRows: number;
}

/** Reads the text of a Query message. @public */
export function readQuery(frame: Buffer): string | null {
  const reader = createReader(frame);
  const text = reader.readText();
  return reader.hasFailed() ? null : text;
}

/** Reads a Parse message. @public */
export function readParse(frame: Buffer): ParseMessage | null {
  const reader = createReader(frame);
  const statement = reader.readText();
  const text = reader.readText();
  const count = reader.readInt16();
  const parameterTypes: number[] = [];
  for (let index = 0; index < count && !reader.hasFailed(); index++) {
    parameterTypes.push(reader.readInt32());
  }
  return reader.hasFailed() || count < 0
    ? null
    : {statement, text, parameterTypes};
}

/** Reads the names of a Bind message. @public */
export function readBind(frame: Buffer): BindMessage | null {
  const reader = createReader(frame);
  const portal = reader.readText();
  const statement = reader.readText();
  const restOffset = reader.getOffset();
  return reader.hasFailed() ? null : {portal, statement, restOffset};
}

/** Reads a Describe or Close message. @public */
export function readNamedTarget(frame: Buffer): NamedTarget | null {
  const reader = createReader(frame);
  const kind = reader.readByte();
  const name = reader.readText();
  if (reader.hasFailed() || (kind !== 0x53 && kind !== 0x50)) {
    return null;
  }
  return {target: kind === 0x53 ? 'statement' : 'portal', name};
}

/** Reads an Execute message. @public */
export function readExecute(frame: Buffer): ExecuteMessage | null {
  const reader = createReader(frame);
  const portal = reader.readText();
  const maxRows = reader.readInt32();
  return reader.hasFailed() ? null : {portal, maxRows};
}

function createReader(frame: Buffer): ByteReader {
  return ByteReader.create(frame, FRAME_HEADER_BYTES, frame.length);
}
