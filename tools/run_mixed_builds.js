/**
 * Compatibility test of two builds. Runs proxies of both builds on one store
 * and one set of instances and checks that they work as one deployment: a proxy
 * of one build follows a zone reader of the other, failover leadership moves
 * between the builds, either build replaces a primary, they exchange freshness
 * bounds and contact, and each build continues on the records of the other.
 *
 * node tools/run_mixed_builds.js OLD_BUNDLE NEW_BUNDLE LOG_FOLDER
 *
 * A bundle is target/filbertrun_proxy.mjs of a checkout. The store and the
 * instances are small stand-ins in this process, on loopback addresses.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {mkdirSync, mkdtempSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL} from 'node:url';
import {isDeepStrictEqual} from 'node:util';

const STORE_HOST = '127.0.2.1';
const INSTANCE_HOST = '127.0.3.1';
const CALLER_PORT = 8784;
const READY_PORT = 8785;
const PEER_PORT = 7440;
const GROUP = 'group1';
const DATABASE = 'bookings';
const SESSION_DATABASE = 'boards';
const AGE_DATABASE = 'timetables';
/** Paths of the fields that the new build adds to responses, by procedure. */
const ADDED_FIELDS = {
  followZone: ['.configurationLeadMs: number'],
};

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Duration of a promotion. */
const PROMOTE_MS = 200;

/** Age that reads of the bounded-staleness route accept. */
const MAX_STALENESS_MS = 5_000;

/** Interval at which instances renew their entries in the store. */
const HEARTBEAT_MS = 500;

/** Timeout of `waitFor`. */
const CONDITION_TIMEOUT_MS = 30_000;

const POLL_INTERVAL_MS = 50;

async function waitFor(description, isMet) {
  const endMs = Date.now() + CONDITION_TIMEOUT_MS;
  while (Date.now() < endMs) {
    if (await isMet()) {
      return;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`timed out waiting for: ${description}`);
}

/** Reads the body of an HTTP request. */
async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Calls `handleLine` for each line that arrives in chunks. */
function createLineReader(separator, handleLine) {
  let rest = '';
  return chunk => {
    const lines = (rest + chunk.toString('latin1')).split(separator);
    rest = lines.pop();
    for (const line of lines) {
      handleLine(line);
    }
  };
}

/** Adds the paths of all fields of a value, but for null, to a set. */
function collectFieldPaths(value, path, paths) {
  if (value === null || value === undefined) {
    return;
  }
  if (Array.isArray(value)) {
    for (const item of value) {
      collectFieldPaths(item, `${path}[]`, paths);
    }
    return;
  }
  if (typeof value !== 'object') {
    paths.add(`${path}: ${typeof value}`);
    return;
  }
  for (const [name, field] of Object.entries(value)) {
    collectFieldPaths(field, `${path}.${name}`, paths);
  }
}

/** Stand-in of the store: versioned rows, transactions and a feed. */
class Store {
  rows = new Map();
  version = 0;
  isDown = false;
  waiting = new Set();
  server = http.createServer((request, response) => {
    void this.respond(request, response);
  });

  async start() {
    await new Promise(done => {
      this.server.listen(0, STORE_HOST, done);
    });
    return this.server.address().port;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  put(table, key, value) {
    this.version++;
    this.rows.set(`${table}\n${key}`, {
      table,
      part: '',
      key,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
      ver: this.version,
    });
    this.notifyWaiting();
  }

  notifyWaiting() {
    for (const resume of this.waiting) {
      resume();
    }
  }

  async respond(request, response) {
    const text = await readBody(request);
    if (this.isDown) {
      response.writeHead(503).end();
      return;
    }
    const url = new URL(request.url, 'http://store');
    const {status, body} = await this.execute(url, text);
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  }

  getState() {
    return {ver: this.version, nowMs: performance.now()};
  }

  async execute(url, text) {
    const table = url.searchParams.get('table');
    const list = () => [...this.rows.values()].filter(r => r.table === table);
    switch (url.pathname) {
      case '/-/rows-get': {
        const rows = list().filter(({tombstone}) => !tombstone);
        const body = {rows, morePages: false, ...this.getState()};
        return {status: 200, body};
      }
      case '/-/rows-feed': {
        const after = Number(url.searchParams.get('after'));
        const endMs = Date.now() + Number(url.searchParams.get('waitMs'));
        const find = () => list().filter(({ver}) => ver > after);
        while (find().length === 0 && Date.now() < endMs) {
          await this.waitForChange(endMs - Date.now());
        }
        return {status: 200, body: {rows: find(), ...this.getState()}};
      }
      case '/-/rows-tx':
        return this.change(JSON.parse(text));
      default:
        return {status: 404, body: {}};
    }
  }

  waitForChange(waitMs) {
    return new Promise(done => {
      const resume = () => {
        clearTimeout(timer);
        this.waiting.delete(resume);
        done();
      };
      const timer = setTimeout(resume, waitMs);
      this.waiting.add(resume);
    });
  }

  change({expectedRev = [], puts = [], remove = []}) {
    const find = row => {
      const found = this.rows.get(`${row.table}\n${row.key}`);
      return found === undefined || found.tombstone ? undefined : found;
    };
    const current = expectedRev.map(row => find(row) ?? {...row, ver: 0});
    if (expectedRev.some(({ver}, index) => current[index].ver !== ver)) {
      return {status: 412, body: {rows: current}};
    }
    this.version++;
    for (const row of puts) {
      this.rows.set(`${row.table}\n${row.key}`, {...row, ver: this.version});
    }
    for (const row of remove) {
      const tombstone = {...row, ver: this.version, tombstone: true};
      this.rows.set(`${row.table}\n${row.key}`, tombstone);
    }
    this.notifyWaiting();
    return {status: 200, body: {ver: this.version}};
  }
}

/** Stand-in of a group member with synchronous replication. */
class Instance {
  items = new Map();
  term = 1;
  position = 0;
  pausedTerm = 0;
  isAlive = false;
  sockets = new Set();
  /** Proxies whose connections are refused. */
  refusedProxies = new Set();

  constructor(name, zone, role, group) {
    this.name = name;
    this.zone = zone;
    this.role = role;
    this.group = group;
  }

  async start(port = 0) {
    this.server = net.createServer(socket => this.serve(socket));
    await new Promise(done => {
      this.server.listen(port, INSTANCE_HOST, done);
    });
    this.port = this.server.address().port;
    this.isAlive = true;
  }

  crash() {
    this.isAlive = false;
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  register(store) {
    if (!this.isAlive) {
      return;
    }
    store.put('servers', this.name, {
      backend: GROUP,
      address: `${INSTANCE_HOST}:${this.port}`,
      zone: this.zone,
      version: '1',
      capacity: 8,
      state: 'ready',
      warmupLeftMs: 0,
      dbRole: this.role,
      sequence: store.version,
    });
  }

  serve(socket) {
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
    const session = {state: 'I', writes: []};
    socket.on(
      'data',
      createLineReader('\r\n', line => {
        socket.write(this.handle(session, line));
      }),
    );
  }

  handle(session, line) {
    const [word, id, ...text] = line.split(' ');
    const ready = () => `READY ${session.state} ${this.term}.${this.position}`;
    if (word === 'CONNECT') {
      const [proxyName] = text;
      return this.refusedProxies.has(proxyName)
        ? `ERROR MAXCONN ${this.name}\r\n`
        : `${ready()}\r\n`;
    }
    const lines = this.run(session, id, text);
    return [...lines, ready(), ''].join('\r\n');
  }

  run(session, id, [word, ...fields]) {
    const complete = [`COMPLETE ${id === '-' ? '-' : `sig.${id}`}`];
    switch (word) {
      case 'AFTERLSN': {
        const [position, ...text] = fields;
        const [term, number] = position.split('.').map(Number);
        const isCovered =
          term < this.term || (term === this.term && number <= this.position);
        return isCovered
          ? this.run(session, id, text)
          : [`ERROR LAGGING ${this.term}.${this.position}`];
      }
      case 'BEGIN':
        session.state = 'T';
        return complete;
      case 'READ':
        return [`ROW ${this.items.get(fields[0]) ?? '-'}`, ...complete];
      case 'WRITE':
        if (this.role !== 'primary') {
          return [`ERROR READONLY ${this.name}`];
        }
        session.writes.push(fields);
        return session.state === 'T' || this.commit(session)
          ? complete
          : ['ERROR TIMEOUT replicas'];
      case 'COMMIT':
        session.state = 'I';
        return this.commit(session) ? complete : ['ERROR TIMEOUT replicas'];
      case 'ROLLBACK':
        session.writes = [];
        session.state = 'I';
        return complete;
      case 'PAUSE':
        this.pausedTerm = Math.max(this.pausedTerm, Number(fields[0]));
        return this.describe();
      case 'STEPDOWN':
        if (Number(fields[0]) > this.term) {
          this.role = 'replica';
        }
        return this.describe();
      case 'STATUS':
        return this.describe();
      default:
        return complete;
    }
  }

  describe() {
    const position = `${this.term}.${this.position}`;
    const row = `${this.role} ${this.term} ${position} ${this.pausedTerm} 0 0 1`;
    return [`ROW ${row}`, 'COMPLETE -'];
  }

  /** Commits on the primary and on every replica that receives its log. */
  commit(session) {
    const {writes} = session;
    session.writes = [];
    if (writes.length === 0) {
      return true;
    }
    const replicas = this.group.filter(
      other =>
        other !== this &&
        other.isAlive &&
        other.term === this.term &&
        other.pausedTerm <= this.term,
    );
    if (replicas.length === 0 || this.role !== 'primary') {
      return false;
    }
    this.position++;
    for (const member of [this, ...replicas]) {
      member.position = this.position;
      for (const [item, ...data] of writes) {
        member.items.set(item, data.join(' '));
      }
    }
    return true;
  }

  becomePrimary() {
    this.role = 'primary';
    this.term = Math.max(...this.group.map(({term}) => term)) + 1;
    this.pausedTerm = 0;
    for (const other of this.group) {
      if (other !== this && other.isAlive) {
        other.becomeReplicaOf(this);
      }
    }
  }

  becomeReplicaOf(primary) {
    this.role = 'replica';
    this.term = primary.term;
    this.position = primary.position;
    this.pausedTerm = 0;
    this.items = new Map(primary.items);
  }
}

/** A proxy process of one build, with the events that it logged. */
class Proxy {
  events = [];
  child = null;

  constructor(options) {
    Object.assign(this, options);
    this.settingsFile = path.join(this.folder, `${this.name}.json`);
  }

  start(bundle, build) {
    this.build = build;
    this.events = [];
    writeFileSync(this.settingsFile, JSON.stringify(this.describe()));
    this.child = spawn(process.execPath, [bundle], {
      env: {...process.env, FILBERTRUN_SETTINGS: this.settingsFile},
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.child.stdout.on(
      'data',
      createLineReader('\n', line => {
        this.logLines.push(line);
        this.events.push(JSON.parse(line));
      }),
    );
  }

  describe() {
    return {
      nodeName: this.name,
      ip: this.host,
      zone: this.zone,
      listen: {
        frontend: `${this.host}:${CALLER_PORT}`,
        ready: `${this.host}:${READY_PORT}`,
      },
      internalPorts: [PEER_PORT, PEER_PORT + 10],
      bounds: {graceS: 3, drainMs: 3_000, configApplyMs: 3_000},
      platform: {address: `${STORE_HOST}:${this.storePort}`},
      cloudApi: {address: `${STORE_HOST}:${this.promotePort}`},
    };
  }

  async stop() {
    const ended = new Promise(done => this.child.once('exit', done));
    this.child.kill('SIGTERM');
    await ended;
    this.child = null;
  }

  get isRunning() {
    return this.child !== null;
  }

  count(kind) {
    return this.events.filter(({event}) => event === kind).length;
  }

  async isReady() {
    try {
      const response = await globalThis.fetch(
        `http://${this.host}:${READY_PORT}/-/readyz`,
      );
      return response.status === 200;
    } catch {
      return false;
    }
  }

  async getGauge(name) {
    const response = await globalThis.fetch(
      `http://${this.host}:${PEER_PORT + 1}/metrics`,
    );
    const line = (await response.text())
      .split('\n')
      .find(each => each.startsWith(`${name} `));
    return line === undefined ? null : Number(line.split(' ')[1]);
  }

  /** Calls a procedure of the peer port; fails unless it succeeds. */
  async callPeerPort(procedure, input) {
    const query =
      input === undefined
        ? ''
        : `?input=${encodeURIComponent(JSON.stringify(input))}`;
    const response = await globalThis.fetch(
      `http://${this.host}:${PEER_PORT}/${procedure}${query}`,
    );
    const body = await response.json();
    if (!response.ok) {
      throw new Error(`${procedure}: ${JSON.stringify(body)}`);
    }
    return body.result.data;
  }

  /** Runs statements in one session; returns the lines of each response. */
  async run(database, statements) {
    const socket = net.connect(CALLER_PORT, this.host);
    const lines = [];
    let resume = () => {};
    socket.on('error', () => socket.destroy());
    socket.on('close', () => resume());
    socket.on(
      'data',
      createLineReader('\r\n', line => {
        lines.push(line);
        resume();
      }),
    );
    const readAnswer = async () => {
      const answer = [];
      for (;;) {
        while (lines.length === 0) {
          if (socket.destroyed) {
            return [...answer, 'CLOSED'];
          }
          await new Promise(done => {
            resume = done;
          });
        }
        answer.push(lines.shift());
        if (answer.at(-1).startsWith('READY')) {
          return answer;
        }
      }
    };
    socket.write(`CONNECT ${database} caller1\r\n`);
    await readAnswer();
    const answers = [];
    for (const statement of statements) {
      const id = `q${Math.random().toString(16).slice(2)}`;
      socket.write(`QUERY ${id} ${statement}\r\n`);
      answers.push(await readAnswer());
    }
    socket.destroy();
    return answers;
  }
}

/** A deployment of proxies in zones, with counts of what was observed. */
class Deployment {
  observations = new Map();
  logLines = [];

  constructor(bundles) {
    this.bundles = bundles;
  }

  async start(layout) {
    this.folder = mkdtempSync(path.join(os.tmpdir(), 'filbertrun-mixed-'));
    this.store = new Store();
    this.storePort = await this.store.start();
    this.instances = [];
    for (const [index, zone] of ZONES.entries()) {
      const role = index === 0 ? 'primary' : 'replica';
      const name = `i-${index}`;
      this.instances.push(new Instance(name, zone, role, this.instances));
    }
    for (const instance of this.instances) {
      await instance.start();
    }
    this.heartbeat = setInterval(() => this.register(), HEARTBEAT_MS);
    this.register();
    this.store.put('op', 'config', {
      version: 3,
      routes: [
        createRoute(DATABASE, 'primary'),
        createRoute(SESSION_DATABASE, 'read_your_writes'),
        {
          ...createRoute(AGE_DATABASE, 'bounded_staleness'),
          maxStalenessMs: MAX_STALENESS_MS,
        },
      ],
      backends: [{name: GROUP, maxConns: 60, syncReplicas: 1}],
      limits: {txIdleMs: 3_000},
    });
    this.promoter = http.createServer((request, response) => {
      void this.promote(request, response);
    });
    await new Promise(done => {
      this.promoter.listen(0, STORE_HOST, done);
    });
    this.proxies = layout.map(([zone, build], index) => {
      const proxy = new Proxy({
        name: `edge-${zone}-${index}`,
        host: `127.0.1.${index + 1}`,
        zone,
        folder: this.folder,
        storePort: this.storePort,
        promotePort: this.promoter.address().port,
        logLines: this.logLines,
      });
      proxy.start(this.bundles[build], build);
      return proxy;
    });
    await this.waitUntilReady();
  }

  register() {
    for (const instance of this.instances) {
      instance.register(this.store);
    }
  }

  async promote(request, response) {
    const {id} = JSON.parse(await readBody(request));
    response.writeHead(200).end('{}');
    await sleep(PROMOTE_MS);
    this.instances.find(({name}) => name === id).becomePrimary();
    this.register();
  }

  get running() {
    return this.proxies.filter(({isRunning}) => isRunning);
  }

  waitUntilReady() {
    return waitFor('all proxies are ready', async () => {
      const states = await Promise.all(this.running.map(p => p.isReady()));
      return states.every(isReady => isReady);
    });
  }

  /** Counts an observation; its text names the builds that took part. */
  recordObservation(observation) {
    this.observations.set(
      observation,
      (this.observations.get(observation) ?? 0) + 1,
    );
  }

  getBuild(entryVm) {
    return this.proxies.find(({name}) => name === entryVm)?.build ?? '?';
  }

  getLeader() {
    const leaders = this.running.filter(
      proxy => proxy.count('dutyGained') > proxy.count('dutyLost'),
    );
    return leaders.length === 1 ? leaders[0] : null;
  }

  /** Writes through each proxy and reads the value through all proxies. */
  async exchangeStatements(label) {
    for (const writer of this.running) {
      const value = `${label}-${writer.name}`;
      await waitFor(`a write through ${writer.name}`, async () => {
        const [answer] = await writer.run(DATABASE, [`WRITE x ${value}`]);
        return answer[0]?.startsWith('COMPLETE');
      });
      for (const reader of this.running) {
        await waitFor(`a read through ${reader.name}`, async () => {
          const [answer] = await reader.run(DATABASE, ['READ x']);
          if (answer[0]?.startsWith('ROW') && answer[0] !== `ROW ${value}`) {
            throw new Error(`stale: ${answer[0]} instead of ${value}`);
          }
          return answer[0] === `ROW ${value}`;
        });
        const [answer] = await reader.run(SESSION_DATABASE, [
          `WRITE y ${value}`,
        ]);
        if (!answer[0]?.startsWith('COMPLETE')) {
          this.recordObservation(`session write refused: ${answer[0]}`);
        }
        this.recordObservation(
          `written by ${writer.build}, read by ${reader.build}`,
        );
      }
    }
  }

  recordZoneReaders() {
    for (const proxy of this.running) {
      const chosen = proxy.events.filter(e => e.event === 'zoneReaderChosen');
      const reader = chosen.at(-1)?.reader;
      if (reader !== undefined && reader !== proxy.name) {
        this.recordObservation(
          `${proxy.build} follows ${this.getBuild(reader)}`,
        );
      }
    }
  }

  recordFreshnessExchange(proxy) {
    for (const event of proxy.events) {
      if (event.event === 'freshnessLearned') {
        const build = this.getBuild(event.entryVm);
        this.recordObservation(
          `${proxy.build} learned a freshness bound from ${build}`,
        );
      }
    }
  }

  findPrimary() {
    return this.instances.find(
      ({role, isAlive}) => role === 'primary' && isAlive,
    );
  }

  async replacePrimary() {
    const oldPrimary = this.findPrimary();
    const before = new Map(
      this.running.map(p => [p, p.count('changeCompleted')]),
    );
    const findChanger = () =>
      this.running.find(p => p.count('changeCompleted') > before.get(p));
    oldPrimary.crash();
    await waitFor('the primary is replaced', async () => {
      await Promise.all(
        this.running.map(p => p.run(DATABASE, ['WRITE z 1', 'READ z'])),
      );
      return findChanger() !== undefined;
    });
    this.recordObservation(`primary replaced by ${findChanger().build}`);
    await oldPrimary.start(oldPrimary.port);
    oldPrimary.becomeReplicaOf(this.findPrimary());
  }

  /**
   * Restarts each proxy while the primary refuses its connections, so that it
   * has to ask another proxy for a freshness bound.
   */
  async learnFreshness() {
    const primary = this.findPrimary();
    for (const proxy of this.proxies) {
      await proxy.stop();
      primary.refusedProxies.add(proxy.name);
      proxy.start(this.bundles[proxy.build], proxy.build);
      await waitFor(`${proxy.name} learns a freshness bound`, async () => {
        if (!(await proxy.isReady())) {
          return false;
        }
        await proxy.run(AGE_DATABASE, ['READ x']);
        return proxy.count('freshnessLearned') > 0;
      });
      primary.refusedProxies.delete(proxy.name);
      this.recordFreshnessExchange(proxy);
    }
  }

  /**
   * Requires that both builds respond with the same fields, at least one, to
   * each kind of read between proxies, except for the fields that the new build
   * is known to add. Those have to be there.
   */
  async compareResponses() {
    const requests = {
      compareRecords: undefined,
      askPosition: {databaseGroup: GROUP},
      askReach: {backendServer: this.instances[0].name},
      listControl: undefined,
      followZone: {
        entryVm: 'edge-zone-a-9',
        incarnation: 'none',
        controlRevision: null,
        directoryRevision: null,
        configurationRevision: null,
        isUrgent: false,
        waitMs: 0,
      },
    };
    for (const [procedure, input] of Object.entries(requests)) {
      let fieldCount = 0;
      await waitFor(`${procedure} has the same fields`, async () => {
        const byBuild = {old: new Set(), new: new Set()};
        for (const proxy of this.running) {
          await proxy.run(DATABASE, ['READ x']);
          const data = await proxy.callPeerPort(procedure, input);
          collectFieldPaths(data, '', byBuild[proxy.build]);
        }
        fieldCount = byBuild.old.size;
        const expected = new Set([
          ...byBuild.old,
          ...(ADDED_FIELDS[procedure] ?? []),
        ]);
        return fieldCount > 0 && isDeepStrictEqual(byBuild.new, expected);
      });
      this.recordObservation(
        `${procedure}: the same ${fieldCount} fields from both builds`,
      );
    }
  }

  async moveLeadership() {
    await waitFor('one leader', () => this.getLeader() !== null);
    const leader = this.getLeader();
    await leader.stop();
    await waitFor('another leader', () => this.getLeader() !== null);
    const next = this.getLeader();
    this.recordObservation(
      `leadership moved from ${leader.build} to ${next.build}`,
    );
    leader.start(this.bundles[leader.build], leader.build);
    await this.waitUntilReady();
  }

  /** Stops the store for longer than a lease lasts without contact. */
  async surviveStoreOutage() {
    this.store.isDown = true;
    await sleep(3_000);
    const states = await Promise.all(
      this.running.map(p => p.getGauge('filbertrun_in_contact')),
    );
    const inContact = states.filter(state => state === 1).length;
    const strictReads = [];
    for (const proxy of this.running) {
      const [answer] = await proxy.run(DATABASE, ['READ x']);
      strictReads.push(answer[0]?.startsWith('ROW') ? 'served' : answer[0]);
    }
    this.store.isDown = false;
    this.recordObservation(
      `store unavailable for 3 s: ${inContact} of ${states.length} in contact, strict reads ${[...new Set(strictReads)].join(', ')}`,
    );
    await sleep(1_500);
  }

  /** Stops all proxies and starts another build on the same records. */
  async replaceBuild(build) {
    const before = [...new Set(this.running.map(p => p.build))].join('+');
    await Promise.all(this.running.map(proxy => proxy.stop()));
    for (const proxy of this.proxies) {
      proxy.start(this.bundles[build], build);
    }
    await this.waitUntilReady();
    await this.exchangeStatements(`after-${build}`);
    this.recordObservation(`${build} continued on the records of ${before}`);
  }

  async stop() {
    clearInterval(this.heartbeat);
    await Promise.all(this.running.map(proxy => proxy.stop()));
    for (const instance of this.instances) {
      instance.crash();
    }
    this.promoter.closeAllConnections();
    this.promoter.close();
    this.store.stop();
  }
}

function createRoute(database, routeType) {
  return {
    database,
    routeType,
    timeoutMs: 2_000,
    targetLatencyMs: 200,
    priority: 0,
    backend: GROUP,
  };
}

/** Runs both builds together in the given zones. */
async function runMixedBuilds(bundles, layout, label, logFolder) {
  const deployment = new Deployment(bundles);
  try {
    await runMixedSteps(deployment, layout);
  } finally {
    await deployment.stop();
    writeResults(deployment, label, logFolder);
  }
}

async function runMixedSteps(deployment, layout) {
  await deployment.start(layout);
  await deployment.exchangeStatements('first');
  await sleep(2_000);
  deployment.recordZoneReaders();
  for (let round = 0; round < layout.length; round++) {
    await deployment.moveLeadership();
    await deployment.replacePrimary();
    await deployment.exchangeStatements(`round${round}`);
    deployment.recordZoneReaders();
  }
  await deployment.surviveStoreOutage();
  await deployment.exchangeStatements('last');
  await deployment.learnFreshness();
  await deployment.compareResponses();
}

/** Replaces the old build by the new one and rolls back. */
async function runUpgrade(bundles, logFolder) {
  const layout = ['a', 'a', 'b', 'c'].map(zone => [`zone-${zone}`, 'old']);
  const deployment = new Deployment(bundles);
  try {
    await deployment.start(layout);
    await deployment.exchangeStatements('first');
    await deployment.replacePrimary();
    await deployment.replaceBuild('new');
    await deployment.replacePrimary();
    await deployment.exchangeStatements('second');
    await deployment.replaceBuild('old');
  } finally {
    await deployment.stop();
    writeResults(deployment, 'upgrade and back', logFolder);
  }
}

function writeResults(deployment, label, logFolder) {
  process.stdout.write(`${label}\n`);
  for (const [observation, count] of [...deployment.observations].sort()) {
    process.stdout.write(`  ${observation}: ${count}\n`);
  }
  const file = path.join(logFolder, `${label.replaceAll(' ', '_')}.log`);
  writeFileSync(file, `${deployment.logLines.join('\n')}\n`);
}

async function main() {
  const [oldBundle, newBundle, logFolder] = process.argv.slice(2);
  const bundles = {old: path.resolve(oldBundle), new: path.resolve(newBundle)};
  mkdirSync(logFolder, {recursive: true});
  const layout = [
    ['zone-a', 'old'],
    ['zone-a', 'new'],
    ['zone-b', 'new'],
    ['zone-b', 'old'],
  ];
  const swapped = layout.map(([zone, build]) => [
    zone,
    build === 'old' ? 'new' : 'old',
  ]);
  const oneBuildPerZone = [
    ['zone-a', 'old'],
    ['zone-b', 'new'],
  ];
  await runMixedBuilds(bundles, layout, 'mixed zones', logFolder);
  await runMixedBuilds(bundles, swapped, 'mixed zones swapped', logFolder);
  await runMixedBuilds(bundles, oneBuildPerZone, 'one build a zone', logFolder);
  await runUpgrade(bundles, logFolder);
}

await main();
