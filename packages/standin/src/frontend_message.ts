import {ByteReader} from '@filbertrun/wire/byte_reader.js';
import {
  readExecute,
  readNamedTarget,
  readParse,
  readQuery,
} from '@filbertrun/wire/frontend_message_reader.js';
import {
  FRAME_HEADER_BYTES,
  FrontendMessage as MessageType,
} from '@filbertrun/wire/protocol_constants.js';
import {SQL_STATE, SqlError} from './sql_error.js';
import type {WireFormat} from './sql_value.js';

/**
 * Messages of a PostgreSQL client in protocol version 3.
 */

/** A message after the startup packet. @internal */
export type FrontendMessage =
  /** A password or SASL data. */
  | {readonly kind: 'authentication'; readonly body: Buffer}
  | {readonly kind: 'query'; readonly sql: string}
  | {
      readonly kind: 'parse';
      readonly name: string;
      readonly sql: string;
      readonly parameterOids: readonly number[];
    }
  | {
      readonly kind: 'bind';
      readonly portal: string;
      readonly statement: string;
      readonly parameterFormats: readonly WireFormat[];
      readonly parameters: readonly (Buffer | null)[];
      readonly resultFormats: readonly WireFormat[];
    }
  | {
      readonly kind: 'describe' | 'close';
      readonly target: 'statement' | 'portal';
      readonly name: string;
    }
  | {
      readonly kind: 'execute';
      readonly portal: string;
      /** 0 for all rows. */
      readonly maxRows: number;
    }
  | {readonly kind: 'sync'}
  | {readonly kind: 'flush'}
  | {readonly kind: 'terminate'};

/** Parses a complete frame; throws a SqlError if it is malformed. @internal */
export function parseFrontendMessage(
  type: number,
  frame: Buffer,
): FrontendMessage {
  const message = readMessage(type, frame);
  if (message === null) {
    throw createProtocolError(`malformed message of type ${type}`);
  }
  return message;
}

/** Creates the fatal error for a protocol violation of the client. @internal */
export function createProtocolError(reason: string): SqlError {
  return SqlError.createFatal(SQL_STATE.protocolViolation, reason);
}

function readMessage(type: number, frame: Buffer): FrontendMessage | null {
  switch (type) {
    case MessageType.query: {
      const sql = readQuery(frame);
      return sql === null ? null : {kind: 'query', sql};
    }
    case MessageType.parse:
      return readParseMessage(frame);
    case MessageType.bind:
      return readBindMessage(frame);
    case MessageType.describe:
      return readTarget('describe', frame);
    case MessageType.close:
      return readTarget('close', frame);
    case MessageType.execute: {
      const message = readExecute(frame);
      return message === null ? null : {kind: 'execute', ...message};
    }
    case MessageType.sync:
      return {kind: 'sync'};
    case MessageType.flush:
      return {kind: 'flush'};
    case MessageType.terminate:
      return {kind: 'terminate'};
    case MessageType.password:
      return {
        kind: 'authentication',
        body: frame.subarray(FRAME_HEADER_BYTES),
      };
    default:
      return null;
  }
}

function readParseMessage(frame: Buffer): FrontendMessage | null {
  const message = readParse(frame);
  if (message === null) {
    return null;
  }
  return {
    kind: 'parse',
    name: message.statement,
    sql: message.text,
    parameterOids: message.parameterTypes,
  };
}

function readBindMessage(frame: Buffer): FrontendMessage | null {
  const reader = ByteReader.create(frame, FRAME_HEADER_BYTES, frame.length);
  const portal = reader.readText();
  const statement = reader.readText();
  const parameterFormats = readFormats(reader);
  const parameters: (Buffer | null)[] = [];
  const count = reader.readInt16() & 0xffff;
  for (let index = 0; index < count && !reader.hasFailed(); index++) {
    const size = reader.readInt32();
    parameters.push(size === -1 ? null : reader.readBytes(size));
  }
  const resultFormats = readFormats(reader);
  if (reader.hasFailed()) {
    return null;
  }
  return {
    kind: 'bind',
    portal,
    statement,
    parameterFormats,
    parameters,
    resultFormats,
  };
}

function readFormats(reader: ByteReader): readonly WireFormat[] {
  const formats: WireFormat[] = [];
  const count = reader.readInt16();
  for (let index = 0; index < count && !reader.hasFailed(); index++) {
    formats.push(reader.readInt16() === 1 ? 'binary' : 'text');
  }
  return formats;
}

function readTarget(
  kind: 'describe' | 'close',
  frame: Buffer,
): FrontendMessage | null {
  const message = readNamedTarget(frame);
  return message === null ? null : {kind, ...message};
}
