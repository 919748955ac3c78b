import {createHash, createHmac, pbkdf2Sync, timingSafeEqual} from 'node:crypto';

/**
 * Key derivation, proofs and message parsing of SCRAM-SHA-256 (RFC 5802,
 * RFC 7677), for both server and client.
 */

/** Name of the SASL mechanism. @public */
export const SCRAM_MECHANISM = 'SCRAM-SHA-256';

const DIGEST = 'sha256';
const DIGEST_BYTES = 32;

/** What a server stores in place of a password. @public */
export interface ScramCredentials {
  readonly salt: Buffer;
  readonly iterations: number;
  readonly storedKey: Buffer;
  readonly serverKey: Buffer;
}

/** Keys that a client derives from a password. @public */
export interface ScramKeys {
  readonly clientKey: Buffer;
  readonly storedKey: Buffer;
  readonly serverKey: Buffer;
}

/**
 * Derives the keys from a password. This takes milliseconds, so cache the
 * result.
 *
 * @public
 */
export function deriveScramKeys(
  password: string,
  salt: Buffer,
  iterations: number,
): ScramKeys {
  const saltedPassword = pbkdf2Sync(
    password.normalize('NFKC'),
    salt,
    iterations,
    DIGEST_BYTES,
    DIGEST,
  );
  const clientKey = computeHmac(saltedPassword, 'Client Key');
  return {
    clientKey,
    storedKey: createHash(DIGEST).update(clientKey).digest(),
    serverKey: computeHmac(saltedPassword, 'Server Key'),
  };
}

/** Computes the proof that the client sends. @public */
export function computeClientProof(
  keys: ScramKeys,
  authMessage: string,
): Buffer {
  return xor(keys.clientKey, computeHmac(keys.storedKey, authMessage));
}

/** Whether the client's proof matches the stored key. @public */
export function isClientProofValid(
  credentials: ScramCredentials,
  authMessage: string,
  proof: Buffer,
): boolean {
  if (proof.length !== DIGEST_BYTES) {
    return false;
  }
  const signature = computeHmac(credentials.storedKey, authMessage);
  const clientKey = xor(proof, signature);
  const storedKey = createHash(DIGEST).update(clientKey).digest();
  return timingSafeEqual(storedKey, credentials.storedKey);
}

/**
 * Computes the signature with which the server proves that it knows the keys
 * of the password.
 *
 * @public
 */
export function computeServerSignature(
  serverKey: Buffer,
  authMessage: string,
): Buffer {
  return computeHmac(serverKey, authMessage);
}

/** Reads the `name=value` attributes of a SCRAM message. @public */
export function parseScramAttributes(
  message: string,
): ReadonlyMap<string, string> {
  const attributes = new Map<string, string>();
  for (const part of message.split(',')) {
    if (part[1] === '=') {
      attributes.set(part[0]!, part.slice(2));
    }
  }
  return attributes;
}

function computeHmac(key: Buffer, data: string): Buffer {
  return createHmac(DIGEST, key).update(data).digest();
}

function xor(left: Buffer, right: Buffer): Buffer {
  const result = Buffer.allocUnsafe(left.length);
  for (let index = 0; index < left.length; index++) {
    result[index] = left[index]! ^ right[index]!;
  }
  return result;
}
