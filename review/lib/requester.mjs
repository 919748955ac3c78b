/** A requester's session in the line protocol. */
import {randomBytes} from 'node:crypto';
import net from 'node:net';
import {clearTimeout, setTimeout} from 'node:timers';
import {HOST, readLines} from './net.mjs';

const ANSWER_TIMEOUT_MS = 5_000;

export class Session {
  isOpen = true;
  waiting = null;
  lines = [];

  /** Opens a session; null if it is not accepted. */
  static async open(port, database) {
    const socket = net.connect({host: HOST, port, noDelay: true});
    const session = new Session(socket);
    const answer = await session.exchange(`CONNECT ${database} u1`);
    return answer?.at(-1)?.startsWith('READY') ? session : null;
  }

  constructor(socket) {
    this.socket = socket;
    socket.on('error', () => this.end());
    socket.on('close', () => this.end());
    readLines(socket, line => {
      this.lines.push(line);
      if (line.startsWith('READY')) {
        this.finish(this.lines.splice(0));
      }
    });
  }

  /** Sends a statement; its answer is null if none came. */
  async query(text) {
    const id = randomBytes(8).toString('hex');
    const lines = await this.exchange(`QUERY ${id} ${text}`);
    if (lines === null) {
      return {id, isOk: false, signature: null, rows: [], error: 'no answer'};
    }
    const complete = lines.find(line => line.startsWith('COMPLETE'));
    const error = lines.find(line => line.startsWith('ERROR')) ?? null;
    return {
      id,
      isOk: complete !== undefined,
      signature: complete?.slice('COMPLETE '.length) ?? null,
      rows: lines
        .filter(line => line.startsWith('ROW '))
        .map(line => line.slice('ROW '.length)),
      error,
    };
  }

  close() {
    this.socket.destroy();
  }

  exchange(line) {
    if (!this.isOpen) {
      return Promise.resolve(null);
    }
    return new Promise(resolve => {
      const timer = setTimeout(() => this.finish(null), ANSWER_TIMEOUT_MS);
      this.waiting = answer => {
        clearTimeout(timer);
        resolve(answer);
      };
      this.socket.write(`${line}\r\n`, 'latin1');
    });
  }

  finish(answer) {
    const {waiting} = this;
    this.waiting = null;
    waiting?.(answer);
  }

  end() {
    this.isOpen = false;
    this.finish(null);
  }
}
