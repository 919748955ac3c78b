import {failure, success, type Result} from '@filbertrun/base/result.js';
import {ByteReader} from './byte_reader.js';

/**
 * Parses the first packets of a connection, which have no type byte.
 */

/** Maximum length of a startup packet, as in PostgreSQL. @public */
export const MAX_STARTUP_PACKET_BYTES = 10_000;

const SSL_REQUEST_CODE = 80877103;
const GSS_ENCRYPTION_REQUEST_CODE = 80877104;
const CANCEL_REQUEST_CODE = 80877102;
const PROTOCOL_MAJOR_VERSION = 3;
const MIN_STARTUP_PACKET_BYTES = 8;
const PACKET_HEADER_BYTES = 8;
const CANCEL_PACKET_BYTES = 16;

/** A packet that a client may send first on a connection. @public */
export type StartupPacket =
  | {readonly kind: 'sslRequest'}
  | {readonly kind: 'gssEncryptionRequest'}
  | {
      readonly kind: 'cancelRequest';
      readonly processId: number;
      readonly secretKey: number;
    }
  | {
      readonly kind: 'startup';
      readonly minorVersion: number;
      readonly parameters: ReadonlyMap<string, string>;
    };

/** Why a startup packet was rejected. @public */
export type StartupError =
  | {readonly kind: 'malformedStartup'; readonly reason: string}
  | {readonly kind: 'unsupportedVersion'; readonly version: string};

/** A parsed packet and its length in bytes. @public */
export interface ParsedStartupPacket {
  readonly packet: StartupPacket;
  readonly length: number;
}

/**
 * Parses the startup packet at the start of `bytes`; null if it is incomplete.
 *
 * @public
 */
export function readStartupPacket(
  bytes: Buffer,
): Result<ParsedStartupPacket | null, StartupError> {
  if (bytes.length < PACKET_HEADER_BYTES) {
    return success(null);
  }
  const length = bytes.readInt32BE(0);
  if (length < MIN_STARTUP_PACKET_BYTES || length > MAX_STARTUP_PACKET_BYTES) {
    return createMalformedError(`packet length ${length}`);
  }
  if (bytes.length < length) {
    return success(null);
  }
  const packet = parsePacket(bytes.subarray(0, length));
  return packet.ok ? success({packet: packet.value, length}) : packet;
}

function parsePacket(bytes: Buffer): Result<StartupPacket, StartupError> {
  const code = bytes.readInt32BE(4);
  switch (code) {
    case SSL_REQUEST_CODE:
      return success({kind: 'sslRequest'});
    case GSS_ENCRYPTION_REQUEST_CODE:
      return success({kind: 'gssEncryptionRequest'});
    case CANCEL_REQUEST_CODE:
      return parseCancelRequest(bytes);
    default:
      return parseStartupMessage(bytes, code);
  }
}

function parseCancelRequest(
  bytes: Buffer,
): Result<StartupPacket, StartupError> {
  if (bytes.length !== CANCEL_PACKET_BYTES) {
    return createMalformedError('cancel request length');
  }
  return success({
    kind: 'cancelRequest',
    processId: bytes.readInt32BE(8),
    secretKey: bytes.readInt32BE(12),
  });
}

function parseStartupMessage(
  bytes: Buffer,
  code: number,
): Result<StartupPacket, StartupError> {
  const major = code >>> 16;
  const minorVersion = code & 0xffff;
  if (major !== PROTOCOL_MAJOR_VERSION) {
    return failure({
      kind: 'unsupportedVersion',
      version: `${major}.${minorVersion}`,
    });
  }
  const parameters = new Map<string, string>();
  const reader = ByteReader.create(bytes, PACKET_HEADER_BYTES, bytes.length);
  for (;;) {
    const name = reader.readText();
    if (reader.hasFailed()) {
      return createMalformedError('parameter list is not terminated');
    }
    if (name === '') {
      break;
    }
    parameters.set(name, reader.readText());
  }
  if (reader.hasFailed() || !reader.isAtEnd()) {
    return createMalformedError('parameter list');
  }
  return success({kind: 'startup', minorVersion, parameters});
}

function createMalformedError(reason: string): Result<never, StartupError> {
  return failure({kind: 'malformedStartup', reason});
}
