import {buildFrame} from './backend_message_builder.js';
import type {BindMessage} from './frontend_message_reader.js';
import {FrontendMessage} from './protocol_constants.js';

/**
 * Rewrites frontend messages so that they name another prepared statement.
 * All other frontend messages are built by `pg-protocol`.
 */

/** Builds a Parse message that keeps the stated parameter types. @public */
export function buildParse(
  statement: string,
  text: string,
  parameterTypes: readonly number[],
): Buffer {
  const types = Buffer.allocUnsafe(2 + 4 * parameterTypes.length);
  types.writeInt16BE(parameterTypes.length, 0);
  for (const [index, type] of parameterTypes.entries()) {
    types.writeInt32BE(type, 2 + 4 * index);
  }
  return buildFrame(
    FrontendMessage.parse,
    Buffer.concat([Buffer.from(`${statement}\0${text}\0`), types]),
  );
}

/** Builds a Bind message with the values of `frame` for another statement. @public */
export function buildBindFor(
  statement: string,
  frame: Buffer,
  message: BindMessage,
): Buffer {
  const names = Buffer.from(`${message.portal}\0${statement}\0`);
  return buildFrame(
    FrontendMessage.bind,
    Buffer.concat([names, frame.subarray(message.restOffset)]),
  );
}
