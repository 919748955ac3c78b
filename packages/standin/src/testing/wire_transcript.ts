import {createHash, createHmac, pbkdf2Sync} from 'node:crypto';
import type {BackendMessage} from 'pg-protocol/dist/messages.js';
import {Parser} from 'pg-protocol/dist/parser.js';
import {serialize} from 'pg-protocol';
import type {InstanceCore} from '../instance_core.js';
import {SCRAM_MECHANISM, ScramVerifier} from '../scram_verifier.js';
import {WireSession} from '../wire_session.js';

const PASSWORD = 'secret-password';
const CLIENT_NONCE = 'client-nonce';
const KEY_BYTES = 32;

/**
 * A client of a session without sockets. It records the messages sent and
 * received as a transcript with one message per line.
 *
 * @internal
 */
export class WireTranscript {
  private readonly lines: string[] = [];
  private readonly parser = new Parser();
  private readonly session: WireSession;
  private saslData: string | null = null;
  private isRecording = false;

  private constructor(core: InstanceCore) {
    this.session = WireSession.create({
      core,
      rules: {
        user: 'user',
        verifier: ScramVerifier.create(PASSWORD),
        databaseGroup: 'group-1',
      },
      transport: {
        write: bytes => {
          this.handleBytes(bytes);
          return true;
        },
        end: () => this.record('< (connection closed)'),
      },
      defer: callback => core.startTimer(0, callback),
      createSecretKey: () => 42,
    });
  }

  /** Logs in unless the session refuses it; the login is not recorded. */
  static create(core: InstanceCore): WireTranscript {
    const transcript = new WireTranscript(core);
    transcript.logIn();
    transcript.isRecording = true;
    return transcript;
  }

  /** Sends messages in one chunk, as a pipelining client does. */
  send(description: string, ...messages: readonly Buffer[]): void {
    this.record(`> ${description}`);
    this.session.handleData(Buffer.concat(messages));
  }

  query(sql: string): void {
    this.send(`Query ${sql}`, serialize.query(sql));
  }

  /** Sends the bytes in chunks of one byte. */
  sendSlowly(description: string, bytes: Buffer): void {
    this.record(`> ${description}`);
    for (const byte of bytes) {
      this.session.handleData(Buffer.from([byte]));
    }
  }

  note(text: string): void {
    this.record(`# ${text}`);
  }

  close(): void {
    this.session.handleClosed();
  }

  getText(): string {
    return `${this.lines.join('\n')}\n`;
  }

  private logIn(): void {
    this.session.handleData(
      serialize.startup({user: 'user', database: 'group-1'}),
    );
    const first = `n,,n=*,r=${CLIENT_NONCE}`;
    this.session.handleData(
      serialize.sendSASLInitialResponseMessage(SCRAM_MECHANISM, first),
    );
    if (this.saslData === null) {
      return;
    }
    const proof = createClientProof(first.slice(3), this.saslData);
    this.session.handleData(serialize.sendSCRAMClientFinalMessage(proof));
  }

  private handleBytes(bytes: Buffer): void {
    this.parser.parse(bytes, message => {
      if (message.name === 'authenticationSASLContinue') {
        this.saslData = (message as {data?: string}).data ?? null;
      }
      this.record(`< ${describeMessage(message)}`);
    });
  }

  private record(line: string): void {
    if (this.isRecording) {
      this.lines.push(line);
    }
  }
}

function createClientProof(firstBare: string, serverFirst: string): string {
  const match = /^r=([^,]+),s=([^,]+),i=(\d+)$/.exec(serverFirst);
  const [, nonce = '', salt = '', iterations = ''] = match ?? [];
  const saltedPassword = pbkdf2Sync(
    PASSWORD,
    Buffer.from(salt, 'base64'),
    Number(iterations),
    KEY_BYTES,
    'sha256',
  );
  const clientKey = createHmac('sha256', saltedPassword)
    .update('Client Key')
    .digest();
  const storedKey = createHash('sha256').update(clientKey).digest();
  const withoutProof = `c=biws,r=${nonce}`;
  const signature = createHmac('sha256', storedKey)
    .update(`${firstBare},${serverFirst},${withoutProof}`)
    .digest();
  const proof = Buffer.from(
    clientKey.map((byte, index) => byte ^ (signature[index] ?? 0)),
  );
  return `${withoutProof},p=${proof.toString('base64')}`;
}

function describeMessage(message: BackendMessage): string {
  const fields = Object.entries(message)
    .filter(([name]) => name !== 'name' && name !== 'length')
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${describeValue(value)}`);
  return [message.name, ...fields].join(' ');
}

function describeValue(value: unknown): string {
  if (Array.isArray(value)) {
    return `[${value.map(describeItem).join(', ')}]`;
  }
  return String(value);
}

function describeItem(item: unknown): string {
  const isField = typeof item === 'object' && item !== null && 'name' in item;
  return isField ? String(item.name) : JSON.stringify(item);
}
