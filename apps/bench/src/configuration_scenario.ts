import {setTimeout as sleep} from 'node:timers/promises';
import {BenchDeployment, waitUntil} from './bench_deployment.js';
import {summarize} from './latency_summary.js';
import type {Scenario, ScenarioContext, ScenarioResult} from './scenario.js';

/**
 * Measures the time from the acceptance of a configuration change until it is
 * in force on every proxy.
 */

const HEALTHY_CHANGES = 30;
const DEGRADED_CHANGES = 8;
const SLOW_PLATFORM_MS = 1_000;
const MAX_ROLLOUT_MS = 12_000;
const PAUSE_MS = 200;
const HEALTHY_TARGET_MS = 1_000;
const DEGRADED_TARGET_MS = 4_000;
const FULL_WEIGHT = 100;

interface RolloutTimes {
  /** Measured from the response to the operator. */
  readonly inForceMs: readonly number[];
  /** Measured from the operator's request. */
  readonly sinceCallMs: readonly number[];
  /** Changes that were not in force on every proxy within the timeout. */
  readonly incomplete: number;
}

/** @public */
export const configurationScenario: Scenario = {
  name: 'configuration',
  description: 'time until an accepted change is in force on every proxy',
  defaultPreset: 'malabar',
  run: context => BenchDeployment.run(context, bench => run(context, bench)),
};

async function run(
  context: ScenarioContext,
  bench: BenchDeployment,
): Promise<ScenarioResult> {
  const healthy = await runChanges(context, bench, 'healthy', HEALTHY_CHANGES);
  const cutZone = bench.description.proxies[0]?.availabilityZone ?? '';
  await bench.deployment.runAdminCommand({
    kind: 'platform',
    latencyMs: SLOW_PLATFORM_MS,
  });
  await bench.deployment.runAdminCommand({
    kind: 'cut',
    from: cutZone,
    to: 'platform',
    isCut: true,
    isTwoWay: true,
  });
  const degraded = await runChanges(
    context,
    bench,
    'degraded',
    DEGRADED_CHANGES,
  );
  const inForceMs = summarize(healthy.inForceMs);
  const degradedMs = summarize(degraded.inForceMs);
  const incomplete = healthy.incomplete + degraded.incomplete;
  return {
    figures: {
      inForceMs: {...inForceMs},
      sinceCallMs: {...summarize(healthy.sinceCallMs)},
      degradedInForceMs: {...degradedMs},
      degradedSinceCallMs: {...summarize(degraded.sinceCallMs)},
      incomplete,
    },
    violations: 0,
    targets: [
      {
        target: `inForceMs.p99 <= ${HEALTHY_TARGET_MS}`,
        isMet: inForceMs.p99 <= HEALTHY_TARGET_MS,
      },
      {
        target: `degradedInForceMs.max <= ${DEGRADED_TARGET_MS}`,
        isMet: degradedMs.max <= DEGRADED_TARGET_MS,
      },
      {target: 'incomplete = 0', isMet: incomplete === 0},
    ],
    settings: {slowPlatformMs: SLOW_PLATFORM_MS, cutZone},
  };
}

async function runChanges(
  context: ScenarioContext,
  bench: BenchDeployment,
  name: string,
  count: number,
): Promise<RolloutTimes> {
  const [instance] = await bench.getInstances();
  const backendServer = instance?.status.backendServer ?? '';
  const proxyCount = bench.description.proxies.length;
  const inForceMs: number[] = [];
  const sinceCallMs: number[] = [];
  let incomplete = 0;
  for (let change = 0; change < count; change++) {
    const calledAtMs = performance.now();
    const version = await bench.submitChange(`bench-${name}-${change}`, {
      kind: 'shiftLoad',
      weights: [{backendServer, weight: FULL_WEIGHT - 1 - (change % 2)}],
    });
    const acceptedAtMs = performance.now();
    const isInForce = await waitUntil(async () => {
      const statuses = await bench.operatorClient.getStatuses();
      const current = statuses.filter(
        status => (status.configuration?.version ?? -1) >= version,
      );
      return current.length >= proxyCount;
    }, MAX_ROLLOUT_MS);
    inForceMs.push(performance.now() - acceptedAtMs);
    sinceCallMs.push(performance.now() - calledAtMs);
    incomplete += isInForce ? 0 : 1;
    context.logger.info('change', {name, change, inForceMs: inForceMs.at(-1)});
    await sleep(PAUSE_MS);
  }
  return {inForceMs, sinceCallMs, incomplete};
}
