/**
 * Ablation study: disables each mechanism of tools/ablations.json in a separate
 * clone of the repository, scores a deployment and prints one table row.
 *
 * node tools/run_ablation.js COMMAND SITE DIR [--jobs N] [--only TEXT]
 *
 * COMMAND is the program that scores the deployment SITE; DIR takes the clones.
 */
import {execFileSync, spawnSync} from 'node:child_process';
import {mkdirSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const DAY_ROW = /^(\S+) +\S+\/\S+ +([\d.]+) +([\d.-]+) +([\d.]+) /;
const WINDOWS = /worst windows ([\d.]+)/;

/** Returns the value of an option such as `--jobs 4`, or the fallback. */
function getOption(name, fallback) {
  const index = process.argv.indexOf(name);
  return index < 0 ? fallback : process.argv[index + 1];
}

/** Disables a mechanism in a clone; null leaves the code unchanged. */
function applyAblation(folder, ablation) {
  if (ablation === null) {
    return;
  }
  const file = path.join(folder, ablation.file);
  const text = readFileSync(file, 'utf8');
  if (!text.includes(ablation.search)) {
    throw new Error(
      `ablation "${ablation.name}": search text not found in ${ablation.file}`,
    );
  }
  writeFileSync(file, text.replace(ablation.search, ablation.replace));
  execFileSync('git', ['commit', '-qam', `Trial: without ${ablation.name}`], {
    cwd: folder,
  });
}

/** Scores the deployment; returns scores by day and whether the gate passed. */
function scoreDeployment(folder, command, site, why) {
  const options = ['--jobs', getOption('--jobs', '2'), '--no-cpu'];
  const run = spawnSync(command, ['score', site, ...options, '--why', why], {
    cwd: folder,
    encoding: 'utf8',
  });
  const days = new Map();
  for (const line of run.stdout.split('\n')) {
    const row = DAY_ROW.exec(line);
    if (row !== null) {
      days.set(row[1], {
        score: Number(row[3]),
        windows: WINDOWS.exec(line)?.[1] ?? '',
      });
    }
  }
  return {days, hasPassed: run.stdout.includes('GATE passed')};
}

function formatRow(name, {days, hasPassed}) {
  const standard = [...days].filter(([day]) => !day.startsWith('fresh'));
  const withFaults = standard.filter(([day]) => !day.startsWith('quiet'));
  const sum = withFaults.reduce((total, [, {score}]) => total + score, 0);
  const mean = (sum / Math.max(1, withFaults.length)).toFixed(4);
  const cells = standard.map(
    ([day, {score, windows}]) =>
      `${day} ${score}${windows === '' ? '' : ` (${windows})`}`,
  );
  const gate = hasPassed ? 'passed' : 'FAILED';
  return `| ${name} | ${mean} | ${gate} | ${cells.join(', ')} |`;
}

function main() {
  const [, , command, site, folder] = process.argv;
  const only = getOption('--only', '');
  const ablations = JSON.parse(readFileSync('tools/ablations.json', 'utf8'));
  const chosen = ablations.filter(({name}) => name.includes(only));
  mkdirSync(folder, {recursive: true});
  process.stdout.write('| without | mean with trouble | gate | days |\n');
  process.stdout.write('|---|---|---|---|\n');
  for (const [index, ablation] of [null, ...chosen].entries()) {
    const clone = path.join(folder, String(index));
    rmSync(clone, {recursive: true, force: true});
    execFileSync('git', ['clone', '-q', process.cwd(), clone]);
    applyAblation(clone, ablation);
    const name = ablation === null ? '(nothing)' : ablation.name;
    const result = scoreDeployment(
      clone,
      command,
      site,
      `Ablation: without ${name}`,
    );
    process.stdout.write(`${formatRow(name, result)}\n`);
  }
}

main();
