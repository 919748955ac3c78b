import {randomBytes} from 'node:crypto';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {
  computeServerSignature,
  deriveScramKeys,
  isClientProofValid,
  parseScramAttributes,
  type ScramCredentials,
} from '@filbertrun/wire/scram.js';

/**
 * The server side of SCRAM-SHA-256.
 */

/** Iteration count of the key derivation; PostgreSQL's default. */
const SCRAM_ITERATIONS = 4096;
const SALT_BYTES = 16;
const NONCE_BYTES = 18;

/**
 * Reason for a failed login. The caller can't tell a wrong password from an
 * unknown user.
 *
 * @public
 */
export type ScramError =
  | {readonly kind: 'malformedMessage'; readonly reason: string}
  | {readonly kind: 'wrongPassword'};

/** Derives the stored credentials of a password. @public */
export function createScramCredentials(password: string): ScramCredentials {
  const salt = randomBytes(SALT_BYTES);
  const keys = deriveScramKeys(password, salt, SCRAM_ITERATIONS);
  return {
    salt,
    iterations: SCRAM_ITERATIONS,
    storedKey: keys.storedKey,
    serverKey: keys.serverKey,
  };
}

/** The server side of one SCRAM login. @public */
export class ScramExchange {
  private clientFirstBare = '';
  private gs2Header = '';
  private serverFirst = '';
  private nonce = '';

  private constructor(private readonly credentials: ScramCredentials) {}

  static create(credentials: ScramCredentials): ScramExchange {
    return new ScramExchange(credentials);
  }

  /** Handles the client-first message and returns the server-first message. */
  handleClientFirst(message: string): Result<string, ScramError> {
    const match = /^([ny],[^,]*,)(.*)$/s.exec(message);
    if (match === null) {
      return malformed('channel binding is not supported');
    }
    this.gs2Header = match[1]!;
    this.clientFirstBare = match[2]!;
    const clientNonce = parseScramAttributes(this.clientFirstBare).get('r');
    if (clientNonce === undefined || clientNonce === '') {
      return malformed('the client nonce is missing');
    }
    this.nonce = clientNonce + randomBytes(NONCE_BYTES).toString('base64');
    const salt = this.credentials.salt.toString('base64');
    this.serverFirst = `r=${this.nonce},s=${salt},i=${this.credentials.iterations}`;
    return success(this.serverFirst);
  }

  /** Verifies the client-final message and returns the server-final message. */
  handleClientFinal(message: string): Result<string, ScramError> {
    const proofStart = message.lastIndexOf(',p=');
    const attributes = parseScramAttributes(message);
    const binding = Buffer.from(this.gs2Header).toString('base64');
    if (proofStart < 0 || attributes.get('c') !== binding) {
      return malformed('the channel binding or the proof is missing');
    }
    if (attributes.get('r') !== this.nonce) {
      return malformed('the nonce differs');
    }
    const withoutProof = message.slice(0, proofStart);
    const authMessage = `${this.clientFirstBare},${this.serverFirst},${withoutProof}`;
    const proof = Buffer.from(message.slice(proofStart + 3), 'base64');
    if (!isClientProofValid(this.credentials, authMessage, proof)) {
      return failure({kind: 'wrongPassword'});
    }
    const signature = computeServerSignature(
      this.credentials.serverKey,
      authMessage,
    );
    return success(`v=${signature.toString('base64')}`);
  }
}

function malformed(reason: string): Result<never, ScramError> {
  return failure({kind: 'malformedMessage', reason});
}
