// Stand-ins of the platform's store, of its API for promotions and of one
// database group, written after PROTOCOL.md. All of them run in the process of
// the script, on loopback addresses.
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import process from 'node:process';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {URL} from 'node:url';

export const HOST = '127.0.0.1';
const startedAt = process.hrtime.bigint();

/** Milliseconds since the start of the script, on the steady clock. */
export function nowMs() {
  return Number(process.hrtime.bigint() - startedAt) / 1e6;
}

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

const reserved = new Set();

/** Finds the first of `count` adjacent free ports, which are not given again. */
export async function findPorts(count) {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 12_000);
    let isFree = true;
    for (let port = first; port < first + count && isFree; port++) {
      isFree = !reserved.has(port);
      isFree &&= await new Promise(resolve => {
        const server = net.createServer();
        server.once('error', () => resolve(false));
        server.listen(port, HOST, () => server.close(() => resolve(true)));
      });
    }
    if (isFree) {
      for (let port = first; port < first + count; port++) {
        reserved.add(port);
      }
      return first;
    }
  }
}

/** Splits a byte stream into lines that end in CR LF. */
export class Lines {
  rest = '';

  read(chunk) {
    const parts = (this.rest + chunk.toString('latin1')).split('\r\n');
    this.rest = parts.pop();
    return parts;
  }
}

const isSame = (one, other) =>
  one.table === other.table && one.part === other.part && one.key === other.key;

/** The store: tables with conditional transactions and a feed. */
export class Store {
  rows = new Map();
  history = [];
  ver = 0;
  waiters = new Set();
  /** How many times as long as usual the answers take. */
  slowness = 1;
  /** Called with each row that is written or removed. */
  onWrite = () => {};

  async start() {
    this.port = await findPorts(1);
    this.server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () => {
        this.answer(request, response, Buffer.concat(chunks).toString());
      });
      request.on('error', () => {});
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise(resolve => this.server.listen(this.port, HOST, resolve));
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a document, as the operator or an instance does; null removes. */
  put(table, key, document) {
    const name = {table, part: '', key};
    const value =
      document === null
        ? null
        : Buffer.from(JSON.stringify(document)).toString('base64');
    this.apply([{...name, value}]);
  }

  getDocument(table, key) {
    const row = this.rows.get(`${table}//${key}`);
    return row === undefined
      ? null
      : JSON.parse(Buffer.from(row.value, 'base64').toString());
  }

  apply(changes) {
    this.ver++;
    for (const {table, part, key, value} of changes) {
      const name = `${table}/${part}/${key}`;
      const row = {table, part, key, value, ver: this.ver};
      if (value === null) {
        this.rows.delete(name);
        this.history.push({table, part, key, ver: this.ver, tombstone: true});
      } else {
        this.rows.set(name, row);
        this.history.push(row);
      }
      this.onWrite(row);
    }
    for (const wake of [...this.waiters]) {
      wake();
    }
  }

  async answer(request, response, text) {
    const url = new URL(request.url, `http://${HOST}`);
    const send = (status, body) => {
      if (!response.destroyed) {
        response.writeHead(status, {'content-type': 'application/json'});
        response.end(
          JSON.stringify({...body, ver: this.ver, nowMs: Math.round(nowMs())}),
        );
      }
    };
    const table = url.searchParams.get('table');
    switch (`${request.method} ${url.pathname}`) {
      case 'GET /-/rows-get': {
        const from = url.searchParams.get('from') ?? '';
        const limit = Math.min(
          500,
          Number(url.searchParams.get('limit') ?? 500),
        );
        const rows = [...this.rows.values()]
          .filter(
            row => row.table === table && row.part === '' && row.key >= from,
          )
          .sort((one, other) => (one.key < other.key ? -1 : 1));
        await sleep(4 * this.slowness);
        send(200, {rows: rows.slice(0, limit), morePages: rows.length > limit});
        return;
      }
      case 'GET /-/rows-feed': {
        const after = Number(url.searchParams.get('after'));
        const endMs = nowMs() + Number(url.searchParams.get('waitMs') ?? 0);
        const find = () =>
          this.history.filter(row => row.table === table && row.ver > after);
        while (find().length === 0 && nowMs() < endMs) {
          await new Promise(resolve => {
            const wake = () => {
              clearTimeout(timer);
              this.waiters.delete(wake);
              resolve();
            };
            const timer = setTimeout(wake, Math.max(1, endMs - nowMs()));
            this.waiters.add(wake);
          });
        }
        send(200, {rows: find()});
        return;
      }
      case 'POST /-/rows-tx': {
        const {expectedRev = [], puts = [], remove = []} = JSON.parse(text);
        await sleep(5 * this.slowness);
        const current = expectedRev.map(
          name =>
            [...this.rows.values()].find(row => isSame(row, name)) ?? {
              ...name,
              ver: 0,
            },
        );
        if (expectedRev.some(({ver}, index) => current[index].ver !== ver)) {
          send(412, {rows: current});
          return;
        }
        this.apply([...puts, ...remove.map(name => ({...name, value: null}))]);
        send(200, {});
        return;
      }
      default:
        send(404, {});
    }
  }
}

/** Time for which an instance works on a read, a write or a commit. */
const WORK_MS = 4;
/** Time from the receipt of a commit to its application at a replica. */
const APPLY_MS = 60;
const HEARTBEAT_MS = 1_200;
const NETWORK_MS = 1;

/** Sends rows no faster than they are taken. */
async function sendRows(socket, {rowCount, rowBytes}) {
  const perChunk = Math.max(1, Math.floor(65_536 / rowBytes));
  const row = `ROW ${'r'.repeat(rowBytes - 6)}\r\n`;
  for (let sent = 0; sent < rowCount; sent += perChunk) {
    const chunk = row.repeat(Math.min(perChunk, rowCount - sent));
    if (!socket.destroyed && !socket.write(chunk, 'latin1')) {
      await new Promise(resolve => {
        const goOn = () => {
          socket.removeListener('drain', goOn);
          socket.removeListener('close', goOn);
          resolve();
        };
        socket.on('drain', goOn);
        socket.on('close', goOn);
      });
    }
  }
}

/** One instance of the group. */
class Instance {
  sockets = new Set();
  isUp = false;
  state = 'ready';
  sequence = 0;

  constructor(group, id, zone, port) {
    Object.assign(this, {group, id, zone, port});
  }

  /** Starts with a log; an empty one knows nothing of before. */
  async start({log, role, term}) {
    Object.assign(this, {log, role, term, pausedTerm: 0, sequence: 0});
    this.applied = log.length;
    this.pending = [];
    this.born = Date.now();
    this.server = net.createServer(socket => this.serve(socket));
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, HOST, resolve);
    });
    this.isUp = true;
    this.register();
  }

  /** Ends without notice, like a killed process. */
  kill() {
    this.isUp = false;
    this.server.close();
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
    this.sockets.clear();
  }

  register() {
    if (this.isUp) {
      this.heartbeatMs = nowMs();
      this.group.store.put('servers', this.id, {
        backend: this.group.name,
        address: `${HOST}:${this.port}`,
        zone: this.zone,
        version: 'v1',
        capacity: this.group.capacity,
        state: this.state,
        warmupLeftMs: 0,
        dbRole: this.role,
        sequence: this.sequence++,
        born: this.born,
      });
    }
  }

  position(count) {
    return count === 0
      ? `${Math.min(1, this.term)}.0`
      : `${this.log[count - 1].term}.${count}`;
  }

  /** Whether the part of the log that reads see holds a position. */
  covers(text) {
    const [term, count] = text.split('.').map(Number);
    const seen = this.seenCount;
    const seenTerm = seen === 0 ? 0 : this.log[seen - 1].term;
    return (
      seenTerm > term || (seenTerm === term && seen >= count) || count === 0
    );
  }

  get seenCount() {
    return this.role === 'primary' ? this.log.length : this.applied;
  }

  serve(socket) {
    const lines = new Lines();
    const session = {transaction: 'I', writes: [], names: new Map()};
    let tail = Promise.resolve();
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', chunk => {
      for (const line of lines.read(chunk)) {
        tail = tail.then(() => this.handle(socket, session, line));
      }
    });
  }

  async handle(socket, session, line) {
    const [word, first, ...rest] = line.split(' ');
    if (word === 'CONNECT') {
      const expected = rest[1];
      if (first !== this.group.name || (expected ?? this.id) !== this.id) {
        socket.end(`ERROR MOVED ${this.id}\r\n`);
        return;
      }
      await sleep(12);
      socket.write(`READY I ${this.position(this.seenCount)}\r\n`);
      return;
    }
    if (word === 'QUIT') {
      socket.end();
      return;
    }
    const id = first;
    let answer = await this.run(session, id, rest);
    if (!Array.isArray(answer)) {
      await sendRows(socket, answer);
      answer = [answer.complete];
    }
    if (socket.destroyed) {
      return;
    }
    socket.write(
      [
        ...answer,
        `READY ${session.transaction} ${this.position(this.seenCount)}`,
      ]
        .map(text => `${text}\r\n`)
        .join(''),
    );
  }

  async run(session, id, words) {
    let [word, ...rest] = words;
    if (word === 'AFTERLSN') {
      const [position, ...statement] = rest;
      if (!this.covers(position)) {
        return [`ERROR LAGGING ${this.position(this.seenCount)}`];
      }
      [word, ...rest] = statement;
    }
    const complete = `COMPLETE ${id === '-' ? '-' : `${this.id}.${id}`}`;
    switch (word) {
      case 'STATUS':
        break;
      case 'PAUSE':
        if (Number(rest[0]) > this.group.term && this.role === 'replica') {
          this.pausedTerm = Number(rest[0]);
        }
        break;
      case 'RESUME':
        this.pausedTerm = 0;
        break;
      case 'STEPDOWN':
        if (this.role === 'primary' && this.term < Number(rest[0])) {
          this.becomeReplica();
        }
        break;
      case 'BEGIN':
        if (rest[0] !== 'READ' && this.role !== 'primary') {
          return [`ERROR READONLY ${this.id}`];
        }
        session.transaction = 'T';
        session.writes = [];
        return [complete];
      case 'ROLLBACK':
        session.transaction = 'I';
        return [complete];
      case 'SET':
      case 'PREPARE':
      case 'RESET':
        return ['COMPLETE -'];
      case 'READ': {
        await sleep(this.group.getWorkMs(id) ?? WORK_MS);
        const seen = this.log.slice(0, this.seenCount);
        this.group.onRun({id, kind: 'read', instance: this, log: seen});
        const rowSizes = this.group.getRowSizes(rest[0]);
        if (rowSizes !== undefined) {
          return {...rowSizes, complete};
        }
        const commit = seen.findLast(({items}) => items.has(rest[0]));
        return [`ROW ${commit?.items.get(rest[0]) ?? 'none'}`, complete];
      }
      case 'WRITE':
        if (this.role !== 'primary') {
          session.transaction = session.transaction === 'I' ? 'I' : 'E';
          return [`ERROR READONLY ${this.id}`];
        }
        await sleep(this.group.getWorkMs(id) ?? WORK_MS);
        session.writes.push([rest[0], rest.slice(1).join(' ')]);
        if (session.transaction === 'I') {
          return this.commit(session, id, complete);
        }
        return [complete];
      case 'COMMIT':
        await sleep(WORK_MS);
        session.transaction = 'I';
        return session.writes.length === 0
          ? [complete]
          : this.commit(session, id, complete);
      default:
        return ['ERROR MALFORMED statement'];
    }
    const {role, term, pausedTerm, log, sockets} = this;
    return [
      `ROW ${role} ${term} ${this.position(log.length)} ${pausedTerm} 0 0 ${sockets.size}`,
      'COMPLETE -',
    ];
  }

  /** Commits; the answer waits until one replica has received it. */
  commit(session, id, complete) {
    if (this.role !== 'primary' || !this.isUp) {
      return [`ERROR READONLY ${this.id}`];
    }
    const commit = {id, term: this.term, items: new Map(session.writes)};
    session.writes = [];
    this.log.push(commit);
    this.group.onRun({id, kind: 'commit', instance: this});
    const count = this.log.length;
    return new Promise(resolve => {
      this.pending.push({
        count,
        finish: isDone =>
          resolve([isDone ? complete : 'ERROR TIMEOUT replicas']),
      });
      setTimeout(() => this.group.replicate(), NETWORK_MS);
    });
  }

  confirm(count) {
    const done = this.pending.filter(commit => commit.count <= count);
    this.pending = this.pending.filter(commit => commit.count > count);
    for (const {finish} of done) {
      finish(true);
    }
  }

  /** Takes over the log of the primary; commits of its own are rolled back. */
  receive(primary) {
    const source = primary.log;
    while (
      this.log.length > 0 &&
      this.log.at(-1) !== source[this.log.length - 1]
    ) {
      this.log.pop();
    }
    this.applied = Math.min(this.applied, this.log.length);
    this.log.push(...source.slice(this.log.length));
    this.term = primary.term;
    const count = this.log.length;
    setTimeout(() => {
      this.applied = Math.max(this.applied, Math.min(count, this.log.length));
    }, APPLY_MS);
    setTimeout(() => primary.confirm(count), NETWORK_MS);
  }

  becomeReplica() {
    this.role = 'replica';
    this.applied = this.log.length;
    for (const {finish} of this.pending.splice(0)) {
      finish(false);
    }
    this.register();
  }
}

/** The API of the platform for the duty of one node at a time. */
export class Api {
  calls = [];
  /** Called with each call as it is accepted. */
  onCall = () => {};

  async start(groups) {
    this.port = await findPorts(1);
    this.server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () => {
        const {backend, id} = JSON.parse(Buffer.concat(chunks).toString());
        const call = {
          backend,
          id,
          holder: request.headers['lease-holder'],
          token: Number(request.headers['fencing-token']),
          atMs: nowMs(),
        };
        this.calls.push(call);
        this.onCall(call);
        const group = groups.find(({name}) => name === backend);
        response.writeHead(group?.promote(id) ?? 404).end('{}');
      });
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise(resolve => this.server.listen(this.port, HOST, resolve));
  }

  stop() {
    this.server?.closeAllConnections();
    this.server?.close();
  }
}

/** A group of one primary and two replicas. */
export class Group {
  instances = [];
  term = 1;
  capacity = 3;
  promoteMs = 1_000;
  onRun = () => {};
  /** Time of work on a statement, by its id; undefined for the usual time. */
  getWorkMs = () => undefined;
  /** Number and size of the rows of an item; undefined for one usual row. */
  getRowSizes = () => undefined;

  constructor(store, name) {
    Object.assign(this, {store, name});
  }

  async start(zones) {
    for (const [index, zone] of zones.entries()) {
      const id = `i-${Math.random().toString(16).slice(2, 10)}`;
      const instance = new Instance(this, id, zone, await findPorts(1));
      await instance.start({
        log: [],
        role: index === 0 ? 'primary' : 'replica',
        term: 1,
      });
      this.instances.push(instance);
    }
    this.timers = [
      setInterval(() => this.replicate(), 50),
      setInterval(() => this.beat(), HEARTBEAT_MS),
    ];
  }

  stop() {
    this.timers?.forEach(timer => clearInterval(timer));
    this.instances.filter(({isUp}) => isUp).forEach(one => one.kill());
  }

  /** The running primary of the newest term, or undefined. */
  get primary() {
    return this.instances.find(
      ({isUp, role, term}) => isUp && role === 'primary' && term === this.term,
    );
  }

  beat() {
    for (const instance of this.instances) {
      instance.register();
      if (!instance.isUp && nowMs() - instance.heartbeatMs > 3 * HEARTBEAT_MS) {
        this.store.put('servers', instance.id, null);
        instance.heartbeatMs = Number.POSITIVE_INFINITY;
      }
    }
  }

  replicate() {
    const {primary} = this;
    for (const instance of this.instances) {
      const isFollowing =
        instance.isUp &&
        instance.role === 'replica' &&
        instance.pausedTerm === 0;
      if (primary !== undefined && isFollowing) {
        const isBehind = instance.log.at(-1) !== primary.log.at(-1);
        if (isBehind || instance.term !== primary.term) {
          instance.receive(primary);
        }
      }
    }
  }

  promote(id) {
    const target = this.instances.find(one => one.id === id && one.isUp);
    if (target === undefined) {
      return 409;
    }
    if (target !== this.primary) {
      setTimeout(() => this.lead(target), this.promoteMs);
    }
    return 200;
  }

  lead(target) {
    if (!target.isUp || target === this.primary) {
      return;
    }
    const old = this.primary;
    this.term++;
    Object.assign(target, {role: 'primary', term: this.term, pausedTerm: 0});
    target.register();
    for (const instance of this.instances) {
      instance.pausedTerm = 0;
    }
    this.onLead?.(target);
    setTimeout(() => old?.role === 'primary' && old.becomeReplica(), 1_000);
  }
}
