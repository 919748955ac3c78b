/**
 * Stand-in of the platform's metadata store (rows, conditional transactions and
 * the feed of changes) and of its promote call.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';
import {HOST} from './net.mjs';

const TX_MS = 5;

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function pause(delayMs) {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

export class Store {
  rows = new Map();
  version = 0;
  waiting = new Set();
  server = http.createServer((request, response) => {
    void this.respond(request, response);
  });

  async start() {
    await new Promise(resolve => this.server.listen(0, HOST, resolve));
    this.address = `${HOST}:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a row as the operator or an instance does, without a condition. */
  put(table, key, value) {
    this.putText(table, key, JSON.stringify(value));
  }

  putText(table, key, text) {
    const value = Buffer.from(text, 'utf8').toString('base64');
    this.apply([{table, part: '', key, value}], []);
  }

  remove(table, key) {
    this.apply([], [{table, part: '', key}]);
  }

  async respond(request, response) {
    const text = await readBody(request);
    const url = new URL(request.url, 'http://store');
    const {status, body} = await this.execute(url, text);
    if (!response.destroyed) {
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(JSON.stringify(body));
    }
  }

  async execute(url, text) {
    const table = url.searchParams.get('table');
    const inTable = () =>
      [...this.rows.values()].filter(row => row.table === table);
    switch (url.pathname) {
      case '/-/rows-get': {
        const rows = inTable().filter(({tombstone}) => !tombstone);
        rows.sort((left, right) => (left.key < right.key ? -1 : 1));
        return {status: 200, body: {rows, morePages: false, ...this.state()}};
      }
      case '/-/rows-feed': {
        const after = Number(url.searchParams.get('after'));
        const endMs = Date.now() + Number(url.searchParams.get('waitMs'));
        const find = () => inTable().filter(({ver}) => ver > after);
        while (find().length === 0 && Date.now() < endMs) {
          await this.waitForChange(endMs - Date.now());
        }
        return {status: 200, body: {rows: find(), ...this.state()}};
      }
      case '/-/rows-tx':
        await pause(TX_MS);
        return this.transact(JSON.parse(text));
      default:
        return {status: 404, body: {}};
    }
  }

  state() {
    return {ver: this.version, nowMs: Math.round(performance.now())};
  }

  transact({expectedRev = [], puts = [], remove = []}) {
    const find = row => {
      const found = this.rows.get(rowKey(row));
      return found === undefined || found.tombstone ? null : found;
    };
    const current = expectedRev.map(row => find(row) ?? {...row, ver: 0});
    if (expectedRev.some(({ver}, index) => current[index].ver !== ver)) {
      return {status: 412, body: {rows: current, ...this.state()}};
    }
    this.apply(puts, remove);
    return {status: 200, body: this.state()};
  }

  apply(puts, remove) {
    this.version++;
    for (const row of puts) {
      this.rows.set(rowKey(row), {...row, ver: this.version});
    }
    for (const row of remove) {
      const tombstone = {...row, ver: this.version, tombstone: true};
      this.rows.set(rowKey(row), tombstone);
    }
    for (const resume of [...this.waiting]) {
      resume();
    }
  }

  waitForChange(waitMs) {
    return new Promise(resolve => {
      const resume = () => {
        clearTimeout(timer);
        this.waiting.delete(resume);
        resolve();
      };
      const timer = setTimeout(resume, waitMs);
      this.waiting.add(resume);
    });
  }
}

function rowKey({table, part, key}) {
  return [table, part, key].join('\n');
}

/** Stand-in of the platform's API; `promote` says which status to answer. */
export class CloudApi {
  calls = [];

  constructor(promote) {
    this.server = http.createServer((request, response) => {
      void this.respond(promote, request, response);
    });
  }

  async start() {
    await new Promise(resolve => this.server.listen(0, HOST, resolve));
    this.address = `${HOST}:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  async respond(promote, request, response) {
    const body = JSON.parse((await readBody(request)) || '{}');
    const call = {
      holder: request.headers['lease-holder'],
      token: Number(request.headers['fencing-token']),
      id: body.id,
    };
    this.calls.push(call);
    response.writeHead(request.url === '/promote' ? promote(call) : 404).end();
  }
}
