import {readFileSync, writeFileSync} from 'node:fs';
import fc from 'fast-check';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {groupScenarioArbitrary, type GroupScenario} from './group_scenario.js';
import {runHistory} from './history.js';
import {createHistoryRules} from './path_rules.js';

/**
 * Fuzzes histories on virtual time against the oracle. A scenario with a
 * violation is shrunk and written to a file that `--replay` runs again; its
 * transcript is printed.
 */

const DEFAULT_RUNS = 1000;
const DEFAULT_SEED = 1;
const FAILED_SCENARIO_PATH = 'fuzz-failure.json';

const rules = createHistoryRules();

async function replay(path: string): Promise<boolean> {
  const scenario = JSON.parse(readFileSync(path, 'utf8')) as GroupScenario;
  return runAndPrint(scenario);
}

/** Runs a scenario and prints its transcript; false if an invariant fails. */
async function runAndPrint(scenario: GroupScenario): Promise<boolean> {
  const result = await runHistory(scenario, rules);
  console.log(result.transcript.join('\n'));
  for (const violation of result.violations) {
    console.log(`VIOLATION ${violation.rule}: ${violation.detail}`);
  }
  return result.violations.length === 0;
}

async function fuzz(runs: number, seed: number): Promise<boolean> {
  const startMs = performance.now();
  let historyCount = 0;
  let acknowledgedCount = 0;
  const details = await fc.check(
    fc.asyncProperty(groupScenarioArbitrary, async scenario => {
      const result = await runHistory(scenario, rules);
      historyCount++;
      acknowledgedCount += result.acknowledgedCount;
      return result.violations.length === 0;
    }),
    {numRuns: runs, seed, endOnFailure: false},
  );
  const seconds = (performance.now() - startMs) / 1000;
  console.log(
    `${historyCount} histories, ${acknowledgedCount} acknowledged bookings, ` +
      `seed ${seed}, ${seconds.toFixed(1)} s, ` +
      (details.failed ? 'VIOLATION' : 'no violation'),
  );
  const [scenario] = details.counterexample ?? [];
  if (scenario === undefined) {
    return !details.failed;
  }
  writeFileSync(FAILED_SCENARIO_PATH, JSON.stringify(scenario, null, 2));
  console.log(`Shrunk scenario (written to ${FAILED_SCENARIO_PATH}):`);
  await runAndPrint(scenario);
  return false;
}

const settings = yargs(hideBin(process.argv))
  .option('runs', {
    type: 'number',
    default: DEFAULT_RUNS,
    describe: 'number of histories to run',
  })
  .option('seed', {type: 'number', default: DEFAULT_SEED})
  .option('replay', {
    type: 'string',
    describe: 'file of a scenario to run again',
  })
  .strict()
  .parseSync();

const isClean =
  settings.replay === undefined
    ? await fuzz(settings.runs, settings.seed)
    : await replay(settings.replay);
process.exitCode = isClean ? 0 : 1;
