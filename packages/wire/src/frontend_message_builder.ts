import {buildFrame} from './backend_message_builder.js';
import type {BindMessage} from './frontend_message_reader.js';
import {FrontendMessage} from './protocol_constants.js';

/**
 * Builds frontend messages that refer to another prepared statement than the
 * original. All other frontend messages are built by `pg-protocol`.
 */

/** Builds a Parse message with the given parameter types. @public */
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

/**
 * Builds a Bind message for another statement with the parameter values and
 * formats of `frame`.
 *
 * @public
 */
export function buildBindWithStatement(
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
