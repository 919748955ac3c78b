import {
  createHash,
  createHmac,
  pbkdf2Sync,
  randomBytes,
  timingSafeEqual,
} from 'node:crypto';
import {SQL_STATE, SqlError} from './sql_error.js';

/** Name of the SASL mechanism. @internal */
export const SCRAM_MECHANISM = 'SCRAM-SHA-256';

/** Iterations of the key derivation; the default of PostgreSQL. */
const ITERATIONS = 4096;

const KEY_BYTES = 32;
const SALT_BYTES = 16;
const NONCE_BYTES = 18;

/** Verifies a password by SCRAM without keeping the password. @internal */
export class ScramVerifier {
  private constructor(
    private readonly salt: Buffer,
    private readonly storedKey: Buffer,
    private readonly serverKey: Buffer,
  ) {}

  /** Derives the keys once, so that each login needs only a few hashes. */
  static create(password: string): ScramVerifier {
    const salt = randomBytes(SALT_BYTES);
    const saltedPassword = pbkdf2Sync(
      password,
      salt,
      ITERATIONS,
      KEY_BYTES,
      'sha256',
    );
    const storedKey = hash(createMac(saltedPassword, 'Client Key'));
    return new ScramVerifier(
      salt,
      storedKey,
      createMac(saltedPassword, 'Server Key'),
    );
  }

  startExchange(): ScramExchange {
    return ScramExchange.create(this.salt, this.storedKey, this.serverKey);
  }
}

/** The SCRAM exchange of one login. @internal */
export class ScramExchange {
  private clientFirstBare = '';
  private serverFirst = '';
  private nonce = '';

  private constructor(
    private readonly salt: Buffer,
    private readonly storedKey: Buffer,
    private readonly serverKey: Buffer,
  ) {}

  static create(
    salt: Buffer,
    storedKey: Buffer,
    serverKey: Buffer,
  ): ScramExchange {
    return new ScramExchange(salt, storedKey, serverKey);
  }

  /** Returns the response to the client's first message. */
  handleClientFirst(message: string): string {
    const match = /^[ny],[^,]*,(n=[^,]*,r=([^,]+).*)$/s.exec(message);
    if (match === null) {
      throw createPasswordError();
    }
    const [, bare = '', clientNonce = ''] = match;
    this.clientFirstBare = bare;
    this.nonce = clientNonce + randomBytes(NONCE_BYTES).toString('base64');
    const salt = this.salt.toString('base64');
    this.serverFirst = `r=${this.nonce},s=${salt},i=${ITERATIONS}`;
    return this.serverFirst;
  }

  /** Verifies the client's proof; returns the server's final message. */
  handleClientFinal(message: string): string {
    const match = /^(c=[^,]*,r=([^,]+)),p=(.+)$/s.exec(message);
    if (match?.[2] !== this.nonce || this.nonce === '') {
      throw createPasswordError();
    }
    const signedText = `${this.clientFirstBare},${this.serverFirst},${match[1]}`;
    const signature = createMac(this.storedKey, signedText);
    const proof = Buffer.from(match[3] ?? '', 'base64');
    if (proof.length !== KEY_BYTES) {
      throw createPasswordError();
    }
    const clientKey = Buffer.from(
      proof.map((byte, index) => byte ^ (signature[index] ?? 0)),
    );
    if (!timingSafeEqual(hash(clientKey), this.storedKey)) {
      throw createPasswordError();
    }
    return `v=${createMac(this.serverKey, signedText).toString('base64')}`;
  }
}

function createMac(key: Buffer, text: string): Buffer {
  return createHmac('sha256', key).update(text).digest();
}

function hash(bytes: Buffer): Buffer {
  return createHash('sha256').update(bytes).digest();
}

function createPasswordError(): SqlError {
  return SqlError.createFatal(
    SQL_STATE.invalidPassword,
    'password authentication failed',
  );
}
