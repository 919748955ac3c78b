import {ByteReader} from './byte_reader.js';
import {
  FRAME_HEADER_BYTES,
  type TransactionStatus,
} from './protocol_constants.js';

/**
 * Parses the backend messages that the proxy inspects. Each function takes the
 * range of a complete frame. Those that can fail return null if it is
 * malformed.
 */

/** A run-time parameter that the server reports. @public */
export interface ParameterStatus {
  readonly name: string;
  readonly value: string;
}

/** Reads ParameterStatus. @public */
export function readParameterStatus(
  buffer: Buffer,
  start: number,
  end: number,
): ParameterStatus | null {
  const reader = ByteReader.create(buffer, start + FRAME_HEADER_BYTES, end);
  const name = reader.readText();
  const value = reader.readText();
  return reader.hasFailed() ? null : {name, value};
}

/** Reads the transaction status of ReadyForQuery. @public */
export function readTransactionStatus(
  buffer: Buffer,
  start: number,
): TransactionStatus | null {
  switch (buffer[start + FRAME_HEADER_BYTES]) {
    case 0x49:
      return 'idle';
    case 0x54:
      return 'inTransaction';
    case 0x45:
      return 'failed';
    default:
      return null;
  }
}

/** Reads the tag of CommandComplete. @public */
export function readCommandTag(
  buffer: Buffer,
  start: number,
  end: number,
): string {
  return buffer.toString('latin1', start + FRAME_HEADER_BYTES, end - 1);
}

/** The fields of an ErrorResponse that determine how it is handled. @public */
export interface BackendErrorFields {
  readonly severity: string;
  readonly sqlState: string;
  readonly message: string;
}

/** Reads ErrorResponse. @public */
export function readErrorResponse(
  buffer: Buffer,
  start: number,
  end: number,
): BackendErrorFields {
  const reader = ByteReader.create(buffer, start + FRAME_HEADER_BYTES, end);
  const fields = new Map<number, string>();
  while (!reader.hasFailed()) {
    const field = reader.readByte();
    if (field === 0) {
      break;
    }
    fields.set(field, reader.readText());
  }
  return {
    severity: fields.get(0x56) ?? fields.get(0x53) ?? 'ERROR',
    sqlState: fields.get(0x43) ?? 'XX000',
    message: fields.get(0x4d) ?? '',
  };
}

/**
 * Reads the code and data of an Authentication message; code -1 if too short.
 *
 * @public
 */
export function readAuthentication(
  buffer: Buffer,
  start: number,
  end: number,
): {readonly code: number; readonly data: Buffer} {
  const body = start + FRAME_HEADER_BYTES;
  return {
    code: end - body >= 4 ? buffer.readInt32BE(body) : -1,
    data: buffer.subarray(Math.min(body + 4, end), end),
  };
}

/** Reads BackendKeyData. @public */
export function readBackendKeyData(
  buffer: Buffer,
  start: number,
  end: number,
): {readonly processId: number; readonly secretKey: number} | null {
  const reader = ByteReader.create(buffer, start + FRAME_HEADER_BYTES, end);
  const processId = reader.readInt32();
  const secretKey = reader.readInt32();
  return reader.hasFailed() ? null : {processId, secretKey};
}
