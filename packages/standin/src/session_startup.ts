import {
  readStartupPacket,
  type StartupPacket,
} from '@filbertrun/wire/startup_packet.js';
import {parseStartupOptions} from '@filbertrun/wire/startup_options.js';
import {createProtocolError} from './frontend_message.js';
import {
  SCRAM_MECHANISM,
  type ScramExchange,
  type ScramVerifier,
} from './scram_verifier.js';
import {SQL_STATE, SqlError} from './sql_error.js';

/** User, password and database that a login must match. @internal */
export interface LoginRules {
  readonly user: string;
  readonly verifier: ScramVerifier;
  /** Name of the database group, which is the only database. */
  readonly databaseGroup: string;
}

/** Startup parameters that are not run-time parameters. */
const CONNECTION_PARAMETERS: ReadonlySet<string> = new Set([
  'user',
  'database',
  'options',
  'replication',
]);

/** Size of an INT32 field. */
const INT32_BYTES = 4;

/** Reads the packets that open a connection. @internal */
export class StartupReader {
  private bytes: Buffer = Buffer.alloc(0);

  private constructor() {}

  static create(): StartupReader {
    return new StartupReader();
  }

  push(chunk: Buffer): void {
    this.bytes = Buffer.concat([this.bytes, chunk]);
  }

  /** Returns the next packet, or null until it is complete. */
  takePacket(): StartupPacket | null {
    const read = readStartupPacket(this.bytes);
    if (!read.ok) {
      throw createProtocolError('malformed startup packet');
    }
    if (read.value === null) {
      return null;
    }
    this.bytes = this.bytes.subarray(read.value.length);
    return read.value.packet;
  }

  /** Returns the bytes after the last packet. */
  takeRemainder(): Buffer {
    const remainder = this.bytes;
    this.bytes = Buffer.alloc(0);
    return remainder;
  }
}

/** Checks the database name; returns the run-time parameters. @internal */
export function readRunTimeParameters(
  startup: ReadonlyMap<string, string>,
  rules: LoginRules,
): ReadonlyMap<string, string> {
  const database = startup.get('database') ?? startup.get('user') ?? '';
  if (database !== rules.databaseGroup) {
    throw SqlError.createFatal(
      SQL_STATE.undefinedDatabase,
      `database "${database}" does not exist`,
    );
  }
  const parameters = new Map<string, string>();
  for (const [name, value] of startup) {
    if (!CONNECTION_PARAMETERS.has(name)) {
      parameters.set(name.toLowerCase(), value);
    }
  }
  const options = parseStartupOptions(startup.get('options') ?? '');
  if (!options.ok) {
    throw createProtocolError('malformed startup options');
  }
  for (const [name, value] of options.value) {
    parameters.set(name.toLowerCase(), value);
  }
  return parameters;
}

/** Authenticates a client by SCRAM. @internal */
export class Login {
  private hasReceivedFirst = false;

  private constructor(
    private readonly exchange: ScramExchange,
    private readonly isKnownUser: boolean,
  ) {}

  static create(user: string, rules: LoginRules): Login {
    return new Login(rules.verifier.startExchange(), user === rules.user);
  }

  /** Returns the response to a client message; the second one is final. */
  respond(body: Buffer): {readonly text: string; readonly isFinal: boolean} {
    if (!this.hasReceivedFirst) {
      this.hasReceivedFirst = true;
      const first = readInitialResponse(body);
      return {text: this.exchange.handleClientFirst(first), isFinal: false};
    }
    const text = this.exchange.handleClientFinal(body.toString('utf8'));
    if (!this.isKnownUser) {
      throw SqlError.createFatal(
        SQL_STATE.invalidPassword,
        'password authentication failed',
      );
    }
    return {text, isFinal: true};
  }
}

function readInitialResponse(body: Buffer): string {
  const end = body.indexOf(0);
  const mechanism = body.toString('utf8', 0, Math.max(0, end));
  if (mechanism !== SCRAM_MECHANISM) {
    throw createProtocolError('unknown authentication mechanism');
  }
  return body.toString('utf8', end + 1 + INT32_BYTES);
}
