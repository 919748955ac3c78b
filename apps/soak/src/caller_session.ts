import net from 'node:net';
import {
  endsAnswer,
  formatCallerConnect,
  parseAnswer,
  type CallerAnswer,
} from './caller_codec.js';
import {LineSplitter} from './lines.js';
import {HOST} from './ports.js';

const CONNECT_TIMEOUT_MS = 2_000;
const ANSWER_TIMEOUT_MS = 4_000;

/** A caller's session with a proxy, one statement at a time. @internal */
export class CallerSession {
  private readonly splitter = LineSplitter.create();
  private lines: string[] = [];
  private waiting: ((answer: CallerAnswer) => void) | null = null;
  private isClosed = false;

  private constructor(private readonly socket: net.Socket) {
    socket.on('error', () => this.end());
    socket.on('close', () => this.end());
    socket.on('data', chunk => this.read(chunk));
  }

  /** Opens a session; null if it is not accepted. */
  static async open(
    port: number,
    database: string,
    caller: string,
  ): Promise<CallerSession | null> {
    const socket = net.connect({host: HOST, port, noDelay: true});
    const session = new CallerSession(socket);
    const answer = await session.exchange(
      formatCallerConnect(database, caller),
      CONNECT_TIMEOUT_MS,
    );
    if (answer.kind === 'complete') {
      return session;
    }
    session.close();
    return null;
  }

  get isOpen(): boolean {
    return !this.isClosed;
  }

  close(): void {
    this.socket.destroy();
  }

  /** Sends a message and returns the answer. */
  exchange(
    message: string,
    timeoutMs = ANSWER_TIMEOUT_MS,
  ): Promise<CallerAnswer> {
    if (this.isClosed) {
      return Promise.resolve({kind: 'none'});
    }
    return new Promise(resolve => {
      const timer = setTimeout(() => this.end(), timeoutMs);
      this.waiting = answer => {
        clearTimeout(timer);
        resolve(answer);
      };
      this.socket.write(message, 'latin1');
    });
  }

  private read(chunk: Buffer): void {
    for (const line of this.splitter.read(chunk)) {
      this.lines.push(line);
      if (endsAnswer(line)) {
        const answer = parseAnswer(this.lines);
        this.lines = [];
        this.finish(answer);
      }
    }
  }

  private finish(answer: CallerAnswer): void {
    const {waiting} = this;
    this.waiting = null;
    waiting?.(answer);
  }

  private end(): void {
    this.isClosed = true;
    this.socket.destroy();
    this.finish({kind: 'none'});
  }
}
