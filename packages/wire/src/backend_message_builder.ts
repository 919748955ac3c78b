import {
  BackendMessage,
  FRAME_HEADER_BYTES,
  LENGTH_FIELD_BYTES,
  type TransactionStatus,
} from './protocol_constants.js';

/**
 * Builds the messages that a server sends. `pg-protocol` can only serialize
 * messages of the frontend.
 */

const AUTHENTICATION_OK = 0;
const AUTHENTICATION_CLEARTEXT_PASSWORD = 3;
const AUTHENTICATION_SASL = 10;
const AUTHENTICATION_SASL_CONTINUE = 11;
const AUTHENTICATION_SASL_FINAL = 12;

/** Type OID of `text`. */
const TEXT_TYPE_OID = 25;
const VARIABLE_LENGTH = -1;
const NULL_VALUE_LENGTH = -1;

/** Builds a frame with the given type and body. @public */
export function buildFrame(type: number, body: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length);
  frame[0] = type;
  frame.writeInt32BE(LENGTH_FIELD_BYTES + body.length, 1);
  body.copy(frame, FRAME_HEADER_BYTES);
  return frame;
}

/** @public */
export const PARSE_COMPLETE = buildEmptyFrame(BackendMessage.parseComplete);
/** @public */
export const BIND_COMPLETE = buildEmptyFrame(BackendMessage.bindComplete);
/** @public */
export const CLOSE_COMPLETE = buildEmptyFrame(BackendMessage.closeComplete);
/** @public */
export const NO_DATA = buildEmptyFrame(BackendMessage.noData);
/** ParameterDescription of a statement without parameters. @public */
export const NO_PARAMETERS = buildFrame(
  BackendMessage.parameterDescription,
  Buffer.alloc(2),
);
/** @public */
export const EMPTY_QUERY_RESPONSE = buildEmptyFrame(
  BackendMessage.emptyQueryResponse,
);
/** @public */
export const PORTAL_SUSPENDED = buildEmptyFrame(BackendMessage.portalSuspended);

const READY_FRAMES: Readonly<Record<TransactionStatus, Buffer>> = {
  idle: buildFrame(BackendMessage.readyForQuery, Buffer.from('I')),
  inTransaction: buildFrame(BackendMessage.readyForQuery, Buffer.from('T')),
  failed: buildFrame(BackendMessage.readyForQuery, Buffer.from('E')),
};

/**
 * Returns a ReadyForQuery frame, which is shared and must not be modified.
 *
 * @public
 */
export function getReadyForQuery(status: TransactionStatus): Buffer {
  return READY_FRAMES[status];
}

/** AuthenticationOk. @public */
export function buildAuthenticationOk(): Buffer {
  return buildAuthentication(AUTHENTICATION_OK, Buffer.alloc(0));
}

/** AuthenticationCleartextPassword. @public */
export function buildCleartextPasswordRequest(): Buffer {
  return buildAuthentication(
    AUTHENTICATION_CLEARTEXT_PASSWORD,
    Buffer.alloc(0),
  );
}

/** AuthenticationSASL with the offered mechanisms. @public */
export function buildSaslRequest(mechanisms: readonly string[]): Buffer {
  const list = mechanisms.map(mechanism => `${mechanism}\0`).join('');
  return buildAuthentication(AUTHENTICATION_SASL, Buffer.from(`${list}\0`));
}

/** AuthenticationSASLContinue. @public */
export function buildSaslContinue(data: string): Buffer {
  return buildAuthentication(AUTHENTICATION_SASL_CONTINUE, Buffer.from(data));
}

/** AuthenticationSASLFinal. @public */
export function buildSaslFinal(data: string): Buffer {
  return buildAuthentication(AUTHENTICATION_SASL_FINAL, Buffer.from(data));
}

/** ParameterStatus. @public */
export function buildParameterStatus(name: string, value: string): Buffer {
  return buildFrame(
    BackendMessage.parameterStatus,
    Buffer.from(`${name}\0${value}\0`),
  );
}

/** BackendKeyData. @public */
export function buildBackendKeyData(
  processId: number,
  secretKey: number,
): Buffer {
  const body = Buffer.allocUnsafe(8);
  body.writeInt32BE(processId, 0);
  body.writeInt32BE(secretKey, 4);
  return buildFrame(BackendMessage.backendKeyData, body);
}

/** CommandComplete. @public */
export function buildCommandComplete(tag: string): Buffer {
  return buildFrame(BackendMessage.commandComplete, Buffer.from(`${tag}\0`));
}

/** Fields of an ErrorResponse or NoticeResponse. @public */
export interface ErrorFields {
  readonly severity: string;
  readonly sqlState: string;
  readonly message: string;
  readonly detail?: string;
  readonly hint?: string;
}

/** ErrorResponse. @public */
export function buildErrorResponse(fields: ErrorFields): Buffer {
  return buildFrame(BackendMessage.errorResponse, buildErrorBody(fields));
}

/** NoticeResponse. @public */
export function buildNoticeResponse(fields: ErrorFields): Buffer {
  return buildFrame(BackendMessage.noticeResponse, buildErrorBody(fields));
}

/** RowDescription of columns of type `text` in text format. @public */
export function buildTextRowDescription(columns: readonly string[]): Buffer {
  const parts: Buffer[] = [int16(columns.length)];
  for (const column of columns) {
    const fixed = Buffer.alloc(18);
    fixed.writeInt32BE(TEXT_TYPE_OID, 6);
    fixed.writeInt16BE(VARIABLE_LENGTH, 10);
    fixed.writeInt32BE(-1, 12);
    parts.push(Buffer.from(`${column}\0`), fixed);
  }
  return buildFrame(BackendMessage.rowDescription, Buffer.concat(parts));
}

/** DataRow of values in text format. @public */
export function buildTextDataRow(values: readonly (string | null)[]): Buffer {
  const parts: Buffer[] = [int16(values.length)];
  for (const value of values) {
    if (value === null) {
      parts.push(int32(NULL_VALUE_LENGTH));
      continue;
    }
    const bytes = Buffer.from(value);
    parts.push(int32(bytes.length), bytes);
  }
  return buildFrame(BackendMessage.dataRow, Buffer.concat(parts));
}

function buildErrorBody(fields: ErrorFields): Buffer {
  let text = `S${fields.severity}\0V${fields.severity}\0C${fields.sqlState}\0M${fields.message}\0`;
  if (fields.detail !== undefined) {
    text += `D${fields.detail}\0`;
  }
  if (fields.hint !== undefined) {
    text += `H${fields.hint}\0`;
  }
  return Buffer.from(`${text}\0`);
}

function buildAuthentication(code: number, data: Buffer): Buffer {
  return buildFrame(
    BackendMessage.authentication,
    Buffer.concat([int32(code), data]),
  );
}

function buildEmptyFrame(type: number): Buffer {
  return buildFrame(type, Buffer.alloc(0));
}

function int16(value: number): Buffer {
  const bytes = Buffer.allocUnsafe(2);
  bytes.writeInt16BE(value, 0);
  return bytes;
}

function int32(value: number): Buffer {
  const bytes = Buffer.allocUnsafe(4);
  bytes.writeInt32BE(value, 0);
  return bytes;
}
