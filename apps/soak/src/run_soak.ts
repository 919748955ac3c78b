import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {
  SeededRandom,
  type RandomSource,
} from '@filbertrun/base/random_source.js';
import {FaultInjector} from './fault_injector.js';
import type {InstanceGroup} from './instance_group.js';
import type {Violation} from './ledger.js';
import {pause, waitUntil} from './pause.js';
import {SoakDeployment} from './soak_deployment.js';
import {drawRound, type Round, type RoundKind} from './soak_plan.js';

/** Options of a run. @internal */
export interface SoakOptions {
  readonly bundle: string;
  readonly folder: string;
  readonly seed: number;
  readonly durationMs: number;
  readonly groupCount: number;
  /** Kinds of rounds to draw from. */
  readonly kinds: readonly RoundKind[];
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
      const round = drawRound(random, options.kinds);
      const index = random.nextInteger(0, groupCount - 1);
      const group = deployment.groups[index];
      if (group !== undefined) {
        const roundRandom = SeededRandom.create(random.nextInteger(1, 2 ** 31));
        await playRound(deployment, group, round, roundRandom);
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
  const disarms = armFaults(deployment, injector, round);
  for (const {atMs, fault} of round.timed) {
    const timer = setTimeout(() => injector.inject(fault), atMs);
    disarms.push(() => clearTimeout(timer));
  }
  const before = group.effectiveAtMs.size;
  await waitUntil(
    () =>
      group.effectiveAtMs.size > before && !deployment.isChanging(group.name),
    CHANGE_TIMEOUT_MS,
  );
  await pause(1_000);
  for (const disarm of disarms) {
    disarm();
  }
  injector.endRound();
}

/** Lets each fault of a round follow the first event that it names. */
function armFaults(
  deployment: SoakDeployment,
  injector: FaultInjector,
  {triggered}: Round,
): (() => void)[] {
  const disarms: (() => void)[] = [];
  const {trace} = deployment;
  for (const {event, delayMs, fault} of triggered) {
    const stop = trace.listen(kind => {
      if (kind === event) {
        stop();
        trace.note(`${event}, ${delayMs} ms before ${fault.kind}`);
        const timer = setTimeout(() => injector.inject(fault), delayMs);
        disarms.push(() => clearTimeout(timer));
      }
    });
    disarms.push(stop);
  }
  return disarms;
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
