import {randomBytes} from 'node:crypto';
import {
  computeClientProof,
  computeServerSignature,
  deriveScramKeys,
  parseScramAttributes,
  type ScramKeys,
} from '@filbertrun/wire/scram.js';

/**
 * Client side of SCRAM-SHA-256 authentication to a backend server.
 */

const NONCE_BYTES = 18;
const GS2_HEADER = 'n,,';

/**
 * Largest accepted iteration count, which limits the work that a backend
 * server can cause in the proxy.
 */
const MAX_ITERATIONS = 100_000;

/** SCRAM exchange of one login. @public */
export class ScramClient {
  private readonly clientFirstBare: string;
  private readonly nonce: string;
  private expectedSignature: string | null = null;

  private constructor(private readonly password: string) {
    this.nonce = randomBytes(NONCE_BYTES).toString('base64');
    this.clientFirstBare = `n=,r=${this.nonce}`;
  }

  static create(password: string): ScramClient {
    return new ScramClient(password);
  }

  /** Returns the client-first message. */
  getClientFirst(): string {
    return `${GS2_HEADER}${this.clientFirstBare}`;
  }

  /**
   * Returns the client-final message, or null if the server-first message is
   * malformed or asks for too many iterations.
   */
  createClientFinal(serverFirst: string): string | null {
    const attributes = parseScramAttributes(serverFirst);
    const nonce = attributes.get('r') ?? '';
    const salt = attributes.get('s') ?? '';
    const iterations = Number(attributes.get('i'));
    const isMalformed =
      !nonce.startsWith(this.nonce) ||
      !(iterations >= 1 && iterations <= MAX_ITERATIONS);
    if (isMalformed) {
      return null;
    }
    const keys = getKeys(this.password, salt, iterations);
    const binding = Buffer.from(GS2_HEADER).toString('base64');
    const withoutProof = `c=${binding},r=${nonce}`;
    const authMessage = `${this.clientFirstBare},${serverFirst},${withoutProof}`;
    this.expectedSignature = computeServerSignature(
      keys.serverKey,
      authMessage,
    ).toString('base64');
    const proof = computeClientProof(keys, authMessage).toString('base64');
    return `${withoutProof},p=${proof}`;
  }

  /**
   * Whether the server signature is valid, which proves that the server knows
   * the password.
   */
  isServerFinalValid(serverFinal: string): boolean {
    const signature = parseScramAttributes(serverFinal).get('v');
    return signature !== undefined && signature === this.expectedSignature;
  }
}

/**
 * Keys by password, salt and iteration count. They are cached because deriving
 * them blocks the event loop for milliseconds.
 */
const keysCache = new Map<string, ScramKeys>();
const MAX_CACHED_KEYS = 4096;

function getKeys(
  password: string,
  salt: string,
  iterations: number,
): ScramKeys {
  const cacheKey = `${iterations}:${salt}:${password}`;
  let keys = keysCache.get(cacheKey);
  if (keys === undefined) {
    keys = deriveScramKeys(password, Buffer.from(salt, 'base64'), iterations);
    if (keysCache.size >= MAX_CACHED_KEYS) {
      keysCache.clear();
    }
    keysCache.set(cacheKey, keys);
  }
  return keys;
}
