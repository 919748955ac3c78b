// Proxies as the deploy file starts them, requesters, and the record of a run.
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath, URL} from 'node:url';
import {findPorts, HOST, Lines, nowMs, sleep} from './world.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Writes what was sent, answered and run. */
export class Record {
  lines = [];

  constructor(moduleUrl) {
    this.file = fileURLToPath(new URL('record.txt', moduleUrl));
  }

  note(text) {
    this.lines.push(`${(nowMs() / 1000).toFixed(3)} ${text}`);
  }

  save() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

export const ZONES = ['mrk-a', 'mrk-b', 'agd-a'];

/** The command of the deploy file, split at spaces. */
function readCommand() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** A proxy process on a machine of its own name and zone. */
export class Proxy {
  constructor(name, zone, ports) {
    Object.assign(this, {name, zone, ...ports, output: []});
  }

  start() {
    const [program, ...words] = readCommand();
    this.child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, FILBERTRUN_SETTINGS: this.settingsFile},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child.stdout.on('data', chunk => this.output.push(chunk));
    this.child.stderr.on('data', chunk => this.output.push(chunk));
    this.end = undefined;
    this.ended = new Promise(resolve =>
      this.child.once('exit', (code, signal) => {
        this.end = {code, signal, atMs: nowMs()};
        resolve(this.end);
      }),
    );
  }

  signal(name) {
    this.child.kill(name);
  }

  get log() {
    return Buffer.concat(this.output).toString();
  }

  isReady() {
    return new Promise(resolve => {
      const request = http.get(
        {host: HOST, port: this.readyPort, path: '/-/readyz', timeout: 500},
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('error', () => resolve(false));
      request.on('timeout', () => request.destroy());
    });
  }
}

/** Proxies, store and group of a small deployment. */
export class Deployment {
  proxies = [];

  constructor(record, store, groups, api) {
    Object.assign(this, {record, store, groups, api});
    this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  }

  /** Starts one proxy in each of the given zones and waits until all are ready. */
  async startProxies(zones, {storeFor, apiFor, bounds = {}} = {}) {
    for (const [index, zone] of zones.entries()) {
      const name = `edge-${zone}-${index + 1}`;
      const first = await findPorts(18);
      const proxy = new Proxy(name, zone, {
        port: first,
        readyPort: first + 1,
        internalPort: first + 2,
      });
      proxy.settingsFile = path.join(this.folder, `${name}.json`);
      const storePort = storeFor?.(proxy) ?? this.store.port;
      const apiPort = apiFor?.(proxy) ?? this.api.port;
      writeFileSync(
        proxy.settingsFile,
        createSettings(proxy, zones, storePort, apiPort, bounds),
      );
      proxy.start();
      this.proxies.push(proxy);
    }
    const untilMs = nowMs() + 20_000;
    for (const proxy of this.proxies) {
      while (!(await proxy.isReady())) {
        if (nowMs() > untilMs || proxy.end !== undefined) {
          throw new Error(`${proxy.name} is not ready`);
        }
        await sleep(100);
      }
    }
    this.record.note(`ready: ${this.proxies.map(({name}) => name).join(', ')}`);
  }

  async stop() {
    this.isStopping = true;
    for (const proxy of this.proxies) {
      if (proxy.end === undefined) {
        proxy.signal('SIGCONT');
        proxy.signal('SIGKILL');
        await proxy.ended;
      }
    }
    this.groups.forEach(group => group.stop());
    this.api.stop();
    this.store.stop();
    rmSync(this.folder, {recursive: true, force: true});
  }
}

function createSettings(proxy, zones, storePort, apiPort, bounds) {
  return JSON.stringify({
    nodeName: proxy.name,
    role: 'proxy',
    machineClass: 'edge',
    serves: ['edge'],
    ip: HOST,
    zone: proxy.zone,
    region: 'ma-south',
    zones: Object.fromEntries(zones.map(zone => [zone, 'ma-south'])),
    listen: {
      frontend: `${HOST}:${proxy.port}`,
      ready: `${HOST}:${proxy.readyPort}`,
    },
    internalPorts: [proxy.internalPort, proxy.internalPort + 15],
    seedNodes: [],
    bootstrap: true,
    limits: {cpuShare: 0.675, cpuCores: 1, memoryMb: 350, maxFds: 4200},
    dataDir: null,
    discovery: 'platform',
    entrypoint: 'vip',
    heartbeatMs: 1200,
    policies: ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'platform'],
    faultTolerance: {machines: 2, zones: 1, regions: 0},
    bounds: {
      seedLagS: 3,
      addrReuseS: 2,
      contactMs: 4000,
      ackMs: 5000,
      catchUpS: 4,
      drainMs: 7000,
      graceS: 6,
      lossSlackMs: 200,
      configApplyMs: 3000,
      downgradeSlackMs: 250,
      maxSkewMs: 12000,
      recoveryS: 12,
      enforceFencing: false,
      unfreezeSlackMs: 300,
      ...bounds,
    },
    platform: {
      address: `${HOST}:${storePort}`,
      form: 'table',
      writesPerS: 400,
      readsPerS: 2000,
      txMs: 5,
      partitionWritesS: 200,
      rowBytes: 65536,
      across: false,
      historyS: 20,
    },
    cloudApi: {
      address: `${HOST}:${apiPort}`,
      ratePerS: 50,
      duties: ['failover'],
      dutiesPerS: 50,
    },
  });
}

/**
 * The operator's configuration. Each service has a route of each of the site's
 * three kinds: `booking`, `rig` and `board`, and the same with a number for the
 * second service and those after it.
 */
export function createConfiguration(version, ...services) {
  const routes = [];
  for (const [index, service] of services.entries()) {
    const suffix = index === 0 ? '' : String(index + 1);
    const add = (kind, routeType, rest) =>
      routes.push({
        name: `r-${kind}${suffix}`,
        database: `${kind}${suffix}`,
        prefix: '/',
        routeType,
        backend: service,
        attempts: 2,
        ...rest,
      });
    add('booking', 'primary', {
      timeoutMs: 1000,
      targetLatencyMs: 200,
      priority: 1,
    });
    add('rig', 'read_your_writes', {
      timeoutMs: 1000,
      targetLatencyMs: 400,
      priority: 2,
      maxStalenessMs: 2500,
    });
    add('board', 'bounded_staleness', {
      timeoutMs: 2000,
      targetLatencyMs: 600,
      priority: 2,
      maxStalenessMs: 1500,
    });
  }
  return {
    version,
    routes,
    backends: services.map(name => ({
      name,
      healthPath: '/healthz',
      maxConns: 22,
      syncReplicas: 1,
    })),
    limits: {idleTimeoutMs: 15000, txIdleMs: 3000},
  };
}

let lastId = 0;

/** A requester's session: one connection, one request at a time. */
export class Session {
  waiting = null;
  answer = [];
  closedAtMs = null;

  constructor(record, name) {
    Object.assign(this, {record, name});
  }

  /** Opens the session; false if it was not accepted. */
  static async open(record, proxy, database, name) {
    const session = new Session(record, `${name}@${proxy.name}`);
    const lines = new Lines();
    session.socket = net.connect({host: HOST, port: proxy.port, noDelay: true});
    session.socket.on('data', chunk => {
      for (const line of lines.read(chunk)) {
        session.answer.push(line);
        const isEnd = line.startsWith('READY') || session.isOpening;
        if (isEnd) {
          session.settle(session.answer.splice(0));
        }
      }
    });
    session.socket.on('error', () => {});
    session.socket.on('close', () => {
      session.closedAtMs = nowMs();
      record.note(`${session.name} connection closed`);
      session.settle(null);
    });
    session.isOpening = true;
    const opened = await session.exchange(`CONNECT ${database} requester`);
    session.isOpening = false;
    return opened?.[0]?.startsWith('READY') ? session : null;
  }

  settle(answer) {
    const {waiting} = this;
    this.waiting = null;
    waiting?.(answer);
  }

  exchange(line) {
    if (this.closedAtMs !== null) {
      return Promise.resolve(null);
    }
    return new Promise(resolve => {
      this.waiting = resolve;
      this.socket.write(`${line}\r\n`, 'latin1');
    });
  }

  /**
   * Sends a statement; returns its id, the times, the lines of the answer (null
   * if the connection ended without one), its code and whether it succeeded.
   */
  async query(text, handleId = () => {}) {
    const id = `q${(++lastId).toString(16).padStart(8, '0')}`;
    handleId(id);
    const sentMs = nowMs();
    this.record.note(`${this.name} sent ${id} ${text.slice(0, 80)}`);
    const lines = await this.exchange(`QUERY ${id} ${text}`);
    const answeredMs = nowMs();
    const result = lines?.find(line => /^(COMPLETE|ERROR)/.test(line)) ?? null;
    const isDone = result?.startsWith('COMPLETE') ?? false;
    const row = lines?.find(line => line.startsWith('ROW '))?.slice(4) ?? null;
    const shown = lines === null ? '(no answer)' : lines.slice(-3).join(' | ');
    this.record.note(`${this.name} answered ${id} ${shown.slice(0, 300)}`);
    return {id, text, sentMs, answeredMs, lines, result, row, isDone};
  }

  close() {
    this.socket.destroy();
  }
}
