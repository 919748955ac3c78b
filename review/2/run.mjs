import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {HAS_TROUBLE, runScript, STRICT} from '../lib/deployment.mjs';
import {waitUntil} from '../lib/net.mjs';
import {Session} from '../lib/requester.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));

/** Five proxies and three instances, as on the site. */
const PROXY_ZONES = ['mrk-b', 'mrk-a', 'agd-a', 'ouz-a', 'mrk-a'];
const INSTANCE_ZONES = ['mrk-a', 'agd-a', 'mrk-b'];

/** As on the site. */
const PROMOTE_MS = 1_000;
/** The stops, counted from the first order; a second lies between them. */
const FIRST_STOP_MS = 20;
const SECOND_STOP_MS = 1_030;
const CHANGES = 4;
const CHANGE_S = 12;
const CRASH_MS = 7_000;
const PAUSE_MS = 15;
const ATTEMPT_PAUSE_MS = 100;
const RESTART_MS = 7_000;

/** One requester that writes, and those that read; all on one item. */
class Traffic {
  violations = [];
  isOver = false;
  /** Number and time of the newest write that was acknowledged. */
  acknowledged = {number: 0, atMs: 0};
  reads = 0;

  constructor(deployment) {
    this.deployment = deployment;
    this.started = 0;
  }

  async write(getProxy) {
    while (!this.isOver) {
      const session = await Session.open(getProxy().port, STRICT);
      while (session !== null && session.isOpen && !this.isOver) {
        const number = ++this.started;
        const answer = await session.query(`WRITE 1a4 ${number}`);
        if (!answer.isOk) {
          break;
        }
        if (number > this.acknowledged.number) {
          this.acknowledged = {number, atMs: Date.now(), id: answer.id};
        }
        await sleep(PAUSE_MS);
      }
      session?.close();
      await sleep(ATTEMPT_PAUSE_MS);
    }
  }

  async read(proxy) {
    while (!this.isOver) {
      const session = await Session.open(proxy.port, STRICT);
      while (session !== null && session.isOpen && !this.isOver) {
        const before = this.acknowledged;
        const answer = await session.query('READ 1a4');
        if (!answer.isOk) {
          break;
        }
        this.reads++;
        this.check(proxy, before, answer);
        await sleep(PAUSE_MS);
      }
      session?.close();
      await sleep(ATTEMPT_PAUSE_MS);
    }
  }

  /** A strict read must see what was acknowledged before it was sent. */
  check(proxy, before, answer) {
    const seen = answer.rows[0] === '-' ? 0 : Number(answer.rows[0]);
    if (seen < before.number) {
      this.violations.push(
        `${answer.id} at ${proxy.name} read ${seen}, signed ${answer.signature}; ${before.id} had written ${before.number} and was acknowledged before`,
      );
    }
  }
}

function findProxy(deployment, name) {
  return deployment.proxies.find(proxy => proxy.name === name);
}

/** Stops the leader after its order, and its successor before the effect. */
async function changePrimary(deployment) {
  const {group} = deployment;
  const primary = group.instances.find(
    ({isAlive, role, term}) =>
      isAlive && role === 'primary' && term === group.newestTerm,
  );
  const orders = [];
  deployment.onPromote = call => orders.push({...call, atMs: Date.now()});
  deployment.note(`the primary ${primary.id} crashes`);
  primary.crash();
  if (!(await waitUntil(() => orders.length > 0, 5_000))) {
    return;
  }
  const [{holder, atMs}] = orders;
  await sleep(FIRST_STOP_MS);
  deployment.note(`SIGTERM to the leader ${holder}`);
  findProxy(deployment, holder).terminate();
  const hasSuccessor = await waitUntil(
    () => orders.some(order => order.holder !== holder),
    SECOND_STOP_MS,
  );
  if (hasSuccessor) {
    const successor = orders.find(order => order.holder !== holder).holder;
    await sleep(Math.max(0, atMs + SECOND_STOP_MS - Date.now()));
    deployment.note(`SIGTERM to the leader ${successor}`);
    findProxy(deployment, successor).terminate();
  }
  await sleep(CRASH_MS);
  await primary.restart();
  deployment.note(`${primary.id} is back with its log`);
}

async function play(start) {
  const deployment = await start({
    proxyZones: PROXY_ZONES,
    instanceZones: INSTANCE_ZONES,
  });
  deployment.group.promoteMs = PROMOTE_MS;
  if (!(await deployment.waitForReady())) {
    return null;
  }
  const traffic = new Traffic(deployment);
  const isRunning = proxy => proxy.isWanted;
  const sessions = deployment.proxies.map(proxy => traffic.read(proxy));
  sessions.push(traffic.write(() => deployment.proxies.findLast(isRunning)));
  await sleep(4_000);
  for (let change = 0; change < CHANGES; change++) {
    const endMs = Date.now() + CHANGE_S * 1_000;
    if (HAS_TROUBLE) {
      await changePrimary(deployment);
    }
    await sleep(Math.max(0, endMs - Date.now()));
    for (const proxy of deployment.proxies) {
      if (!proxy.isWanted) {
        await proxy.start();
      }
    }
    deployment.note(`reads answered: ${traffic.reads}`);
    if (traffic.violations.length > 0) {
      break;
    }
    await sleep(HAS_TROUBLE ? RESTART_MS : 0);
  }
  traffic.isOver = true;
  await Promise.all(sessions);
  return traffic.reads === 0 ? null : traffic.violations;
}

await runScript(FOLDER, play);
