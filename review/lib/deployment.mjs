/**
 * A small deployment for a script: the store, the platform's API, one service
 * of three instances and one proxy a zone. Also the record and the exit code.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {Group} from './group.mjs';
import {startProxies, waitForReady} from './proxies.mjs';
import {CloudApi, Store} from './store.mjs';

export const SERVICE = 'huvo11a';
export const STRICT = 'lepu270';
export const BOUNDED = 'xapu221ny95';
export const OWN_WRITES = 'fiti832ti23';
const INSTANCE_ZONES = ['mrk-a', 'mrk-b', 'agd-a'];
const PROXY_ZONES = [...INSTANCE_ZONES, 'ouz-a'];
const SCRIPT_LIMIT_MS = 110_000;
const MAX_STALENESS_MS = 2_500;

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/** Whether the script runs with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

function createRoute(name, database, routeType) {
  const route = {
    name,
    database,
    prefix: '/',
    routeType,
    timeoutMs: 1_000,
    targetLatencyMs: 400,
    priority: 2,
    backend: SERVICE,
    attempts: 2,
  };
  return routeType === 'primary'
    ? route
    : {...route, maxStalenessMs: MAX_STALENESS_MS};
}

const CONFIGURATION = {
  version: 7,
  routes: [
    createRoute('r-1', STRICT, 'primary'),
    createRoute('r-2', BOUNDED, 'bounded_staleness'),
    createRoute('r-3', OWN_WRITES, 'read_your_writes'),
  ],
  backends: [
    {
      name: SERVICE,
      healthPath: '/healthz',
      maxConns: 22,
      protocol: 'h1',
      tls: false,
      syncReplicas: 1,
    },
  ],
  limits: {txIdleMs: 3_000},
};

export class Deployment {
  lines = [];
  proxies = [];
  /** Called with each promote call that has arrived. */
  onPromote = () => {};
  startedAtMs = Date.now();

  static async start({
    instanceZones = INSTANCE_ZONES,
    proxyZones = PROXY_ZONES,
  } = {}) {
    const deployment = new Deployment();
    deployment.folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
    deployment.store = new Store();
    await deployment.store.start();
    deployment.group = new Group(deployment.store, SERVICE);
    deployment.cloud = new CloudApi(call => deployment.promote(call));
    await deployment.cloud.start();
    await deployment.group.start(instanceZones);
    deployment.store.put('op', 'config', CONFIGURATION);
    deployment.proxies = await startProxies(
      {
        folder: deployment.folder,
        storeAddress: deployment.store.address,
        cloudAddress: deployment.cloud.address,
      },
      proxyZones,
    );
    return deployment;
  }

  async waitForReady() {
    const isReady = await waitForReady(this.proxies);
    for (const {name, exits} of isReady ? [] : this.proxies) {
      this.note(`not ready in time: ${name}, ends ${JSON.stringify(exits)}`);
    }
    return isReady;
  }

  note(text) {
    const seconds = ((Date.now() - this.startedAtMs) / 1_000).toFixed(3);
    this.lines.push(`${seconds.padStart(8)} ${text}`);
  }

  promote(call) {
    const status = this.group.promote(call);
    this.onPromote(call);
    this.note(
      `promote ${call.id} by ${call.holder} token ${call.token}: ${status}`,
    );
    return status;
  }

  stop() {
    for (const proxy of this.proxies) {
      proxy.stop();
    }
    this.group.stop();
    this.store.stop();
    this.cloud.stop();
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/**
 * Runs a script: `play` returns the list of violations, or null if the case
 * could not run. Writes the record beside the script and sets the exit code.
 */
export async function runScript(folder, play) {
  let deployment = null;
  const giveUp = reason => {
    process.stderr.write(`${reason}\n`);
    deployment?.stop();
    process.exit(EXIT_NOT_RUN);
  };
  process.on('uncaughtException', error => giveUp(error.stack));
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.on(signal, () => giveUp(`stopped by ${signal}`));
  }
  setTimeout(() => giveUp('the script took too long'), SCRIPT_LIMIT_MS).unref();
  let violations = null;
  try {
    violations = await play(options => {
      const started = Deployment.start(options);
      return started.then(value => {
        deployment = value;
        return value;
      });
    });
  } catch (error) {
    process.stderr.write(`${error.stack}\n`);
  }
  deployment?.stop();
  const verdict =
    violations === null
      ? 'could not run'
      : violations.length > 0
        ? `broken, ${violations.length} times`
        : 'held';
  const lines = [
    `trouble: ${HAS_TROUBLE ? 'yes' : 'no'}`,
    ...(deployment?.lines ?? []),
    ...(violations ?? []).slice(0, 20).map(text => `violation: ${text}`),
    `verdict: ${verdict}`,
  ];
  writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  process.stdout.write(`${verdict}\n`);
  if (violations === null) {
    process.exit(EXIT_NOT_RUN);
  }
  process.exit(violations.length > 0 ? EXIT_BROKEN : EXIT_HELD);
}
