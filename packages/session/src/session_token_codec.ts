import {createHmac, timingSafeEqual} from 'node:crypto';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {z} from 'zod';
import {SessionFloors} from './session_floors.js';
import type {TokenError} from './token_error.js';

/**
 * Session tokens: the floors of a session as signed text, which a caller passes
 * from one proxy to another.
 *
 * Format: `VERSION.`, then in base64url one byte for the compression, the
 * floors as JSON, and the first bytes of an HMAC-SHA-256 over everything before
 * it.
 */

/** Maximum length of a token in bytes. @public */
export const MAX_TOKEN_BYTES = 12_288;

/** Maximum number of database groups in a token. @public */
export const MAX_TOKEN_GROUPS = 2_000;

const VERSION = '1';
const VERSION_PATTERN = /^([0-9a-z]{1,4})\./;
const SIGNATURE_BYTES = 16;
const MIN_KEY_CHARACTERS = 8;

/** Longer payloads are compressed. */
const COMPRESSION_THRESHOLD_BYTES = 200;

/** Maximum length of a decompressed payload. Longer ones are rejected. */
const MAX_PAYLOAD_BYTES = 262_144;

const ENCODING_PLAIN = 0;
const ENCODING_DEFLATED = 1;

const payloadSchema = z
  .array(
    z.tuple([
      z.string().min(1).max(64),
      z.number().int().nonnegative(),
      z.number().int().nonnegative(),
    ]),
  )
  .max(MAX_TOKEN_GROUPS);

/** Keys of a `SessionTokenCodec`. @public */
export interface SessionTokenKeys {
  /** The first key signs; all keys verify, so that keys can be rotated. */
  readonly signingKeys: readonly string[];
}

/** Encodes and decodes session tokens. @public */
export class SessionTokenCodec {
  private constructor(
    private readonly signingKey: string,
    private readonly verifyingKeys: readonly string[],
  ) {}

  /** Throws a RangeError if there is no key or a key is too short. */
  static create(keys: SessionTokenKeys): SessionTokenCodec {
    const [signingKey] = keys.signingKeys;
    if (signingKey === undefined) {
      throw new RangeError('At least one signing key is required.');
    }
    for (const key of keys.signingKeys) {
      if (key.length < MIN_KEY_CHARACTERS) {
        throw new RangeError(
          `A signing key needs at least ${MIN_KEY_CHARACTERS} characters.`,
        );
      }
    }
    return new SessionTokenCodec(signingKey, keys.signingKeys);
  }

  /**
   * Encodes floors as a token. Fails with `tooLong` instead of omitting a
   * floor, which would let the session read data older than its own writes.
   */
  encode(floors: SessionFloors): Result<string, TokenError> {
    if (floors.size > MAX_TOKEN_GROUPS) {
      return failure(createTooManyGroupsError());
    }
    const body = encodeBody(floors);
    const signature = sign(this.signingKey, body);
    const text = Buffer.concat([body, signature]).toString('base64url');
    const token = `${VERSION}.${text}`;
    if (token.length > MAX_TOKEN_BYTES) {
      return failure(createTooLongError());
    }
    return success(token);
  }

  /** Decodes a token that was signed with any of the keys. */
  decode(token: string): Result<SessionFloors, TokenError> {
    if (token.length > MAX_TOKEN_BYTES) {
      return failure(createTooLongError());
    }
    const version = VERSION_PATTERN.exec(token)?.[1];
    if (version === undefined) {
      return failure(createMalformedError('no version'));
    }
    if (version !== VERSION) {
      return failure({kind: 'unsupportedVersion', version});
    }
    const text = token.slice(version.length + 1);
    const bytes = Buffer.from(text, 'base64url');
    // Several texts decode to the same bytes. Accept only the canonical one.
    if (bytes.toString('base64url') !== text) {
      return failure(createMalformedError('not base64url'));
    }
    if (bytes.length <= SIGNATURE_BYTES) {
      return failure(createMalformedError('cut short'));
    }
    const body = bytes.subarray(0, bytes.length - SIGNATURE_BYTES);
    const signature = bytes.subarray(bytes.length - SIGNATURE_BYTES);
    if (!this.hasValidSignature(body, signature)) {
      return failure({kind: 'forged'});
    }
    return decodeBody(body);
  }

  private hasValidSignature(body: Buffer, signature: Buffer): boolean {
    for (const key of this.verifyingKeys) {
      if (timingSafeEqual(sign(key, body), signature)) {
        return true;
      }
    }
    return false;
  }
}

function sign(key: string, body: Buffer): Buffer {
  return createHmac('sha256', key)
    .update(`${VERSION}.`)
    .update(body)
    .digest()
    .subarray(0, SIGNATURE_BYTES);
}

function encodeBody(floors: SessionFloors): Buffer {
  const entries: (readonly [string, number, number])[] = [];
  for (const [databaseGroup, {term, position}] of floors.getEntries()) {
    entries.push([databaseGroup, term, position]);
  }
  const payload = Buffer.from(JSON.stringify(entries));
  if (payload.length <= COMPRESSION_THRESHOLD_BYTES) {
    return Buffer.concat([Buffer.of(ENCODING_PLAIN), payload]);
  }
  return Buffer.concat([Buffer.of(ENCODING_DEFLATED), deflateRawSync(payload)]);
}

function decodeBody(body: Buffer): Result<SessionFloors, TokenError> {
  const json = parsePayload(body);
  const entries = payloadSchema.safeParse(json);
  if (!entries.success) {
    return failure(createMalformedError('unexpected content'));
  }
  const floors: [string, {term: number; position: number}][] = [];
  for (const [databaseGroup, term, position] of entries.data) {
    floors.push([databaseGroup, {term, position}]);
  }
  return success(SessionFloors.create(floors));
}

/** Returns the JSON value of a body, or undefined if it can't be read. */
function parsePayload(body: Buffer): unknown {
  try {
    const payload = decompress(body);
    return payload === null ? undefined : JSON.parse(payload.toString());
  } catch {
    return undefined;
  }
}

function decompress(body: Buffer): Buffer | null {
  const content = body.subarray(1);
  switch (body[0]) {
    case ENCODING_PLAIN:
      return content;
    case ENCODING_DEFLATED:
      return inflateRawSync(content, {maxOutputLength: MAX_PAYLOAD_BYTES});
    default:
      return null;
  }
}

function createMalformedError(reason: string): TokenError {
  return {kind: 'malformed', reason};
}

function createTooLongError(): TokenError {
  return {kind: 'tooLong', limit: MAX_TOKEN_BYTES, unit: 'bytes'};
}

function createTooManyGroupsError(): TokenError {
  return {kind: 'tooLong', limit: MAX_TOKEN_GROUPS, unit: 'databaseGroups'};
}
