import fc from 'fast-check';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {groupScenarioArbitrary} from './group_scenario.js';
import {runHistory} from './history.js';
import {GROUP_MUTANTS, type Mutant} from './mutants.js';

/**
 * Switches off each safety rule in turn and fuzzes until the oracle reports a
 * violation. Exits with status 1 if a mutant is not detected.
 */

const DEFAULT_RUNS = 2000;
const DEFAULT_SEED = 7;

interface Detection {
  readonly historyCount: number;
  readonly rule: string;
}

async function findViolation(
  mutant: Mutant,
  runs: number,
  seed: number,
): Promise<Detection | null> {
  let historyCount = 0;
  for (const scenario of fc.sample(groupScenarioArbitrary, {
    numRuns: runs,
    seed,
  })) {
    historyCount++;
    const result = await runHistory(scenario, mutant.rules);
    const [violation] = result.violations;
    if (violation !== undefined) {
      return {historyCount, rule: violation.rule};
    }
  }
  return null;
}

const settings = yargs(hideBin(process.argv))
  .option('runs', {
    type: 'number',
    default: DEFAULT_RUNS,
    describe: 'maximum number of histories for each mutant',
  })
  .option('seed', {type: 'number', default: DEFAULT_SEED})
  .option('only', {
    type: 'string',
    describe: 'run only mutants whose name contains this',
  })
  .strict()
  .parseSync();

let missedCount = 0;
let totalCount = 0;
for (const mutant of GROUP_MUTANTS) {
  if (settings.only !== undefined && !mutant.name.includes(settings.only)) {
    continue;
  }
  totalCount++;
  const found = await findViolation(mutant, settings.runs, settings.seed);
  if (found === null) {
    missedCount++;
    console.log(`MISSED  ${mutant.name} (${settings.runs} histories)`);
    continue;
  }
  console.log(
    `caught  ${mutant.name}: ${found.rule} after ${found.historyCount} histories`,
  );
}
console.log(`${totalCount - missedCount} of ${totalCount} mutants caught`);
process.exitCode = missedCount === 0 ? 0 : 1;
