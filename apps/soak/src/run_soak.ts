import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {
  SeededRandom,
  type RandomSource,
} from '@filbertrun/base/random_source.js';
import {FaultInjector} from './fault_injector.js';
import type {InstanceGroup} from './instance_group.js';
import type {Violation} from './ledger.js';
import {SoakDeployment} from './soak_deployment.js';
import {drawRound, type Round} from './soak_plan.js';

/** Options of a run. @internal */
export interface SoakOptions {
  readonly bundle: string;
  readonly folder: string;
  readonly seed: number;
  readonly durationMs: number;
  readonly groupCount: number;
}

/** Result of a run. @internal */
export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly acknowledgedCount: number;
  readonly promotionCount: number;
  readonly roundCount: number;
}

const START_TIMEOUT_MS = 15_000;

/** Time for which a round waits for its change, and then for calm. */
const CHANGE_TIMEOUT_MS = 10_000;
const CALM_TIMEOUT_MS = 12_000;

/** Time after the last round before the last checks. */
const SETTLE_MS = 1_500;

const POLL_MS = 25;

/** Runs rounds of faults against one deployment. @internal */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const random = SeededRandom.create(options.seed);
  const {bundle, folder, groupCount} = options;
  const deployment = await SoakDeployment.start({bundle, folder, groupCount});
  const {trace, ledger} = deployment;
  let roundCount = 0;
  try {
    trace.note(`seed ${options.seed}, ${bundle}`);
    if (!(await waitUntil(() => deployment.areAllReady(), START_TIMEOUT_MS))) {
      throw new Error(`the proxies are not ready; their logs are in ${folder}`);
    }
    await pause(2_000);
    while (trace.nowMs() < options.durationMs) {
      const round = drawRound(random);
      const index = random.nextInteger(0, groupCount - 1);
      const group = deployment.groups[index];
      if (group !== undefined) {
        await playRound(deployment, group, round, random);
      }
      roundCount++;
    }
    await deployment.stopCallers();
    await pause(SETTLE_MS);
    for (const group of deployment.groups) {
      ledger.checkGroup(group);
    }
  } finally {
    await deployment.stop();
    writeFileSync(
      path.join(folder, 'trace.txt'),
      `${trace.lines.join('\n')}\n`,
    );
  }
  return {
    violations: ledger.violations,
    acknowledgedCount: ledger.acknowledgedCount,
    promotionCount: ledger.promotions.length,
    roundCount,
  };
}

async function playRound(
  deployment: SoakDeployment,
  group: InstanceGroup,
  round: Round,
  random: RandomSource,
): Promise<void> {
  const {trace, promotion} = deployment;
  const isCalm = await waitUntil(
    () => isGroupCalm(deployment, group),
    CALM_TIMEOUT_MS,
  );
  trace.note(`round on ${group.name}${isCalm ? '' : ', not calm'}`);
  await pause(round.calmMs);
  const injector = FaultInjector.create(deployment, group, random);
  injector.startRound();
  group.promotionMs = round.promotionMs;
  promotion.conduct.acceptMs = round.acceptMs;
  if (round.killGapMs !== null) {
    await killAll(deployment, round.killGapMs);
  }
  const timers = armFaults(deployment, injector, round);
  if (round.killGapMs !== null) {
    trace.emit('proxiesStarted');
  }
  const {deafFromMs, deafForMs, causeAfterMs} = round;
  const deafen = () => injector.deafen('replica', deafForMs);
  if (deafFromMs !== null) {
    timers.push(setTimeout(deafen, Math.max(0, causeAfterMs + deafFromMs)));
  }
  const leadMs = Math.max(0, -(deafFromMs ?? 0) - causeAfterMs);
  await pause(causeAfterMs + leadMs);
  const before = group.effectiveAtMs.size;
  injector.inject(round.cause);
  await waitUntil(
    () =>
      group.effectiveAtMs.size > before && !deployment.isChanging(group.name),
    CHANGE_TIMEOUT_MS,
  );
  await pause(1_000);
  for (const timer of timers) {
    clearTimeout(timer);
  }
  injector.endRound();
}

async function killAll(
  deployment: SoakDeployment,
  gapMs: number,
): Promise<void> {
  const startCounts = deployment.proxies.map(({startCount}) => startCount);
  for (const proxy of deployment.proxies) {
    proxy.signal('SIGKILL');
    await pause(gapMs);
  }
  await waitUntil(
    () =>
      deployment.proxies.every(
        ({startCount}, index) => startCount > (startCounts[index] ?? 0),
      ),
    5_000,
  );
}

/** Lets each fault of a round follow the first event that it names. */
function armFaults(
  deployment: SoakDeployment,
  injector: FaultInjector,
  {faults}: Round,
): NodeJS.Timeout[] {
  const timers: NodeJS.Timeout[] = [];
  const {trace} = deployment;
  for (const {event, delayMs, fault} of faults) {
    const stop = trace.listen(kind => {
      if (kind === event) {
        stop();
        trace.note(`${event}, ${delayMs} ms before ${fault.kind}`);
        timers.push(setTimeout(() => injector.inject(fault), delayMs));
      }
    });
    timers.push(setTimeout(stop, CHANGE_TIMEOUT_MS));
  }
  return timers;
}

/** Whether a group has all instances and writes are acknowledged. */
async function isGroupCalm(
  deployment: SoakDeployment,
  group: InstanceGroup,
): Promise<boolean> {
  const {trace, ledger} = deployment;
  const listed = group.liveInstances.filter(
    ({isListed, isDraining}) => isListed && !isDraining,
  );
  const areWritesServed = trace.nowMs() - ledger.lastAcknowledgedAtMs < 300;
  return (
    listed.length === 3 &&
    group.newestPrimary !== null &&
    areWritesServed &&
    !deployment.isChanging(group.name) &&
    (await deployment.areAllReady())
  );
}

async function waitUntil(
  isMet: () => boolean | Promise<boolean>,
  timeoutMs: number,
): Promise<boolean> {
  const endMs = Date.now() + timeoutMs;
  while (Date.now() < endMs) {
    if (await isMet()) {
      return true;
    }
    await pause(POLL_MS);
  }
  return false;
}

function pause(delayMs: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, delayMs);
  });
}
