/**
 * Stand-in of a service: a primary and its replicas that speak the line
 * protocol, keep a log, replicate it and register themselves in the store.
 */
import net from 'node:net';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {HOST, readLines} from './net.mjs';

const HEARTBEAT_MS = 1_200;
/** One way between two instances. */
const NETWORK_MS = 1;
/** Delay after which a replica applies what it has received. */
const APPLY_MS = 60;
/** Time that an instance works on a statement, unless a script says more. */
const WORK_MS = 3;
/** Time until a promote takes effect, unless a script says more. */
const PROMOTE_MS = 300;
const SLOTS = 8;

function later(delayMs, action) {
  setTimeout(action, delayMs);
}

/** One instance. Its log is a list of commits, each with its term. */
export class Instance {
  log = [];
  /** Number of commits of the log that reads see. */
  applied = 0;
  term = 1;
  heldTerm = 0;
  isAlive = false;
  sequence = 0;
  sockets = new Set();
  born = Date.now();

  constructor(group, id, zone, role) {
    Object.assign(this, {group, id, zone, role});
  }

  async start(port = 0) {
    this.server = net.createServer(socket => this.serve(socket));
    await new Promise(resolve => this.server.listen(port, HOST, resolve));
    this.port = this.server.address().port;
    this.isAlive = true;
    this.register();
    this.timer = setInterval(() => this.register(), HEARTBEAT_MS);
  }

  /** Ends like a killed process; nothing is reported. */
  crash() {
    this.isAlive = false;
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  /** Comes back at its address with its log, as a replica if one leads now. */
  async restart() {
    this.born = Date.now();
    this.sequence = 0;
    this.heldTerm = 0;
    if (this.term < this.group.newestTerm) {
      this.role = 'replica';
    }
    await this.start(this.port);
  }

  register() {
    const {store, service} = this.group;
    store.put('servers', this.id, {
      backend: service,
      address: `${HOST}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      capacity: SLOTS,
      state: 'ready',
      warmupLeftMs: 0,
      dbRole: this.role,
      sequence: this.sequence++,
      born: this.born,
    });
  }

  get position() {
    const last = this.log.at(-1);
    return {term: last?.term ?? this.term, number: this.log.length};
  }

  positionText(count = this.log.length) {
    const last = this.log[count - 1];
    return `${last?.term ?? 1}.${count}`;
  }

  serve(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
    const session = {
      state: 'I',
      writes: [],
      values: new Map(),
      prepared: new Map(),
      isGreeted: false,
    };
    const queue = [];
    let isBusy = false;
    const next = () => {
      const line = queue.shift();
      if (line === undefined || socket.destroyed) {
        isBusy = false;
        return;
      }
      isBusy = true;
      this.handle(session, line, lines => {
        if (!socket.destroyed) {
          socket.write(`${lines.join('\r\n')}\r\n`, 'latin1');
        }
        next();
      });
    };
    readLines(socket, line => {
      queue.push(line);
      if (!isBusy) {
        next();
      }
    });
  }

  handle(session, line, reply) {
    const [word, ...fields] = line.split(' ');
    if (word === 'CONNECT') {
      const [service, , expectedId] = fields;
      const isExpected =
        service === this.group.service &&
        (expectedId === undefined || expectedId === this.id);
      reply([
        isExpected
          ? `READY I ${this.positionText()}`
          : `ERROR MOVED ${this.id}`,
      ]);
      return;
    }
    const [id, ...rest] = fields;
    if (id !== '-') {
      this.group.arrivals.set(id, this.id);
    }
    const finish = result =>
      reply([...result, `READY ${session.state} ${this.readyPosition()}`]);
    later(id === '-' ? 0 : this.group.workMs, () => {
      if (this.isAlive) {
        this.run(session, id, rest.join(' '), finish);
      }
    });
  }

  readyPosition() {
    return this.role === 'primary'
      ? this.positionText()
      : this.positionText(this.applied);
  }

  run(session, id, text, finish) {
    const [word, rest] = splitWord(text);
    if (id !== '-') {
      this.group.recordRun(this, id, text);
    }
    const signature = id === '-' ? '-' : `${this.id}.${id}`;
    const complete = [`COMPLETE ${signature}`];
    switch (word) {
      case 'AFTERLSN': {
        const [position, statement] = splitWord(rest);
        if (this.covers(position)) {
          this.run(session, id, statement, finish);
        } else {
          finish([`ERROR LAGGING ${this.readyPosition()}`]);
        }
        return;
      }
      case 'BEGIN':
        if (this.role !== 'primary' && rest !== 'READ') {
          finish([`ERROR READONLY ${this.id}`]);
          return;
        }
        session.state = 'T';
        finish(complete);
        return;
      case 'READ':
        finish([`ROW ${this.read(rest)}`, ...complete]);
        return;
      case 'WRITE':
        this.write(session, id, splitWord(rest), signature, finish);
        return;
      case 'EXECUTE':
        this.execute(session, id, rest, signature, finish);
        return;
      case 'COMMIT':
        session.state = 'I';
        this.commit(session, id, signature, finish);
        return;
      case 'ROLLBACK':
        session.state = 'I';
        session.writes = [];
        finish(complete);
        return;
      case 'SET': {
        const [name, value] = splitWord(rest);
        session.values.set(name, value);
        finish(complete);
        return;
      }
      case 'RESET':
        session.values.clear();
        session.prepared.clear();
        finish(complete);
        return;
      case 'PREPARE': {
        const [name, definition] = splitWord(rest);
        const [access, shape] = splitWord(definition);
        if (!['READ', 'WRITE'].includes(access) || shape === '') {
          finish(['ERROR MALFORMED PREPARE']);
          return;
        }
        session.prepared.set(name, {access, shape});
        finish(complete);
        return;
      }
      case 'STATUS':
      case 'PAUSE':
      case 'RESUME':
      case 'STEPDOWN':
        this.control(word, Number(rest));
        finish([this.statusRow(), 'COMPLETE -']);
        return;
      default:
        finish(['ERROR MALFORMED statement']);
    }
  }

  covers(position) {
    const [term, number] = position.split('.').map(Number);
    const count = this.role === 'primary' ? this.log.length : this.applied;
    const last = this.log[count - 1];
    return (last?.term ?? 1) > term || (count >= number && this.term >= term);
  }

  read(item) {
    const seen = this.role === 'primary' ? this.log.length : this.applied;
    for (let index = seen - 1; index >= 0; index--) {
      const write = this.log[index].writes.find(entry => entry.item === item);
      if (write !== undefined) {
        return write.data;
      }
    }
    return '-';
  }

  execute(session, id, text, signature, finish) {
    const [name, argument] = splitWord(text);
    const prepared = session.prepared.get(name);
    if (prepared === undefined) {
      finish([`ERROR UNKNOWN ${name}`]);
      return;
    }
    this.group.recordExecution(this, id, prepared, argument);
    if (prepared.access === 'WRITE') {
      this.write(session, id, splitWord(argument), signature, finish);
      return;
    }
    finish([`ROW ${this.read(argument)}`, `COMPLETE ${signature}`]);
  }

  write(session, id, [item, data], signature, finish) {
    if (this.role !== 'primary') {
      finish([`ERROR READONLY ${this.id}`]);
      return;
    }
    session.writes.push({item, data});
    if (session.state === 'T') {
      finish([`COMPLETE ${signature}`]);
    } else {
      this.commit(session, id, signature, finish);
    }
  }

  /** Acknowledges a commit once one replica has received it. */
  commit(session, id, signature, finish) {
    const {writes} = session;
    session.writes = [];
    if (writes.length === 0) {
      finish([`COMPLETE ${signature}`]);
      return;
    }
    if (this.role !== 'primary') {
      finish([`ERROR READONLY ${this.id}`]);
      return;
    }
    this.log.push({term: this.term, writes, id});
    const {length} = this.log;
    this.acknowledge = [...(this.acknowledge ?? []), {length, finish, id}];
    this.acknowledge.at(-1).signature = signature;
    later(NETWORK_MS, () => this.replicate());
  }

  replicate() {
    if (!this.isAlive || this.role !== 'primary') {
      return;
    }
    let received = 0;
    for (const replica of this.group.replicasOf(this)) {
      replica.receive(this);
      received = Math.max(received, replica.log.length);
    }
    later(NETWORK_MS, () => this.finishCommits(received));
  }

  finishCommits(received) {
    const waiting = this.acknowledge ?? [];
    this.acknowledge = waiting.filter(({length}) => length > received);
    for (const {length, finish, id, signature} of waiting) {
      if (length <= received) {
        this.group.recordCommit(this, id, `${this.term}.${length}`);
        finish([`COMPLETE ${signature}`]);
      }
    }
  }

  receive(primary) {
    this.log = primary.log.slice();
    this.term = primary.term;
    const {length} = this.log;
    // A replica that was ahead of the new primary is rolled back.
    this.applied = Math.min(this.applied, length);
    later(APPLY_MS, () => {
      this.applied = Math.min(this.log.length, Math.max(this.applied, length));
    });
  }

  control(word, term) {
    const newest = this.group.newestTerm;
    if (word === 'PAUSE' && term > newest && this.role === 'replica') {
      this.heldTerm = term;
    }
    if (word === 'RESUME') {
      this.heldTerm = 0;
    }
    if (word === 'STEPDOWN' && term > this.term && this.role === 'primary') {
      this.becomeReplica();
    }
  }

  becomeReplica() {
    this.role = 'replica';
    this.applied = this.log.length;
    this.failCommits();
    this.register();
  }

  failCommits() {
    for (const {finish} of this.acknowledge ?? []) {
      finish(['ERROR TIMEOUT replicas']);
    }
    this.acknowledge = [];
  }

  becomePrimary(term) {
    this.term = term;
    this.role = 'primary';
    this.applied = this.log.length;
    this.heldTerm = 0;
    this.register();
  }

  statusRow() {
    return `ROW ${this.role} ${this.term} ${this.positionText()} ${this.heldTerm} 0 0 ${this.sockets.size}`;
  }
}

export class Group {
  instances = [];
  workMs = WORK_MS;
  promoteMs = PROMOTE_MS;
  newestTerm = 1;
  /** The instance that each statement of a caller has reached, by its id. */
  arrivals = new Map();
  /** Everything that an instance ran for a caller, in order. */
  runs = [];
  executions = [];
  commits = [];

  constructor(store, service) {
    Object.assign(this, {store, service});
  }

  async start(zones) {
    for (const [index, zone] of zones.entries()) {
      const role = index === 0 ? 'primary' : 'replica';
      const instance = new Instance(this, `i-${index + 1}`, zone, role);
      this.instances.push(instance);
      await instance.start();
    }
  }

  stop() {
    for (const instance of this.instances) {
      if (instance.isAlive) {
        instance.crash();
      }
    }
  }

  /** Live instances that receive the log of a primary. */
  replicasOf(primary) {
    return primary.term < this.newestTerm
      ? []
      : this.instances.filter(
          other =>
            other !== primary &&
            other.isAlive &&
            other.role === 'replica' &&
            other.heldTerm <= this.newestTerm,
        );
  }

  /** Handles the platform's promote call; returns its status. */
  promote({id}) {
    const target = this.instances.find(instance => instance.id === id);
    if (target === undefined || !target.isAlive) {
      return 409;
    }
    if (target.role === 'primary' && target.term === this.newestTerm) {
      return 200;
    }
    later(this.promoteMs, () => this.applyPromotion(target));
    return 200;
  }

  applyPromotion(target) {
    const isLeading =
      target.role === 'primary' && target.term === this.newestTerm;
    if (!target.isAlive || isLeading) {
      return;
    }
    this.newestTerm++;
    target.becomePrimary(this.newestTerm);
    for (const other of this.instances) {
      if (other === target || !other.isAlive) {
        continue;
      }
      other.heldTerm = 0;
      if (other.role === 'replica') {
        other.receive(target);
      } else {
        later(1_000, () => other.becomeReplica());
      }
    }
  }

  recordRun(instance, id, text) {
    this.runs.push({atMs: Date.now(), instance: instance.id, id, text});
  }

  recordExecution(instance, id, {access, shape}, argument) {
    const entry = {instance: instance.id, id, access, shape, argument};
    this.executions.push(entry);
  }

  recordCommit(instance, id, position) {
    this.commits.push({instance: instance.id, id, position});
  }
}

function splitWord(text) {
  const end = text.indexOf(' ');
  return end < 0 ? [text, ''] : [text.slice(0, end), text.slice(end + 1)];
}
