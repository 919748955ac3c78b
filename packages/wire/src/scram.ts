import {createHash, createHmac, pbkdf2Sync, timingSafeEqual} from 'node:crypto';

/**
 * The computations of SCRAM-SHA-256 (RFC 5802, RFC 7677) and the parsing of
 * its messages, used by both the server's and the client's side.
 */

/** Name of the mechanism. @public */
export const SCRAM_MECHANISM = 'SCRAM-SHA-256';

const DIGEST = 'sha256';
const DIGEST_BYTES = 32;

/** What a server keeps of a password. @public */
export interface ScramCredentials {
  readonly salt: Buffer;
  readonly iterations: number;
  readonly storedKey: Buffer;
  readonly serverKey: Buffer;
}

/** Keys that follow from a password, for the client's side. @public */
export interface ScramKeys {
  readonly clientKey: Buffer;
  readonly storedKey: Buffer;
  readonly serverKey: Buffer;
}

/** Derives the keys of a password. It takes milliseconds: do it once. @public */
export function deriveScramKeys(
  password: string,
  salt: Buffer,
  iterations: number,
): ScramKeys {
  const salted = pbkdf2Sync(
    password.normalize('NFKC'),
    salt,
    iterations,
    DIGEST_BYTES,
    DIGEST,
  );
  const clientKey = computeHmac(salted, 'Client Key');
  return {
    clientKey,
    storedKey: createHash(DIGEST).update(clientKey).digest(),
    serverKey: computeHmac(salted, 'Server Key'),
  };
}

/** Proof that a client sends. @public */
export function computeClientProof(
  keys: ScramKeys,
  authMessage: string,
): Buffer {
  return xor(keys.clientKey, computeHmac(keys.storedKey, authMessage));
}

/** Whether a client's proof fits the stored key. @public */
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

/** Signature by which the server proves that it knows the password. @public */
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
