import {Buffer} from 'node:buffer';
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
const ATTEMPTS = 4;
const TRAFFIC_MS = 1_500;
const AFTER_MS = 1_500;
const CONTROL_TABLE = 'filbertrun';
const MAX_STARTS = 12;
const SETTLE_MS = 2_500;
const CRASH_MS = 7_000;
const PAUSE_MS = 15;
const ATTEMPT_PAUSE_MS = 100;

/** One requester that writes, and those that read; all on one item. */
class Traffic {
  /** Reads that missed an acknowledged commit, with the commit's id. */
  suspects = [];
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
      const text = `${answer.id} at ${proxy.name} read ${seen}, signed ${answer.signature}; ${before.id} had written ${before.number} and was acknowledged before`;
      this.suspects.push({commitId: before.id, text});
    }
  }

  /** Leaves out commits that a promote rolled back: they don't count. */
  findViolations() {
    const {instances, newestTerm} = this.deployment.group;
    const primary = instances.find(
      ({role, term}) => role === 'primary' && term === newestTerm,
    );
    const kept = new Set(primary?.log.map(({id}) => id));
    return this.suspects
      .filter(({commitId}) => kept.has(commitId))
      .map(({text}) => text);
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

/** Name of the proxy that leads, as its record in the store says. */
function findLeader({store}) {
  for (const {table, value} of store.rows.values()) {
    if (table === CONTROL_TABLE) {
      const record = JSON.parse(Buffer.from(value, 'base64').toString('utf8'));
      if (typeof record.holder === 'string') {
        return record.holder;
      }
    }
  }
  return null;
}

/**
 * Starts a deployment whose leader is in the zone of the first replica; its
 * successor is then in another zone. Starts anew while that is not so.
 */
async function startWithLeader(start) {
  for (let attempt = 0; attempt < MAX_STARTS; attempt++) {
    const deployment = await start({
      proxyZones: PROXY_ZONES,
      instanceZones: INSTANCE_ZONES,
    });
    const isReady = await deployment.waitForReady();
    await sleep(SETTLE_MS);
    const leader = findLeader(deployment);
    deployment.note(`the leader is ${leader}`);
    if (isReady && leader?.includes(INSTANCE_ZONES[1])) {
      return deployment;
    }
    deployment.stop();
  }
  return null;
}

/** One deployment with one change of primary; null if it could not run. */
async function playOnce(start) {
  const deployment = await startWithLeader(start);
  if (deployment === null) {
    return null;
  }
  deployment.group.promoteMs = PROMOTE_MS;
  const traffic = new Traffic(deployment);
  const isRunning = proxy => proxy.isWanted;
  const sessions = deployment.proxies.map(proxy => traffic.read(proxy));
  sessions.push(traffic.write(() => deployment.proxies.findLast(isRunning)));
  await sleep(TRAFFIC_MS);
  if (HAS_TROUBLE) {
    await changePrimary(deployment);
  } else {
    await sleep(CRASH_MS);
  }
  await sleep(AFTER_MS);
  traffic.isOver = true;
  await Promise.all(sessions);
  deployment.note(`reads answered: ${traffic.reads}`);
  const violations = traffic.findViolations();
  deployment.note(
    `reads that missed a commit: ${traffic.suspects.length}, ${violations.length} of them one that was not rolled back`,
  );
  deployment.stop();
  return traffic.reads === 0 ? null : violations;
}

async function play(start) {
  let violations = [];
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    violations = await playOnce(start);
    if (violations === null || violations.length > 0) {
      break;
    }
  }
  return violations;
}

await runScript(FOLDER, play);
