import {createHash, timingSafeEqual} from 'node:crypto';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import {
  buildCleartextPasswordRequest,
  buildSaslContinue,
  buildSaslFinal,
  buildSaslRequest,
} from '@filbertrun/wire/backend_message_builder.js';
import {ByteReader} from '@filbertrun/wire/byte_reader.js';
import {FRAME_HEADER_BYTES} from '@filbertrun/wire/protocol_constants.js';
import {SCRAM_MECHANISM} from '@filbertrun/wire/scram.js';
import {
  createScramCredentials,
  ScramExchange,
  type ScramError,
} from './scram_exchange.js';

/** Method by which callers authenticate. @public */
export type AuthenticationMethod = 'scram-sha-256' | 'password';

/** User and password that callers log in with. */
interface CallerCredentials {
  readonly user: string;
  readonly password: string;
}

/** Result of a login message; `reply` is sent to the caller. @public */
export type AuthenticationStep =
  | {readonly kind: 'continue'; readonly reply: Buffer}
  | {readonly kind: 'done'; readonly reply: Buffer | null};

/**
 * Checks the credentials of callers. The SCRAM keys are derived once at
 * startup, so that a login needs no key derivation.
 *
 * @public
 */
export class CallerAuthenticator {
  private readonly scramCredentials;

  private constructor(
    private readonly credentials: CallerCredentials,
    private readonly method: AuthenticationMethod,
  ) {
    this.scramCredentials = createScramCredentials(credentials.password);
  }

  static create(
    credentials: CallerCredentials,
    method: AuthenticationMethod,
  ): CallerAuthenticator {
    return new CallerAuthenticator(credentials, method);
  }

  /**
   * Starts a login. Cleartext passwords are requested only over TLS; without
   * TLS, the method `password` uses SCRAM.
   */
  start(user: string, isEncrypted: boolean): CallerLogin {
    const usesPassword = this.method === 'password' && isEncrypted;
    const isKnownUser = user === this.credentials.user;
    return CallerLogin.create(
      isKnownUser,
      usesPassword ? this.credentials.password : null,
      ScramExchange.create(this.scramCredentials),
    );
  }
}

/** The authentication exchange of one caller. @public */
export class CallerLogin {
  private isFirst = true;

  private constructor(
    private readonly isKnownUser: boolean,
    /** Null when SCRAM is used. */
    private readonly cleartextPassword: string | null,
    private readonly scram: ScramExchange,
  ) {}

  static create(
    isKnownUser: boolean,
    cleartextPassword: string | null,
    scram: ScramExchange,
  ): CallerLogin {
    return new CallerLogin(isKnownUser, cleartextPassword, scram);
  }

  /** Returns the authentication request to send to the caller. */
  getRequest(): Buffer {
    return this.cleartextPassword === null
      ? buildSaslRequest([SCRAM_MECHANISM])
      : buildCleartextPasswordRequest();
  }

  /** Handles a password or SASL message. */
  handleMessage(frame: Buffer): Result<AuthenticationStep, CallerError> {
    const reader = ByteReader.create(frame, FRAME_HEADER_BYTES, frame.length);
    if (this.cleartextPassword !== null) {
      return this.checkPassword(reader.readText(), this.cleartextPassword);
    }
    if (this.isFirst) {
      this.isFirst = false;
      return this.handleClientFirst(reader);
    }
    return this.handleClientFinal(frame);
  }

  private checkPassword(
    given: string,
    expected: string,
  ): Result<AuthenticationStep, CallerError> {
    const isEqual = timingSafeEqual(
      computeDigest(given),
      computeDigest(expected),
    );
    return isEqual && this.isKnownUser
      ? success({kind: 'done', reply: null})
      : createRefusal();
  }

  private handleClientFirst(
    reader: ByteReader,
  ): Result<AuthenticationStep, CallerError> {
    const mechanism = reader.readText();
    const message = reader.readBytes(reader.readInt32());
    if (reader.hasFailed() || mechanism !== SCRAM_MECHANISM) {
      return failure({
        kind: 'protocolViolation',
        reason: 'malformed SASL message',
      });
    }
    const reply = this.scram.handleClientFirst(message.toString());
    return reply.ok
      ? success({kind: 'continue', reply: buildSaslContinue(reply.value)})
      : convertError(reply.error);
  }

  private handleClientFinal(
    frame: Buffer,
  ): Result<AuthenticationStep, CallerError> {
    const message = frame.toString('utf8', FRAME_HEADER_BYTES);
    const reply = this.scram.handleClientFinal(message);
    if (!reply.ok) {
      return convertError(reply.error);
    }
    // Unknown users are refused at the last step like wrong passwords, so that
    // callers can't probe for user names.
    return this.isKnownUser
      ? success({kind: 'done', reply: buildSaslFinal(reply.value)})
      : createRefusal();
  }
}

function convertError(error: ScramError): Result<never, CallerError> {
  switch (error.kind) {
    case 'wrongPassword':
      return createRefusal();
    case 'malformedMessage':
      return failure({kind: 'protocolViolation', reason: error.reason});
  }
}

function createRefusal(): Result<never, CallerError> {
  return failure({
    kind: 'invalidAuthorization',
    reason: 'Password authentication failed.',
  });
}

function computeDigest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
