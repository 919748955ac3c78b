#!/usr/bin/env node
import process from 'node:process';
import {BunyanLogger} from '@filbertrun/observability/logger.js';
import {
  EXIT_CODE_INVALID_SETTINGS,
  readSettingsOrExit,
} from '@filbertrun/observability/settings.js';
import {BENCH_SETTINGS} from './bench_settings.js';
import {getRunOrigin} from './machine_info.js';
import type {Scenario, ScenarioResult} from './scenario.js';
import {findScenario, getScenarios} from './scenario_registry.js';

/**
 * `npm run bench -- SCENARIO` measures real processes under load. Exit codes:
 * 0 if all targets are met without violations, 1 if a target is missed or there
 * is a violation, 2 if the settings are invalid.
 */

const PROGRAM_NAME = 'filbertrun-bench';

const EXIT_CODE_TARGET_MISSED = 1;

/** Expands `--json` to `--format json`. */
function expandShortFlags(argv: readonly string[]): readonly string[] {
  return argv.flatMap(argument =>
    argument === '--json' ? ['--format', 'json'] : [argument],
  );
}

function describeScenarios(): string {
  const lines = getScenarios().map(
    scenario => `  ${scenario.name.padEnd(20)} ${scenario.description}`,
  );
  return `usage: npm run bench -- SCENARIO [flags]\n${lines.join('\n')}\n`;
}

function findScenarioOrExit(name: string | undefined): Scenario {
  const scenario = findScenario(name ?? '');
  if (scenario === null) {
    process.stderr.write(`${PROGRAM_NAME}: unknown scenario "${name ?? ''}"\n`);
    process.stderr.write(describeScenarios());
    process.exit(EXIT_CODE_INVALID_SETTINGS);
  }
  return scenario;
}

function formatText(name: string, result: ScenarioResult): string {
  const lines = [`${name}: ${result.violations} violations`];
  for (const [figure, value] of Object.entries(result.figures)) {
    lines.push(`  ${figure}: ${JSON.stringify(value)}`);
  }
  for (const {target, isMet} of result.targets) {
    lines.push(`  ${isMet ? 'met   ' : 'MISSED'} ${target}`);
  }
  return `${lines.join('\n')}\n`;
}

async function main(): Promise<number> {
  const [name, ...flags] = process.argv.slice(2);
  const scenario = findScenarioOrExit(name);
  const settings = readSettingsOrExit(
    BENCH_SETTINGS,
    PROGRAM_NAME,
    expandShortFlags(flags),
  );
  const preset =
    settings.preset === 'default' ? scenario.defaultPreset : settings.preset;
  const origin = getRunOrigin();
  const result = await scenario.run({
    preset,
    seed: settings.seed,
    portBase: settings.portBase,
    logger: BunyanLogger.create(PROGRAM_NAME, 'info', {
      scenario: scenario.name,
    }),
  });
  const output =
    settings.format === 'json'
      ? `${JSON.stringify({scenario: scenario.name, preset, seed: settings.seed, ...result, origin})}\n`
      : formatText(scenario.name, result);
  process.stdout.write(output);
  const isSuccessful =
    result.violations === 0 && result.targets.every(each => each.isMet);
  return isSuccessful ? 0 : EXIT_CODE_TARGET_MISSED;
}

process.exitCode = await main();
