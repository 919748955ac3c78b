import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {HAS_TROUBLE, runScript, STRICT} from '../lib/deployment.mjs';
import {Session} from '../lib/requester.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const SESSIONS = 12;
const WORK_MS = 40;
const THINK_MS = 60;
const BEFORE_MS = 4_500;
const AFTER_MS = 8_000;
/** Later requests are not excused by work in the last sixth of the grace. */
const EXCUSED_UNTIL_MS = 3_000;

async function play(start) {
  const deployment = await start();
  deployment.group.workMs = WORK_MS;
  if (!(await deployment.waitForReady())) {
    return null;
  }
  const [proxy] = deployment.proxies;
  const violations = [];
  const cutIds = new Set();
  let stoppedAtMs = Infinity;
  let isOver = false;
  let answered = 0;

  /** One long session that sends one statement after the other. */
  async function runSession(number) {
    const session = await Session.open(proxy.port, STRICT);
    while (session !== null && session.isOpen && !isOver) {
      const text =
        number % 2 === 0 ? `READ ${number}` : `WRITE ${number} ${Date.now()}`;
      const sentAtMs = Date.now() - stoppedAtMs;
      const answer = await session.query(text);
      if (answer.isOk) {
        answered++;
      } else if (answer.error === 'no answer') {
        const endMs = Date.now() - stoppedAtMs;
        cutIds.add(answer.id);
        const instance = deployment.group.arrivals.get(answer.id);
        deployment.note(
          `${answer.id} ${text}: sent ${sentAtMs} ms after SIGTERM, closed without an answer at ${endMs} ms, passed on to ${instance ?? 'no instance'}`,
        );
        if (sentAtMs > EXCUSED_UNTIL_MS && instance !== undefined) {
          violations.push(
            `${answer.id} was passed on and cut off, ${sentAtMs} ms after SIGTERM`,
          );
        }
      }
      await sleep(THINK_MS);
    }
  }

  const sessions = [];
  for (let number = 0; number < SESSIONS; number++) {
    sessions.push(runSession(number));
  }
  await sleep(BEFORE_MS);
  if (HAS_TROUBLE) {
    stoppedAtMs = Date.now();
    deployment.note(`SIGTERM to ${proxy.name}`);
    proxy.terminate();
  }
  await sleep(AFTER_MS);
  isOver = true;
  await Promise.all(sessions);
  const committed = deployment.group.commits.filter(({id}) => cutIds.has(id));
  deployment.note(
    `cut off: ${cutIds.size} statements, ${committed.length} of them committed`,
  );
  deployment.note(`answered with success: ${answered}`);
  return answered === 0 ? null : violations;
}

await runScript(FOLDER, play);
