import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {HAS_TROUBLE, runScript, SERVICE, STRICT} from '../lib/deployment.mjs';
import {Session} from '../lib/requester.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));

/** The primary crashes this often, for as long as the site file says. */
const CRASHES = 3;
const CRASH_MS = 7_000;
const PAUSE_MS = 15_000;
const WRITE_INTERVAL_MS = 1_000;
const SETTLE_MS = 13_000;

/** The rule: this many machines on which a process ends by itself so often. */
const MACHINES = 2;
const ENDS = 3;

/** Writes in one session after the other and notes the answers. */
async function writeOften(deployment, isOver) {
  const [, , proxy] = deployment.proxies;
  for (let number = 0; !isOver(); number++) {
    const session = await Session.open(proxy.port, STRICT);
    const answer = (await session?.query(`WRITE 1a4 v${number}`)) ?? null;
    session?.close();
    const result = answer?.signature ?? answer?.error ?? 'not accepted';
    deployment.note(`WRITE 1a4 v${number} at ${proxy.name} -> ${result}`);
    await sleep(WRITE_INTERVAL_MS);
  }
}

function getLeader(group) {
  return group.instances.find(
    ({isAlive, role, term}) =>
      isAlive && role === 'primary' && term === group.newestTerm,
  );
}

async function play(start) {
  const deployment = await start();
  if (!(await deployment.waitForReady())) {
    return null;
  }
  if (HAS_TROUBLE) {
    deployment.store.put('servers', 'i-9', {
      backend: SERVICE,
      address: '127.0.0.1:70000',
      zone: 'mrk-a',
      version: 'v1',
      capacity: 3,
      state: 'ready',
      warmupLeftMs: 0,
      dbRole: 'replica',
      sequence: 4,
    });
    deployment.note('another writer puts servers/i-9 with no usable address');
  }
  let isOver = false;
  const writer = writeOften(deployment, () => isOver);
  await sleep(SETTLE_MS);
  for (let crash = 0; crash < CRASHES; crash++) {
    const primary = getLeader(deployment.group);
    if (primary === undefined) {
      return null;
    }
    deployment.note(`the primary ${primary.id} crashes`);
    primary.crash();
    await sleep(CRASH_MS);
    await primary.restart();
    deployment.note(`${primary.id} is back with its log`);
    await sleep(PAUSE_MS);
  }
  isOver = true;
  await writer;
  deployment.note(`promote calls: ${deployment.cloud.calls.length}`);
  const failing = [];
  for (const {name, exits} of deployment.proxies) {
    const text = exits[0]?.error.replaceAll('\n', ' | ').slice(0, 250) ?? '';
    deployment.note(`${name} ended by itself ${exits.length} times ${text}`);
    if (exits.length >= ENDS) {
      failing.push(`${name} ended by itself ${exits.length} times`);
    }
  }
  return failing.length >= MACHINES ? failing : [];
}

await runScript(FOLDER, play);
