#!/usr/bin/env node
import path from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {runSoak} from './run_soak.js';
import {ROUND_KINDS} from './soak_plan.js';

/**
 * `filbertrun-soak`: runs proxy processes against stand-ins of the platform and
 * injects faults in phase with changes of primary. Exit codes: 0 all rules were
 * kept, 1 one was broken, 2 invalid arguments or a run that failed.
 */

const PROGRAM_NAME = 'filbertrun-soak';

const EXIT_CODE_BROKEN = 1;
const EXIT_CODE_FAILED = 2;

async function main(): Promise<number> {
  const flags = await yargs(process.argv.slice(2))
    .scriptName(PROGRAM_NAME)
    .usage('$0 [--seed N] [--runs N]')
    .option('bundle', {
      type: 'string',
      default: 'target/filbertrun_proxy.mjs',
      describe: 'The proxy, as built by tools/build_platform.js.',
    })
    .option('seed', {type: 'number', default: 1, describe: 'First seed.'})
    .option('runs', {type: 'number', default: 1, describe: 'Number of seeds.'})
    .option('duration-ms', {
      type: 'number',
      default: 30_000,
      describe: 'Time after which no round begins.',
    })
    .option('groups', {type: 'number', default: 1, describe: 'Groups, 1 or 2.'})
    .option('kinds', {
      choices: ROUND_KINDS,
      array: true,
      default: ROUND_KINDS,
      describe: 'Kinds of rounds to draw from.',
    })
    .option('logs', {
      type: 'string',
      default: 'scratch/soak',
      describe: 'Folder for the traces and the logs of the proxies.',
    })
    .strictOptions()
    .fail((message: string) => {
      process.stderr.write(`${PROGRAM_NAME}: ${message}\n`);
      process.exit(EXIT_CODE_FAILED);
    })
    .parse();
  let exitCode = 0;
  for (let seed = flags.seed; seed < flags.seed + flags.runs; seed++) {
    const folder = path.resolve(flags.logs, `seed-${seed}`);
    const result = await runSoak({
      bundle: path.resolve(flags.bundle),
      folder,
      seed,
      durationMs: flags.durationMs,
      groupCount: flags.groups,
      kinds: flags.kinds,
    });
    const {violations, acknowledgedCount, promotionCount, roundCount} = result;
    const verdict = violations.length === 0 ? 'held' : 'BROKEN';
    process.stdout.write(
      `seed ${seed}: ${verdict}, ${roundCount} rounds, ${promotionCount} promotions, ${acknowledgedCount} acknowledged writes\n`,
    );
    for (const {rule, text} of violations.slice(0, 10)) {
      process.stdout.write(`  ${rule}: ${text}\n`);
    }
    if (violations.length > 0) {
      exitCode = EXIT_CODE_BROKEN;
    }
  }
  return exitCode;
}

main().then(
  exitCode => process.exit(exitCode),
  (error: unknown) => {
    process.stderr.write(`${PROGRAM_NAME}: ${String(error)}\n`);
    process.exit(EXIT_CODE_FAILED);
  },
);
